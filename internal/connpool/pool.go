package connpool

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// The timeouts and limits of connections.
const (
	// dialTimeout bounds the opening of a connection. It is many times a round
	// trip between regions and the replica's work to accept a connection.
	dialTimeout = time.Second
	// IdleTimeout is how long an idle connection is kept, unless the limits of the pool
	// or the replica's own idle timeout are shorter.
	IdleTimeout = 10 * time.Second
	// idleMargin is how long before the replica's idle timeout a connection is
	// closed, so that no request is sent just as the replica closes it.
	idleMargin = 700 * time.Millisecond
	// overdueMargin is how long after its deadline an attempt is ended without a
	// reply. Unless it is paused, a replica reports an expired deadline by then.
	overdueMargin = 400 * time.Millisecond
	// largeRequestSize is the size in bytes from which a request is written by a
	// goroutine of its own. Smaller ones fit into the socket's buffer.
	largeRequestSize = 16 << 10
	// maxDials bounds the connections to one replica that are being opened.
	maxDials = 2
)

// The causes with which a connection without an attempt is closed.
const (
	causeIdle   verdict.Cause = "idle"   // after its idle timeout
	causeUnread verdict.Cause = "unread" // its replica doesn't read the rest of a request
)

// DialFunc opens a connection. Tests replace it.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// keepAlive makes the kernel probe connections, so that a dead one is detected
// within four seconds without requests on it. The kernel counts in whole seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// DialTCP is the DialFunc for TCP.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", addr)
}

// Pool holds the connections to one replica. It is safe for concurrent use.
type Pool struct {
	id, addr string
	codec    Codec
	dial     DialFunc
	count    func(event string) // counts opened and closed connections
	empty    atomic.Bool        // there is nothing for Sweep to do

	mu      sync.Mutex
	limit   int
	maxIdle time.Duration
	conns   map[*conn]struct{}
	idle    []*conn // the most recently used one is last
	waiting []*Attempt
	dialing int
	// refusedAt is when a connection could not be opened, if none was opened since.
	refusedAt time.Time
	// unfinished is the number of connections whose request has been answered while it is
	// still being written.
	unfinished int
	closed     bool
	// bytes is the size of the bodies of the attempts that have not ended.
	bytes, maxBytes int
}

// NewPool returns a pool without connections to the replica with an ID and an
// address. count is called with the name of the event for each connection that is
// opened or closed.
func NewPool(id, addr string, limit int, codec Codec, dial DialFunc, count func(event string)) *Pool {
	return &Pool{id: id, addr: addr, limit: limit, maxIdle: IdleTimeout, codec: codec, dial: dial, count: count, conns: map[*conn]struct{}{}}
}

// SetLimits sets how many connections may be open at once, at least 1, and how long one
// is kept without a request.
func (p *Pool) SetLimits(connections int, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.maxIdle = max(connections, 1), idle
}

// SetMaxBytes bounds the bodies of the attempts that have not ended; 0: no bound. One
// body is always sent.
func (p *Pool) SetMaxBytes(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxBytes = n
}

// admit counts the body of an attempt, unless the bodies of the others leave no room for
// it. p.mu is held.
func (p *Pool) admit(a *Attempt) bool {
	n := len(a.Request.Body)
	if n > 0 && p.maxBytes > 0 && p.bytes > 0 && p.bytes+n > p.maxBytes {
		return false
	}
	p.bytes += n
	a.counted = true
	return true
}

// Bytes returns the size of the bodies of the attempts that have not ended.
func (p *Pool) Bytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// Send sends an attempt on an idle connection. If there is none, the attempt
// waits for a connection that is opened or released.
func (p *Pool) Send(a *Attempt) {
	a.Request.Account.Retain()
	p.mu.Lock()
	if !p.closed && !p.admit(a) {
		p.mu.Unlock()
		p.count("attempts_over_bytes")
		p.end(a, nil, verdict.New(verdict.NotRun, verdict.Overload, "the bodies in flight to the replica leave no room"))
		return
	}
	if p.closed {
		p.mu.Unlock()
		p.end(a, nil, verdict.New(verdict.NotRun, verdict.NoReplica, "the replica is gone"))
		return
	}
	c := p.takeIdle()
	p.empty.Store(false)
	if c == nil {
		p.waiting = append(p.waiting, a)
		p.dialMore()
		p.mu.Unlock()
		return
	}
	c.assign(a)
	p.mu.Unlock()
	c.write(a)
}

// Cancel states that the reply to an attempt is no longer needed. An attempt that
// still waits for a connection ends at once. For a sent one the reply is read for
// the grace period; after it the connection is closed, so that the replica stops
// working on the request.
func (p *Pool) Cancel(a *Attempt, grace time.Duration) {
	p.mu.Lock()
	if a.ended || a.conn != nil {
		a.cancelAt = time.Now().Add(grace)
		p.mu.Unlock()
		return
	}
	for i, w := range p.waiting {
		if w == a {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			break
		}
	}
	a.ended = true
	p.mu.Unlock()
	p.end(a, nil, verdict.New(verdict.NotRun, verdict.Cancelled, "not needed any more"))
}

// Sweep closes the connections that have exceeded their idle timeout and those
// whose attempt is overdue or was cancelled longer ago than its grace period. It
// ends the waiting attempts whose deadline has passed.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var expired, idle []*conn
	for c := range p.conns {
		if a := c.attempt; a != nil && (now.After(a.Deadline.Add(overdueMargin)) || !a.cancelAt.IsZero() && now.After(a.cancelAt)) {
			expired = append(expired, c)
		}
	}
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) > c.idleTimeout {
			idle = append(idle, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	var unsent []*Attempt
	waiting := p.waiting[:0]
	for _, a := range p.waiting {
		if now.After(a.Deadline) {
			a.ended = true
			unsent = append(unsent, a)
			continue
		}
		waiting = append(waiting, a)
	}
	p.waiting = waiting
	p.empty.Store(len(p.conns)+len(p.waiting)+p.dialing == 0)
	p.mu.Unlock()
	for _, c := range expired {
		c.close(verdict.ConnectionSilent, "no answer in time")
	}
	for _, c := range idle {
		c.close(causeIdle, "idle")
	}
	for _, a := range unsent {
		p.end(a, nil, verdict.New(verdict.NotRun, verdict.Deadline, "no connection in time"))
	}
}

// Empty reports whether there is nothing for Sweep to do. At hundreds of VMs most pools of a
// VM are empty at most times.
func (p *Pool) Empty() bool { return p.empty.Load() }

// DropIdle closes the idle connections that were last used before a time. When
// one connection has stalled, those that were idle since before may have too.
func (p *Pool) DropIdle(before time.Time) {
	p.mu.Lock()
	var drop []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.idleSince.Before(before) {
			drop = append(drop, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range drop {
		c.close(verdict.ConnectionSilent, "idle since before another connection went silent")
	}
}

// Close closes the idle connections and ends the attempts that wait for one.
// Attempts in flight continue.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close(verdict.NoReplica, "the replica is gone")
	}
	p.EndWaiting("the replica is gone")
}

// EndWaiting ends the attempts that wait for a connection, as not run.
func (p *Pool) EndWaiting(detail string) {
	p.mu.Lock()
	waiting := p.waiting
	p.waiting = nil
	for _, a := range waiting {
		a.ended = true
	}
	p.mu.Unlock()
	for _, a := range waiting {
		p.end(a, nil, verdict.New(verdict.NotRun, verdict.NoReplica, detail))
	}
}

// Ended reports whether the pool has been closed and has no connection left.
func (p *Pool) Ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed && len(p.conns)+p.dialing == 0
}

// takeIdle takes the most recently used idle connection, or nil. p.mu is held.
func (p *Pool) takeIdle() *conn {
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// dialMore opens connections for the waiting attempts, within the limits. p.mu is
// held.
func (p *Pool) dialMore() {
	for p.dialing < min(maxDials, p.needDial()) && len(p.conns)+p.dialing < p.limit {
		p.dialing++
		go p.open()
	}
	if p.unfinished > 0 && len(p.waiting) > p.dialing {
		p.closeUnfinished()
	}
}

// closeUnfinished closes a connection whose replica has answered a request without reading
// it, so that another one can be opened for an attempt that waits. p.mu is held.
func (p *Pool) closeUnfinished() {
	for c := range p.conns {
		if c.unfinished() {
			go c.close(causeUnread, "its replica has not read the request that it has answered")
			return
		}
	}
}

// open opens one connection and sends the first waiting attempt on it. If the
// connection can't be opened, the first attempt fails that can't wait for an open one.
func (p *Pool) open() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	nc, err := p.dial(ctx, p.addr)
	p.mu.Lock()
	p.dialing--
	if err != nil {
		p.refusedAt = time.Now()
		a := p.nextUnqueued()
		p.dialMore()
		p.mu.Unlock()
		if a != nil {
			p.end(a, nil, verdict.Newf(verdict.NotRun, verdict.ConnectFailed, "connect: %v", err))
		}
		return
	}
	if p.closed {
		p.mu.Unlock()
		_ = nc.Close()
		return
	}
	c, a := p.add(nc)
	p.mu.Unlock()
	p.count("connections_opened")
	go c.read()
	if a != nil {
		c.write(a)
	}
}

// Probe opens a connection, to see whether the replica can be reached, and keeps it for
// later attempts.
func (p *Pool) Probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.dial(ctx, p.addr)
	p.mu.Lock()
	if err != nil {
		p.refusedAt = time.Now()
		p.mu.Unlock()
		return err
	}
	if p.closed || len(p.conns)+p.dialing >= p.limit {
		p.refusedAt = time.Time{}
		p.mu.Unlock()
		_ = nc.Close()
		return nil
	}
	c, a := p.add(nc)
	p.empty.Store(false)
	p.mu.Unlock()
	p.count("connections_opened")
	go c.read()
	if a != nil {
		c.write(a)
	}
	return nil
}

// nextWaiting removes and returns the first waiting attempt that may still be sent, or
// nil. The attempt is marked as ended; assigning it to a connection has to reset the
// mark. p.mu is held.
func (p *Pool) nextWaiting() *Attempt {
	for len(p.waiting) > 0 {
		a := p.waiting[0]
		p.waiting = p.waiting[1:]
		a.ended = true
		if a.Refuse == nil {
			return a
		}
		refusal := a.Refuse()
		if refusal == nil {
			return a
		}
		go p.end(a, nil, refusal) // the mutex is held
	}
	return nil
}

// end sets the result and calls Done. The pool's mutex must not be held.
func (p *Pool) end(a *Attempt, r *Reply, err *verdict.Error) {
	a.Reply, a.Err = r, err
	if a.counted && len(a.Request.Body) > 0 {
		p.mu.Lock()
		p.bytes -= len(a.Request.Body)
		p.mu.Unlock()
	}
	account := a.Request.Account
	a.Done(a)
	account.Release()
}
