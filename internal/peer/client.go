package peer

import (
	"context"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
	"github.com/sapphirewall/sapphirewall/proto/swpb"
)

// Client maintains one session to an address and redials when the session
// fails. It is safe for concurrent use.
type Client struct {
	addr string
	opts Options

	mu       sync.Mutex // guards the fields below
	current  *session
	dialing  chan struct{} // non-nil during a dial; closed when it ends
	lastErr  error
	failedAt time.Time
	closed   bool
}

// NewClient returns a client for addr, which it dials on the first call.
func NewClient(addr string, o Options) *Client {
	return &Client{addr: addr, opts: o.withDefaults()}
}

// Addr returns the address that the client dials.
func (c *Client) Addr() string { return c.addr }

// Call sends req and waits for its reply until ctx ends. The error is always a
// *verdict.Error. The caller must not use req afterwards.
func (c *Client) Call(ctx context.Context, req *swpb.Envelope) (*swpb.Envelope, error) {
	s, err := c.session(ctx)
	if err != nil {
		return nil, verdict.Newf(verdict.NotRun, verdict.PeerLost, "no session to %s: %v", c.addr, err)
	}
	return s.call(ctx, req)
}

// Peer returns the identity of the process at the other end, if a session is
// open.
func (c *Client) Peer() (Identity, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || !c.current.alive() {
		return Identity{}, false
	}
	return c.current.peer, true
}

// Close closes the session; calls in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	s := c.current
	c.current = nil
	c.mu.Unlock()
	if s != nil {
		s.fail(ErrSessionClosed)
	}
}

// session returns the open session or dials one. Concurrent calls wait for the
// same dial, and calls within Options.RedialDelay of a failed dial get its error.
func (c *Client) session(ctx context.Context) (*session, error) {
	for {
		c.mu.Lock()
		switch {
		case c.closed:
			c.mu.Unlock()
			return nil, ErrSessionClosed
		case c.current != nil && c.current.alive():
			s := c.current
			c.mu.Unlock()
			return s, nil
		case c.dialing != nil:
			wait := c.dialing
			c.mu.Unlock()
			select {
			case <-wait:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		case c.lastErr != nil && time.Since(c.failedAt) < c.opts.RedialDelay:
			err := c.lastErr
			c.mu.Unlock()
			return nil, err
		default:
			c.dialing = make(chan struct{})
			go c.dial(c.dialing)
			c.mu.Unlock()
		}
	}
}

// dial opens a session independently of any call's context, so that a call with
// a short deadline does not abort the dial that other calls wait for. It closes
// done when it ends.
func (c *Client) dial(done chan struct{}) {
	s, err := dialSession(context.Background(), c.addr, c.opts)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(done)
	c.dialing = nil
	c.lastErr = err
	if err != nil {
		c.failedAt = time.Now()
		return
	}
	if c.closed {
		s.fail(ErrSessionClosed)
		return
	}
	c.current = s
}
