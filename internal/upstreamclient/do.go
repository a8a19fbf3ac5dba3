package upstreamclient

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/upstream"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Attempt is one send of a part of a query, or of an action, to a replica.
type Attempt struct {
	RequestID   string
	Number      uint32
	Route       string
	Pool        string
	Snapshot    uint64 // 0: any snapshot
	Budget      time.Duration
	Idempotent  bool
	Traceparent string
	Payload     []byte
}

// Answer is a replica's result for a part.
type Answer struct {
	Snapshot uint64
	Range    upstream.Range
	Payload  []byte
}

// Report holds what the headers of an answer state about the upstream. It is a
// hint: fields of missing or malformed headers are zero.
type Report struct {
	Load      upstream.Load
	HasLoad   bool
	State     string
	StartID   string
	Version   string
	Snapshots []uint64
}

// Do sends a and waits for the answer until ctx ends. The report is zero unless
// the upstream answered this attempt.
func (c *Conn) Do(ctx context.Context, a *Attempt) (Answer, Report, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, a)
	sent, err := c.roundTrip(ctx, req, resp)
	if err != nil {
		return Answer{}, Report{}, callError(ctx, sent, err)
	}
	if err := checkEcho(resp, a); err != nil {
		c.Close()
		return Answer{}, Report{}, err
	}
	report := parseReport(resp)
	answer, err := parseResponse(resp, a)
	var v *verdict.Error
	if errors.As(err, &v) && v.Cause == verdict.BadAnswer {
		c.Close()
	}
	return answer, report, err
}

func (c *Conn) fillRequest(req *fasthttp.Request, a *Attempt) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(upstream.PathRun)
	req.Header.SetHost(c.host)
	req.Header.SetContentType("application/octet-stream")
	req.Header.Set(upstream.HeaderRequestID, a.RequestID)
	req.Header.Set(upstream.HeaderAttempt, strconv.FormatUint(uint64(a.Number), 10))
	req.Header.Set(upstream.HeaderBudget, strconv.FormatInt(int64(a.Budget/time.Microsecond), 10))
	req.Header.Set(upstream.HeaderPool, a.Pool)
	req.Header.Set(upstream.HeaderRoute, a.Route)
	req.Header.Set(upstream.HeaderIdempotent, yesNo(a.Idempotent))
	if a.Snapshot != 0 {
		req.Header.Set(upstream.HeaderSnapshot, strconv.FormatUint(a.Snapshot, 10))
	}
	if a.Traceparent != "" {
		req.Header.Set(upstream.HeaderTrace, a.Traceparent)
	}
	req.SetBodyRaw(a.Payload)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// badAnswer returns the verdict on an answer that violates the protocol. The
// request was written in full, so the upstream may have executed it.
func badAnswer(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, fmt.Sprintf(format, args...))
}

// callError returns the verdict on a call without a complete answer.
func callError(ctx context.Context, sent bool, err error) error {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v
	}
	outcome := verdict.MayHaveRun
	if !sent {
		outcome = verdict.NotRun
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return verdict.New(outcome, verdict.Deadline, "no answer within the budget")
	case errors.As(context.Cause(ctx), &v):
		return verdict.New(outcome, v.Cause, v.Detail)
	case ctx.Err() != nil:
		return verdict.New(outcome, verdict.Cancelled, "given up by the asker")
	}
	return verdict.Newf(outcome, verdict.ConnectionLost, "no whole answer: %v", err)
}

// checkEcho returns an error for an answer to another request or attempt.
func checkEcho(resp *fasthttp.Response, a *Attempt) error {
	id := resp.Header.Peek(upstream.HeaderRequestID)
	attempt := resp.Header.Peek(upstream.HeaderAttempt)
	if string(id) != a.RequestID || string(attempt) != strconv.FormatUint(uint64(a.Number), 10) {
		return badAnswer("answer of request %q, attempt %q, in place of %q, %d", id, attempt, a.RequestID, a.Number)
	}
	return nil
}

// parseResponse returns the result in a complete answer, or the verdict on an
// answer without one.
func parseResponse(resp *fasthttp.Response, a *Attempt) (Answer, error) {
	status := resp.StatusCode()
	notRun := string(resp.Header.Peek(upstream.HeaderNotRun)) == "yes"
	switch {
	case status == fasthttp.StatusOK && !notRun:
		return parseAnswer(resp, a)
	case status == upstream.StatusSnapshotGone && (notRun || a.Snapshot != 0):
		return Answer{}, verdict.Newf(verdict.NotRun, verdict.SnapshotGone, "snapshot %d is not held", a.Snapshot)
	case status == upstream.StatusRejected && notRun:
		return Answer{}, verdict.New(verdict.NotRun, verdict.Shed, "the upstream is too busy").WithRetryAfter(parseRetryAfter(resp))
	case status == upstream.StatusCancelled && notRun:
		return Answer{}, verdict.New(verdict.NotRun, verdict.Cancelled, "given up before it ran")
	case status == upstream.StatusCancelled:
		return Answer{}, verdict.New(verdict.MayHaveRun, verdict.Cancelled, "given up while it ran")
	case notRun:
		return Answer{}, verdict.Newf(verdict.NotRun, verdict.UpstreamError, "status %d", status)
	}
	return Answer{}, verdict.Newf(verdict.RanFailed, verdict.UpstreamError, "status %d", status)
}

func parseAnswer(resp *fasthttp.Response, a *Attempt) (Answer, error) {
	snapshot, err := strconv.ParseUint(string(resp.Header.Peek(upstream.HeaderSnapshot)), 10, 64)
	if err != nil {
		return Answer{}, badAnswer("no snapshot in the answer")
	}
	if a.Snapshot != 0 && snapshot != a.Snapshot {
		return Answer{}, badAnswer("snapshot %d in place of %d", snapshot, a.Snapshot)
	}
	rng, err := upstream.ParseRange(string(resp.Header.Peek(upstream.HeaderRange)))
	if err != nil {
		return Answer{}, badAnswer("%v", err)
	}
	return Answer{Snapshot: snapshot, Range: rng, Payload: resp.Body()}, nil
}

// parseRetryAfter returns the Retry-After header, in whole seconds, or 0 if it is
// missing or malformed.
func parseRetryAfter(resp *fasthttp.Response) time.Duration {
	n, err := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

func parseReport(resp *fasthttp.Response) Report {
	r := Report{
		State:   string(resp.Header.Peek(upstream.HeaderState)),
		StartID: string(resp.Header.Peek(upstream.HeaderStartID)),
		Version: string(resp.Header.Peek(upstream.HeaderVersion)),
	}
	if b := resp.Header.Peek(upstream.HeaderLoad); len(b) > 0 {
		load, err := upstream.ParseLoad(string(b))
		r.Load, r.HasLoad = load, err == nil
	}
	r.Snapshots, _ = upstream.ParseSnapshots(string(resp.Header.Peek(upstream.HeaderSnapshots)))
	return r
}
