package connpool

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/verdict"
)

// readBuffer is the size of a connection's read buffer in bytes; it also
// bounds the headers of an answer.
const readBuffer = 4 << 10

// maxStray bounds the answers to other requests that are skipped before the one
// that is waited for.
const maxStray = 4

// conn is one connection. All fields but nc and br are guarded by peer.mu.
type conn struct {
	peer      *Pool
	nc        net.Conn
	br        *bufio.Reader
	flight    *Attempt // nil while idle
	broken    bool
	idleSince time.Time
	idleFor   time.Duration
}

func newConn(p *Pool, nc net.Conn) *conn {
	return &conn{peer: p, nc: nc, br: bufio.NewReaderSize(nc, readBuffer), idleFor: idleTimeout}
}

// assign gives the connection a flight. peer.mu is held.
func (c *conn) assign(f *Attempt) {
	c.flight = f
	f.conn = c
}

// rest makes the connection idle. peer.mu is held.
func (c *conn) rest(now time.Time) {
	c.flight = nil
	c.idleSince = now
	c.peer.idle = append(c.peer.idle, c)
}

// write sends the flight that was assigned.
func (c *conn) write(f *Attempt) {
	scratch := buffers.Get().(*[]byte)
	buf := c.peer.codec.AppendRequest((*scratch)[:0], f.Request, c.peer.id, time.Until(f.Deadline))
	if len(buf) >= largeRequest {
		go c.writeBytes(f, buf)
		return
	}
	c.writeBytes(f, buf)
	*scratch = buf
	buffers.Put(scratch)
}

// buffers holds room for requests that are written at once.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

func (c *conn) writeBytes(f *Attempt, buf []byte) {
	if len(buf) >= largeRequest {
		_ = c.nc.SetWriteDeadline(f.Deadline)
	}
	n, err := c.nc.Write(buf)
	if err == nil {
		return
	}
	outcome := verdict.MayHaveRun
	if n == 0 {
		outcome = verdict.NotRun
	}
	c.fail(verdict.Newf(outcome, verdict.ConnectionLost, "write: %v", err))
}

// read reads answers until the connection ends.
func (c *conn) read() {
	for stray := 0; ; {
		if _, err := c.br.Peek(1); err != nil {
			c.fail(verdict.Newf(verdict.MayHaveRun, verdict.ConnectionLost, "no answer: %v", err))
			return
		}
		c.peer.mu.Lock()
		f := c.flight
		c.peer.mu.Unlock()
		if f == nil {
			c.fail(verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "bytes that nobody asked for"))
			return
		}
		reply, err := c.peer.codec.ReadReply(c.br, f.Request)
		if err != nil {
			c.fail(verdict.Newf(verdict.MayHaveRun, verdict.BadAnswer, "broken answer: %v", err))
			return
		}
		if reply.RequestID != "" && reply.RequestID != f.Request.ID {
			if stray++; stray > maxStray {
				c.fail(verdict.New(verdict.MayHaveRun, verdict.BadAnswer, "answers to other requests"))
				return
			}
			continue
		}
		stray = 0
		if !c.finish(f, reply) {
			return
		}
	}
}

// finish ends the flight with its answer and takes the next one; it returns
// false when the connection is over.
func (c *conn) finish(f *Attempt, reply *Reply) bool {
	p := c.peer
	p.mu.Lock()
	if c.flight != f { // it was cut meanwhile
		p.mu.Unlock()
		return false
	}
	c.flight = nil
	f.ended = true
	over := reply.Close || c.broken || c.br.Buffered() > 0 || p.closed || len(p.conns) > p.limit
	var next *Attempt
	switch {
	case over:
		c.broken = true
		delete(p.conns, c)
		p.dialMore()
	default:
		c.idleFor = idleTimeout
		if reply.KeepAlive > 0 {
			c.idleFor = min(idleTimeout, max(reply.KeepAlive-idleMargin, idleMargin))
		}
		if next = p.nextWaiting(); next != nil {
			next.ended = false
			c.assign(next)
		} else {
			c.rest(time.Now())
		}
	}
	p.mu.Unlock()
	if over {
		_ = c.nc.Close()
		p.count("connections_closed_with_answer")
	}
	f.end(reply, nil)
	if next != nil {
		c.write(next)
	}
	return !over
}

// close ends the connection from our side; a flight on it may have run.
func (c *conn) close(cause verdict.Cause, why string) {
	c.fail(verdict.New(verdict.MayHaveRun, cause, why))
}

// fail ends the connection and the flight on it.
func (c *conn) fail(err *verdict.Error) {
	p := c.peer
	p.mu.Lock()
	if c.broken {
		p.mu.Unlock()
		return
	}
	c.broken = true
	f := c.flight
	c.flight = nil
	delete(p.conns, c)
	for i, idle := range p.idle {
		if idle == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	if f != nil {
		f.ended = true
	}
	p.dialMore()
	p.mu.Unlock()
	_ = c.nc.Close()
	p.count("connections_closed_" + string(err.Cause))
	if f != nil {
		f.end(nil, err)
	}
}
