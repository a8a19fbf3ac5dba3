package egress

import (
	"context"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/connect"
	"github.com/sapphirewall/sapphirewall/internal/upstream"
	"github.com/sapphirewall/sapphirewall/internal/upstreamclient"
	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// maxDialTime limits the time for establishing one connection.
const maxDialTime = 500 * time.Millisecond

// conns is the set of connections to one replica. Idle connections are reused,
// the most recently used first; package connect decides when a new one may be
// opened.
type conns struct {
	addr string
	dial upstreamclient.DialFunc

	mu     sync.Mutex // guards the fields below
	setups *connect.Setups
	idle   []*upstreamclient.Conn
	freed  chan struct{} // closed when a connection becomes idle or is dropped
	closed bool
}

func newConns(addr string, dial upstreamclient.DialFunc, cfg connect.Config) *conns {
	return &conns{addr: addr, dial: dial, setups: connect.New(cfg, time.Now()), freed: make(chan struct{})}
}

func (c *conns) configure(cfg connect.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setups.Configure(cfg)
}

// get returns a connection for one call; it must be returned with put. Errors
// have the outcome NotRun.
func (c *conns) get(ctx context.Context) (*upstreamclient.Conn, error) {
	return c.acquire(ctx, true)
}

// acquire is like get, but opens a new connection if reuse is false.
func (c *conns) acquire(ctx context.Context, reuse bool) (*upstreamclient.Conn, error) {
	for {
		conn, mayDial, retryIn, freed := c.tryAcquire(reuse)
		switch {
		case conn != nil && conn.Usable():
			return conn, nil
		case conn != nil:
			c.drop(conn)
		case mayDial:
			return c.open(ctx)
		default:
			if err := c.wait(ctx, retryIn, freed); err != nil {
				return nil, err
			}
		}
	}
}

// tryAcquire returns an idle connection, or counts a new one as open and sets
// mayDial. Otherwise another call may succeed after retryIn or when freed is
// closed; if retryIn is negative, only when freed is closed.
func (c *conns) tryAcquire(reuse bool) (conn *upstreamclient.Conn, mayDial bool, retryIn time.Duration, freed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 && reuse {
		conn = c.idle[n-1]
		c.idle = c.idle[:n-1]
		return conn, false, 0, nil
	}
	mayDial, retryIn = c.setups.Begin(time.Now())
	return nil, mayDial, retryIn, c.freed
}

// wait blocks until another tryAcquire may succeed. It fails at once if retryIn
// is more than half of the time to the deadline. If retryIn is negative, it
// waits for freed, at most half of that time.
func (c *conns) wait(ctx context.Context, retryIn time.Duration, freed chan struct{}) error {
	deadline, ok := ctx.Deadline()
	left := time.Until(deadline)
	if ok && retryIn > left/2 {
		return verdict.New(verdict.NotRun, verdict.Overload, "no new connection in time").WithRetryAfter(retryIn)
	}
	if retryIn < 0 {
		retryIn = left / 2
	}
	timer := time.NewTimer(retryIn)
	defer timer.Stop()
	select {
	case <-freed:
		return nil
	case <-timer.C:
		if retryIn == left/2 {
			return verdict.New(verdict.NotRun, verdict.Overload, "all connections of the replica are in use").WithRetryAfter(retryIn)
		}
		return nil
	case <-ctx.Done():
		return verdict.New(verdict.NotRun, verdict.Overload, "given up while waiting for a connection").WithRetryAfter(connectRetryAfter)
	}
}

func (c *conns) open(ctx context.Context) (*upstreamclient.Conn, error) {
	timeout := maxDialTime
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := upstreamclient.Dial(dialCtx, c.addr, c.dial)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.setups.Failed(time.Now())
		return nil, verdict.Newf(verdict.NotRun, verdict.ConnectFailed, "%v", err).WithRetryAfter(connectRetryAfter)
	}
	c.setups.Opened()
	count("connections_opened")
	return conn, nil
}

// put returns a connection to the set after a call.
func (c *conns) put(conn *upstreamclient.Conn) {
	if !conn.Usable() {
		c.drop(conn)
		return
	}
	c.mu.Lock()
	if !c.closed {
		c.idle = append(c.idle, conn)
		c.wakeWaiters()
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.drop(conn)
}

func (c *conns) drop(conn *upstreamclient.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setups.Closed()
	c.wakeWaiters()
}

// wakeWaiters wakes the goroutines that wait for a connection; c.mu must be
// held.
func (c *conns) wakeWaiters() {
	close(c.freed)
	c.freed = make(chan struct{})
}

// dropIdle closes all idle connections.
func (c *conns) dropIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, conn := range idle {
		c.drop(conn)
	}
}

// dropOlder closes the idle connections that were opened before t. It is used
// when a connection stalls: whatever broke that connection has probably broken
// the older ones too.
func (c *conns) dropOlder(t time.Time) {
	c.mu.Lock()
	var old []*upstreamclient.Conn
	kept := c.idle[:0]
	for _, conn := range c.idle {
		if conn.OpenedAt().Before(t) {
			old = append(old, conn)
			continue
		}
		kept = append(kept, conn)
	}
	c.idle = kept
	c.mu.Unlock()
	for _, conn := range old {
		c.drop(conn)
	}
}

// close closes the idle connections; those in use are closed when they are put
// back.
func (c *conns) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.dropIdle()
}

// status requests the upstream's status, on a new connection if reuse is false.
func (c *conns) status(ctx context.Context, reuse bool) (upstream.Status, error) {
	conn, err := c.acquire(ctx, reuse)
	if err != nil {
		return upstream.Status{}, err
	}
	defer c.put(conn)
	return conn.Status(ctx)
}

// cancel requests that the upstream cancels an attempt.
func (c *conns) cancel(ctx context.Context, requestID string, attempt uint32) error {
	conn, err := c.get(ctx)
	if err != nil {
		return err
	}
	defer c.put(conn)
	return conn.Cancel(ctx, requestID, attempt)
}
