package upstreamclient

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/upstream"
)

// Status requests the upstream's state, load and snapshots.
func (c *Conn) Status(ctx context.Context) (upstream.Status, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI(upstream.PathStatus)
	req.Header.SetHost(c.host)
	var s upstream.Status
	if _, err := c.roundTrip(ctx, req, resp); err != nil {
		return s, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return s, badAnswer("status %d", resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &s); err != nil {
		c.Close()
		return s, badAnswer("status document: %v", err)
	}
	return s, nil
}

// Cancel requests that the upstream stops executing an attempt that was sent on
// another connection. It returns when the upstream has answered.
func (c *Conn) Cancel(ctx context.Context, requestID string, attempt uint32) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(upstream.PathCancel)
	req.Header.SetHost(c.host)
	req.Header.Set(upstream.HeaderRequestID, requestID)
	req.Header.Set(upstream.HeaderAttempt, strconv.FormatUint(uint64(attempt), 10))
	_, err := c.roundTrip(ctx, req, resp)
	return err
}
