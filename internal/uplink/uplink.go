package uplink

import (
	"net"
	"sync"

	"github.com/sapphirewall/sapphirewall/internal/sockstat"
)

// bulkBytes is the size of a write from which a connection is watched. Smaller ones
// leave the link within a few milliseconds.
const bulkBytes = 4 << 10

// Link is the VM's link as far as its sessions use it. It is safe for concurrent use.
type Link struct {
	mu   sync.Mutex // guards busy
	busy map[*conn]struct{}
}

// New returns a link without connections.
func New() *Link { return &Link{busy: map[*conn]struct{}{}} }

// Wrap returns a connection whose large writes are watched.
func (l *Link) Wrap(c net.Conn) net.Conn { return &conn{Conn: c, link: l} }

// Queued returns the bytes of large writes that the other ends have not acknowledged.
func (l *Link) Queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for c := range l.busy {
		n, _ := sockstat.Unacknowledged(c.Conn)
		if n == 0 {
			delete(l.busy, c)
		}
		total += n
	}
	return total
}

// conn is a connection over the link.
type conn struct {
	net.Conn
	link *Link
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if len(p) >= bulkBytes {
		c.link.mu.Lock()
		c.link.busy[c] = struct{}{}
		c.link.mu.Unlock()
	}
	return c.Conn.Write(p)
}
