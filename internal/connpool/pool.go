package connpool

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// The times and bounds of connections.
const (
	// dialTimeout is the time in which a connection has to come up: a round
	// trip between regions and a replica's work for it, many times over.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept where the replica
	// doesn't say how long it keeps it.
	idleTimeout = 10 * time.Second
	// idleMargin is how much sooner than the replica an idle connection is
	// closed, so that no request crosses its end.
	idleMargin = 700 * time.Millisecond
	// overdue is how long after its deadline a flight is given up: the replica
	// says then itself that its time is over, unless it pauses.
	overdue = 400 * time.Millisecond
	// largeRequest is the size of a request in bytes from which it is written
	// by a goroutine of its own: smaller ones fit the socket's buffer.
	largeRequest = 16 << 10
	// maxDials bounds the connections to one replica that are being opened.
	maxDials = 2
)

// closedIdle is the cause of the end of an idle connection that nobody waits for.
const closedIdle verdict.Cause = "idle"

// DialFunc opens a connection; tests replace it.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// The keep-alive probes that end a connection which has gone silent: a dead one
// is found within about two seconds, without traffic of ours.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

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
	count    func(what string) // counts connections by what became of them

	mu      sync.Mutex
	limit   int
	conns   map[*conn]struct{}
	idle    []*conn // the last one was used last
	waiting []*Attempt
	dialing int
	closed  bool
}

// NewPool returns the connections to the replica of an ID at an address. count
// is called with a word for each connection that is opened or closed.
func NewPool(id, addr string, limit int, codec Codec, dial DialFunc, count func(what string)) *Pool {
	return &Pool{id: id, addr: addr, limit: limit, codec: codec, dial: dial, count: count, conns: map[*conn]struct{}{}}
}

// SetLimit sets how many connections may be open at once, at least 1.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(n, 1)
}

// Send starts a flight: on an idle connection, or on one that is opened or
// comes free.
func (p *Pool) Send(f *Attempt) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		f.end(nil, verdict.New(verdict.NotRun, verdict.NoReplica, "the replica is gone"))
		return
	}
	c := p.takeIdle()
	if c == nil {
		p.waiting = append(p.waiting, f)
		p.dialMore()
		p.mu.Unlock()
		return
	}
	c.assign(f)
	p.mu.Unlock()
	c.write(f)
}

// Cancel tells that nobody waits for the flight any more. If it has not been
// sent it ends now; otherwise its answer is read until after, and then its
// connection is closed, so that the replica stops working on it.
func (p *Pool) Cancel(f *Attempt, after time.Duration) {
	p.mu.Lock()
	if f.ended || f.conn != nil {
		f.cutAt = time.Now().Add(after)
		p.mu.Unlock()
		return
	}
	for i, w := range p.waiting {
		if w == f {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			break
		}
	}
	f.ended = true
	p.mu.Unlock()
	f.end(nil, verdict.New(verdict.NotRun, verdict.Cancelled, "not needed any more"))
}

// Sweep closes connections that have been idle for too long, and those whose
// flight is overdue or was withdrawn.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var cut, idle []*conn
	for c := range p.conns {
		if f := c.flight; f != nil && (now.After(f.Deadline.Add(overdue)) || !f.cutAt.IsZero() && now.After(f.cutAt)) {
			cut = append(cut, c)
		}
	}
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) > c.idleFor {
			idle = append(idle, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	var late []*Attempt
	waiting := p.waiting[:0]
	for _, f := range p.waiting {
		if now.After(f.Deadline) {
			f.ended = true
			late = append(late, f)
			continue
		}
		waiting = append(waiting, f)
	}
	p.waiting = waiting
	p.mu.Unlock()
	for _, c := range cut {
		c.close(verdict.ConnectionSilent, "no answer in time")
	}
	for _, c := range idle {
		c.close(closedIdle, "idle")
	}
	for _, f := range late {
		f.end(nil, verdict.New(verdict.NotRun, verdict.Deadline, "no connection in time"))
	}
}

// DropIdle closes the idle connections that were last used before a moment:
// when one connection has gone silent the older ones may have too.
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

// Close ends the peer: idle connections are closed, flights in hand go on.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle, waiting := p.idle, p.waiting
	p.idle, p.waiting = nil, nil
	for _, f := range waiting {
		f.ended = true
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.close(verdict.NoReplica, "the replica is gone")
	}
	for _, f := range waiting {
		f.end(nil, verdict.New(verdict.NotRun, verdict.NoReplica, "the replica is gone"))
	}
}

// takeIdle returns the connection that was used last, or nil. p.mu is held.
func (p *Pool) takeIdle() *conn {
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// dialMore opens connections for the flights that wait, within the limits.
// p.mu is held.
func (p *Pool) dialMore() {
	for p.dialing < min(maxDials, len(p.waiting)) && len(p.conns)+p.dialing < p.limit {
		p.dialing++
		go p.open()
	}
}

// open opens one connection and gives it the first flight that waits. When that
// fails, the first flight that waits has failed.
func (p *Pool) open() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	nc, err := p.dial(ctx, p.addr)
	p.mu.Lock()
	p.dialing--
	if err != nil {
		f := p.nextWaiting()
		p.dialMore()
		p.mu.Unlock()
		if f != nil {
			f.end(nil, verdict.Newf(verdict.NotRun, verdict.ConnectFailed, "connect: %v", err))
		}
		return
	}
	c := newConn(p, nc)
	if p.closed {
		p.mu.Unlock()
		_ = nc.Close()
		return
	}
	p.conns[c] = struct{}{}
	f := p.nextWaiting()
	if f != nil {
		f.ended = false
		c.assign(f)
	} else {
		c.rest(time.Now())
	}
	p.mu.Unlock()
	p.count("connections_opened")
	go c.read()
	if f != nil {
		c.write(f)
	}
}

// nextWaiting takes the first flight that waits; it has ended unless it is
// assigned to a connection. p.mu is held.
func (p *Pool) nextWaiting() *Attempt {
	if len(p.waiting) == 0 {
		return nil
	}
	f := p.waiting[0]
	p.waiting = p.waiting[1:]
	f.ended = true
	return f
}

// end tells the owner; the peer's mutex is not held.
func (f *Attempt) end(r *Reply, err *verdict.Error) {
	f.Reply, f.Err = r, err
	f.Done(f)
}
