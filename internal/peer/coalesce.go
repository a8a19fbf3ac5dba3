package peer

import "net"

// The parts of yamux's frame header layout that coalescingConn needs.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1 // offset of the frame type, one byte
	muxTypeData     = 0
	muxLengthOffset = 8 // offset of the body length, four bytes
)

// coalescingConn combines the header and the body of a data frame, which yamux
// writes separately, into one write to the connection. It is not safe for
// concurrent writes; yamux writes from a single goroutine.
type coalescingConn struct {
	net.Conn
	headerPending bool // buf holds a header whose body has not been written yet
	buf           []byte
}

// Write implements net.Conn.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if !c.headerPending && isDataHeader(p) {
		c.buf = append(c.buf[:0], p...)
		c.headerPending = true
		return len(p), nil
	}
	if !c.headerPending {
		return c.Conn.Write(p)
	}
	c.headerPending = false
	c.buf = append(c.buf, p...)
	n, err := c.Conn.Write(c.buf)
	return max(0, n-muxHeaderBytes), err
}

// isDataHeader reports whether p is the header of a data frame with a body.
func isDataHeader(p []byte) bool {
	if len(p) != muxHeaderBytes || p[muxTypeOffset] != muxTypeData {
		return false
	}
	length := p[muxLengthOffset : muxLengthOffset+4]
	return length[0]|length[1]|length[2]|length[3] != 0
}
