package connpool

import (
	"net"
	"slices"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/decide/reach"
)

// Way returns the connections to the replica.
func (p *Pool) Way() reach.Way {
	p.mu.Lock()
	defer p.mu.Unlock()
	return reach.Way{RefusedAt: p.refusedAt, Open: len(p.conns), Idle: len(p.idle), Waiting: len(p.waiting)}
}

// needDial is the number of waiting attempts for which connections are opened. Those that
// can wait for an open connection need none while further ones can't be opened. p.mu is
// held.
func (p *Pool) needDial() int {
	if p.refusedAt.IsZero() || len(p.conns) == 0 {
		return len(p.waiting)
	}
	n := 0
	for _, a := range p.waiting {
		if !a.Queue {
			n++
		}
	}
	return n
}

// add adds a connection that was opened. It returns the attempt to write on it, or nil. p.mu
// is held.
func (p *Pool) add(nc net.Conn) (*conn, *Attempt) {
	c := newConn(p, nc)
	p.conns[c] = struct{}{}
	a := c.next(time.Now())
	if !p.refusedAt.IsZero() {
		p.refusedAt = time.Time{}
		p.dialMore() // for the attempts that could only queue until now
	}
	return c, a
}

// nextUnqueued is nextWaiting for an attempt that ends because no connection could be
// opened. p.mu is held.
func (p *Pool) nextUnqueued() *Attempt {
	if len(p.conns) == 0 {
		return p.nextWaiting()
	}
	for i, a := range p.waiting {
		if !a.Queue {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			a.ended = true
			return a
		}
	}
	return nil
}
