package connpool

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// readBufferSize is the size of a connection's read buffer in bytes. It also
// bounds the headers of a reply.
const readBufferSize = 4 << 10

// maxStaleReplies bounds the replies to other requests that are skipped before
// the reply to the current one.
const maxStaleReplies = 4

// conn is one connection. All fields but nc and br are guarded by pool.mu.
type conn struct {
	pool    *Pool
	nc      net.Conn
	br      *bufio.Reader
	attempt *Attempt // nil while idle
	// writing states that a large request is being written. A replica may answer it before
	// that has ended; the connection is of no use for others until then.
	writing     bool
	closed      bool
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(p *Pool, nc net.Conn) *conn {
	return &conn{pool: p, nc: nc, br: bufio.NewReaderSize(nc, readBufferSize), idleTimeout: p.maxIdle}
}

// assign binds an attempt to the connection. pool.mu is held.
func (c *conn) assign(a *Attempt) {
	c.attempt = a
	a.conn = c
	a.AssignedAt = time.Now()
}

// unfinished reports whether the connection has answered a request that is still being
// written. pool.mu is held.
func (c *conn) unfinished() bool { return c.writing && c.attempt == nil }

// release returns the connection to the idle ones. pool.mu is held.
func (c *conn) release(now time.Time) {
	c.attempt = nil
	c.idleSince = now
	c.pool.idle = append(c.pool.idle, c)
}

// write sends the assigned attempt.
func (c *conn) write(a *Attempt) {
	if len(a.Request.Body) >= largeRequestSize && c.writeLarge(a) {
		return
	}
	scratch := buffers.Get().(*[]byte)
	buf := c.pool.codec.AppendRequest((*scratch)[:0], a.Request, c.pool.id, time.Until(a.Deadline))
	if len(buf) >= largeRequestSize {
		c.beginWriting()
		go c.writeBuffers(a, net.Buffers{buf})
		return
	}
	n, err := c.nc.Write(buf)
	c.written(int64(n), err)
	*scratch = buf
	buffers.Put(scratch)
}

// buffers holds the encoding buffers of requests that are not written by a
// goroutine of their own.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// writeLarge sends an attempt without a copy of its body, if the codec can.
func (c *conn) writeLarge(a *Attempt) bool {
	hc, ok := c.pool.codec.(HeadCodec)
	if ok {
		a.Request.Account.Retain()
		c.beginWriting()
		head := hc.AppendHead(nil, a.Request, c.pool.id, time.Until(a.Deadline))
		go func() {
			defer a.Request.Account.Release()
			c.writeBuffers(a, net.Buffers{head, a.Request.Body})
		}()
	}
	return ok
}

func (c *conn) beginWriting() {
	c.pool.mu.Lock()
	c.writing = true
	c.pool.mu.Unlock()
}

// writeBuffers writes a large request until its deadline, which later requests don't have.
func (c *conn) writeBuffers(a *Attempt, parts net.Buffers) {
	_ = c.nc.SetWriteDeadline(a.Deadline)
	n, err := parts.WriteTo(c.nc)
	_ = c.nc.SetWriteDeadline(time.Time{})
	c.written(n, err)
	if err == nil {
		c.endWriting()
	}
}

// endWriting makes the connection available to others if its request has been answered.
func (c *conn) endWriting() {
	p := c.pool
	p.mu.Lock()
	answered := c.unfinished() && !c.closed
	c.writing = false
	surplus := answered && (p.closed || len(p.conns) > p.limit)
	var next *Attempt
	if answered {
		p.unfinished--
	}
	switch {
	case surplus:
		c.closed = true
		delete(p.conns, c)
	case answered:
		next = c.next(time.Now())
	}
	p.mu.Unlock()
	if surplus {
		_ = c.nc.Close()
		p.count("connections_closed_" + string(causeIdle))
	}
	if next != nil {
		c.write(next)
	}
}

// next assigns the first waiting attempt to the connection and returns it, or returns the
// connection to the idle ones. pool.mu is held.
func (c *conn) next(now time.Time) *Attempt {
	a := c.pool.nextWaiting()
	if a == nil {
		c.release(now)
		return nil
	}
	a.ended = false
	c.assign(a)
	return a
}

// written closes the connection if a write has failed after n bytes.
func (c *conn) written(n int64, err error) {
	if err == nil {
		return
	}
	outcome := verdict.MayHaveRun
	if n == 0 {
		outcome = verdict.NotRun
	}
	c.fail(verdict.Newf(outcome, verdict.ConnectionLost, "write: %v", err))
}

// read reads replies until the connection ends.
func (c *conn) read() {
	for stale := 0; ; {
		if _, err := c.br.Peek(1); err != nil {
			c.fail(verdict.Newf(verdict.MayHaveRun, verdict.ConnectionLost, "no answer: %v", err))
			return
		}
		c.pool.mu.Lock()
		a := c.attempt
		c.pool.mu.Unlock()
		if a == nil {
			c.fail(verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "bytes that nobody asked for"))
			return
		}
		reply, err := c.pool.codec.ReadReply(c.br, a.Request)
		if err != nil {
			c.fail(verdict.Newf(verdict.MayHaveRun, verdict.BadAnswer, "broken answer: %v", err))
			return
		}
		if reply.RequestID != "" && reply.RequestID != a.Request.ID {
			if stale++; stale > maxStaleReplies {
				c.fail(verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "answers to other requests"))
				return
			}
			continue
		}
		stale = 0
		if !c.finish(a, reply) {
			return
		}
	}
}

// finish ends the attempt with its reply and sends the next one that waits. It
// reports whether the connection stays open.
func (c *conn) finish(a *Attempt, reply *Reply) bool {
	p := c.pool
	p.mu.Lock()
	if c.attempt != a { // the connection was closed meanwhile
		p.mu.Unlock()
		return false
	}
	c.attempt = nil
	a.ended = true
	closing := reply.Close || c.closed || c.br.Buffered() > 0 || p.closed || len(p.conns) > p.limit
	var next *Attempt
	switch {
	case closing:
		c.closed = true
		delete(p.conns, c)
		p.dialMore()
	default:
		c.idleTimeout = p.maxIdle
		if reply.KeepAlive > 0 {
			c.idleTimeout = min(p.maxIdle, max(reply.KeepAlive-idleMargin, idleMargin))
		}
		if c.writing {
			p.unfinished++
			p.dialMore()
		} else {
			next = c.next(time.Now())
		}
	}
	p.mu.Unlock()
	if closing {
		_ = c.nc.Close()
		p.count("connections_closed_with_answer")
	}
	p.end(a, reply, nil)
	if next != nil {
		c.write(next)
	}
	return !closing
}

// close closes the connection from this side. The request of an attempt on it
// may have been executed.
func (c *conn) close(cause verdict.Cause, detail string) {
	c.fail(verdict.New(verdict.MayHaveRun, cause, detail))
}

// fail closes the connection and ends the attempt on it with err.
func (c *conn) fail(err *verdict.Error) {
	p := c.pool
	p.mu.Lock()
	if c.closed {
		p.mu.Unlock()
		return
	}
	if c.unfinished() {
		p.unfinished--
	}
	c.closed = true
	a := c.attempt
	c.attempt = nil
	delete(p.conns, c)
	for i, idle := range p.idle {
		if idle == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	if a != nil {
		a.ended = true
	}
	p.dialMore()
	p.mu.Unlock()
	if a != nil && err.Cause == verdict.ConnectionSilent {
		c.discardUnsent()
	}
	_ = c.nc.Close()
	p.count("connections_closed_" + string(err.Cause))
	if a != nil {
		p.end(a, nil, err)
	}
}

// discardUnsent makes the kernel drop what the replica has not received yet when the
// connection is closed. Otherwise it would deliver a request that was given up.
func (c *conn) discardUnsent() {
	if nc, ok := c.nc.(interface{ SetLinger(sec int) error }); ok {
		// An error means that the connection has ended.
		_ = nc.SetLinger(0)
	}
}
