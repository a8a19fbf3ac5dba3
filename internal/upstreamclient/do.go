package upstreamclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/upstream"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// Attempt is one part of a query, or an action, for one replica.
type Attempt struct {
	RequestID   string
	Number     uint32
	Route       string
	Pool        string
	Snapshot    uint64 // 0: any
	Budget      time.Duration
	Idempotent  bool
	Traceparent string
	Payload     []byte
}

// Answer is the part that a replica answered with.
type Answer struct {
	Snapshot uint64
	Range    upstream.Range
	Payload  []byte
}

// Report is what the headers of an answer say of the upstream. It is a hint:
// values that are missing or malformed are left zero.
type Report struct {
	Load      upstream.Load
	HasLoad   bool
	State     string
	StartID   string
	Version   string
	Snapshots []uint64
}

// Do sends r and waits for its answer until ctx ends. The report is that of
// the upstream's answer, if it gave one to this request.
func (c *Conn) Do(ctx context.Context, r *Attempt) (Answer, Report, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, r)
	sent, err := c.roundTrip(ctx, req, resp)
	if err != nil {
		return Answer{}, Report{}, callError(ctx, sent, err)
	}
	if err := checkEcho(resp, r); err != nil {
		c.Close()
		return Answer{}, Report{}, err
	}
	report := parseReport(resp)
	answer, err := parseResponse(resp, r)
	var v *verdict.Error
	if errors.As(err, &v) && v.Cause == verdict.BadAnswer {
		c.Close()
	}
	return answer, report, err
}

func (c *Conn) fillRequest(req *fasthttp.Request, r *Attempt) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(upstream.PathRun)
	req.Header.SetHost(c.host)
	req.Header.SetContentType("application/octet-stream")
	req.Header.Set(upstream.HeaderRequestID, r.RequestID)
	req.Header.Set(upstream.HeaderAttempt, strconv.FormatUint(uint64(r.Number), 10))
	req.Header.Set(upstream.HeaderBudget, strconv.FormatInt(int64(r.Budget/time.Microsecond), 10))
	req.Header.Set(upstream.HeaderPool, r.Pool)
	req.Header.Set(upstream.HeaderRoute, r.Route)
	req.Header.Set(upstream.HeaderIdempotent, yesNo(r.Idempotent))
	if r.Snapshot != 0 {
		req.Header.Set(upstream.HeaderSnapshot, strconv.FormatUint(r.Snapshot, 10))
	}
	if r.Traceparent != "" {
		req.Header.Set(upstream.HeaderTrace, r.Traceparent)
	}
	req.SetBodyRaw(r.Payload)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// badAnswer is the verdict on an answer that breaks the interface. The request
// was written in full, so it may have run.
func badAnswer(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.BadAnswer, fmt.Sprintf(format, args...))
}

// callError is the verdict on a call that brought no whole answer.
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

// checkEcho recognises an answer to another request or attempt.
func checkEcho(resp *fasthttp.Response, r *Attempt) error {
	id := resp.Header.Peek(upstream.HeaderRequestID)
	attempt := resp.Header.Peek(upstream.HeaderAttempt)
	if string(id) != r.RequestID || string(attempt) != strconv.FormatUint(uint64(r.Number), 10) {
		return badAnswer("answer of request %q, attempt %q, in place of %q, %d", id, attempt, r.RequestID, r.Number)
	}
	return nil
}

// parseResponse turns a whole answer into a part or a verdict.
func parseResponse(resp *fasthttp.Response, r *Attempt) (Answer, error) {
	status := resp.StatusCode()
	notRun := string(resp.Header.Peek(upstream.HeaderNotRun)) == "yes"
	switch {
	case status == fasthttp.StatusOK && !notRun:
		return parseAnswer(resp, r)
	case status == upstream.StatusSnapshotGone:
		return Answer{}, verdict.Newf(verdict.NotRun, verdict.SnapshotGone, "snapshot %d is not held", r.Snapshot)
	case status == upstream.StatusShed && notRun:
		return Answer{}, verdict.New(verdict.NotRun, verdict.Shed, "the upstream is too busy").After(parseRetryAfter(resp))
	case status == upstream.StatusCancelled && notRun:
		return Answer{}, verdict.New(verdict.NotRun, verdict.Cancelled, "given up before it ran")
	case status == upstream.StatusCancelled:
		return Answer{}, verdict.New(verdict.MayHaveRun, verdict.Cancelled, "given up while it ran")
	case notRun:
		return Answer{}, verdict.Newf(verdict.NotRun, verdict.UpstreamError, "status %d", status)
	}
	return Answer{}, verdict.Newf(verdict.RanFailed, verdict.UpstreamError, "status %d", status)
}

func parseAnswer(resp *fasthttp.Response, r *Attempt) (Answer, error) {
	snapshot, err := strconv.ParseUint(string(resp.Header.Peek(upstream.HeaderSnapshot)), 10, 64)
	if err != nil {
		return Answer{}, badAnswer("no snapshot in the answer")
	}
	if r.Snapshot != 0 && snapshot != r.Snapshot {
		return Answer{}, badAnswer("snapshot %d in place of %d", snapshot, r.Snapshot)
	}
	rng, err := upstream.ParseRange(string(resp.Header.Peek(upstream.HeaderRange)))
	if err != nil {
		return Answer{}, badAnswer("%v", err)
	}
	return Answer{Snapshot: snapshot, Range: rng, Payload: bytes.Clone(resp.Body())}, nil
}

// parseRetryAfter reads the standard header, whole seconds; 0 without one.
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
