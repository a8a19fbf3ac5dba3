package httpreply

import (
	"errors"
	"net"
)

// maxHeadBytes bounds the head of a reply on a Conn.
const maxHeadBytes = 64 << 10

var errHeadTooLarge = errors.New("head of a reply is too large")

// Conn is a client's connection whose replies are checked as they come in, for clients that
// read replies themselves. It carries one call at a time: the first bytes that are read, and
// the first after each write, begin a reply.
type Conn struct {
	net.Conn
	single   []string // as in CheckHead
	head     []byte   // of the reply that is coming in
	awaiting bool     // the head has not ended
}

// NewConn returns the checked connection on nc. single is as in CheckHead.
func NewConn(nc net.Conn, single ...string) *Conn {
	return &Conn{Conn: nc, single: single, awaiting: true}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.head, c.awaiting = c.head[:0], true
	return c.Conn.Write(p)
}

// Read implements net.Conn. It fails if no valid reply begins. The bytes with which a
// malformed head ends are not returned.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.awaiting {
		return n, err
	}
	c.head = append(c.head, p[:n]...)
	if bad := CheckStatusLine(c.head); bad != nil {
		return c.fail(p, n, bad)
	}
	switch end := headEnd(c.head); {
	case end > 0:
		if bad := CheckHead(c.head[:end], c.single...); bad != nil {
			return c.fail(p, n, bad)
		}
		c.head, c.awaiting = nil, false
	case len(c.head) > maxHeadBytes:
		return c.fail(p, n, errHeadTooLarge)
	}
	return n, err
}

// fail returns the result of a Read of n bytes into p that fails with err. The HTTP library
// takes an error without any byte of a reply for the end of the connection, so that it gets
// the first byte that a reply has.
func (c *Conn) fail(p []byte, n int, err error) (int, error) {
	if len(c.head) > n {
		return 0, err
	}
	p[0] = protocol[0]
	return 1, err
}
