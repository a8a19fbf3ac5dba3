package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/httpreply"
)

// Limits of a transport's connections and calls.
const (
	maxConns      = 64
	idleTimeout   = 30 * time.Second
	maxReplyBytes = 64 << 20
	// arrivingTime is the time between two parts of a reply that is coming in.
	arrivingTime = 300 * time.Millisecond
	// WatchReplySlack is how long a watch may take beyond its wait time.
	WatchReplySlack = time.Second
)

// keepAlive makes TCP detect within four seconds that the server of a long watch no
// longer responds. The kernel counts in whole seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Transport makes HTTP calls with JSON bodies to one service of the platform.
// It never retries a call and is safe for concurrent use.
type Transport struct {
	host        *fasthttp.HostClient
	timeout     time.Duration
	calls       atomic.Uint64
	heard       atomic.Int64 // when bytes last came in, in Unix nanoseconds
	buffer      int          // receive buffer of connections, in bytes; 0: the system's
	decodeError func(status int, body []byte) error
}

// NewTransport returns the transport to an address, IP:port. A call fails if
// there is no reply within timeout. decodeError returns the error that a reply
// with a status other than 200 stands for, or nil if it stands for none; each
// such error means that a write was not applied. single are the header fields of a reply that
// have one value.
func NewTransport(addr string, timeout time.Duration, decodeError func(status int, body []byte) error, single ...string) *Transport {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive}
	t := &Transport{timeout: timeout, decodeError: decodeError}
	t.host = &fasthttp.HostClient{
		Addr: addr,
		Dial: func(addr string) (net.Conn, error) {
			c, err := dialer.Dial("tcp", addr)
			if err != nil {
				return nil, &dialError{err}
			}
			return httpreply.NewConn(&heardConn{Conn: c, heard: &t.heard}, single...), t.limitBuffer(c)
		},
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxReplyBytes,
		NoDefaultUserAgentHeader:  true,
	}
	return t
}

// SetReceiveBuffer bounds what of a reply is on its way at a time, so that a large one
// doesn't hold up other connections in the link. It must be called before the first call.
func (t *Transport) SetReceiveBuffer(bytes int) { t.buffer = bytes }

func (t *Transport) limitBuffer(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok || t.buffer == 0 {
		return nil
	}
	return tcp.SetReadBuffer(t.buffer)
}

// Heard returns when bytes of a reply last came in.
func (t *Transport) Heard() time.Time { return time.Unix(0, t.heard.Load()) }

// heardConn records when bytes come in.
type heardConn struct {
	net.Conn
	heard *atomic.Int64
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// Calls returns the number of calls made so far.
func (t *Transport) Calls() uint64 { return t.calls.Load() }

// Close closes idle connections.
func (t *Transport) Close() { t.host.CloseIdleConnections() }

// Call is one HTTP call.
type Call struct {
	Path  string        // with its query
	Body  any           // nil: GET, which changes nothing
	Reply any           // nil: the body of the reply is ignored
	Wait  time.Duration // added to the transport's timeout
	// Header is the name of a header of the reply, whose value is stored in
	// HeaderValue; "": none.
	Header      string
	HeaderValue *string
}

// dialError marks a call for which no connection could be opened, so that nothing
// was sent.
type dialError struct{ cause error }

// Error implements error.
func (e *dialError) Error() string { return "dial: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.cause }

// Do makes the call. If there is no usable reply, the error is ErrUnavailable for
// a call that changes nothing or can't have been applied, and ErrUnknown
// otherwise.
func (t *Transport) Do(ctx context.Context, cl Call) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	t.calls.Add(1)
	deadline := time.Now().Add(t.timeout + cl.Wait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	type result struct {
		status int
		header string
		body   []byte
		err    error
	}
	done := make(chan result, 1)
	req, err := t.newRequest(cl)
	if err != nil {
		return err
	}
	go func() {
		defer fasthttp.ReleaseRequest(req)
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		err := t.host.DoDeadline(req, resp, deadline)
		done <- result{resp.StatusCode(), string(resp.Header.Peek(cl.Header)), append([]byte(nil), resp.Body()...), err}
	}()
	select {
	case r := <-done:
		if r.err != nil && time.Since(t.Heard()) < arrivingTime && !time.Now().Before(deadline) {
			return noReply(cl, fmt.Errorf("%w: %w", ErrIncomplete, r.err))
		}
		if r.err != nil {
			return noReply(cl, r.err)
		}
		if cl.HeaderValue != nil {
			*cl.HeaderValue = r.header
		}
		return t.decode(cl, r.status, r.body)
	case <-ctx.Done():
		return noReply(cl, ctx.Err())
	}
}

func (t *Transport) newRequest(cl Call) (*fasthttp.Request, error) {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + t.host.Addr + cl.Path)
	if cl.Body == nil {
		return req, nil
	}
	b, err := json.Marshal(cl.Body)
	if err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, eris.Wrap(err, "platform: encode request body")
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(b)
	return req, nil
}

// noReply wraps the error of a call without a usable reply in ErrUnavailable or
// ErrUnknown.
func noReply(cl Call, err error) error {
	var dial *dialError
	sent := !errors.As(err, &dial) && !errors.Is(err, fasthttp.ErrNoFreeConns)
	if cl.Body != nil && sent {
		return fmt.Errorf("%w: %s: %w", ErrUnknown, cl.Path, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func (t *Transport) decode(cl Call, status int, body []byte) error {
	if status == fasthttp.StatusOK {
		if cl.Reply == nil {
			return nil
		}
		if err := json.Unmarshal(body, cl.Reply); err != nil {
			return noReply(cl, err)
		}
		return nil
	}
	if err := t.decodeError(status, body); err != nil {
		return err
	}
	// The body may hold API keys, and the error is logged.
	return noReply(cl, fmt.Errorf("unexpected status %d with %d bytes", status, len(body)))
}
