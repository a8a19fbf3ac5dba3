package uplink

import (
	"net"
	"sync"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/sockstat"
)

// bulkBytes is the size of a write from which a connection is watched. Smaller ones
// leave the link within a few milliseconds.
const bulkBytes = 4 << 10

const (
	// maxQueueTime is how long what the VM reads and sends in bulk may take of its link at
	// a time, and so hold up requests.
	maxQueueTime = 25 * time.Millisecond
	// minWindow and maxWindow bound what may be on its way. Less than minWindow is sent as
	// slowly as the way there and back takes.
	minWindow = 12 << 10
	maxWindow = 64 << 10

	bytesPerMbit = 1_000_000 / 8
)

// Link is the VM's link as far as its sessions use it. It is safe for concurrent use.
type Link struct {
	rate float64 // in Mbit/s; 0: not known

	mu   sync.Mutex // guards busy
	busy map[*conn]struct{}
}

// New returns a link with a rate in Mbit/s, or 0 if that isn't known.
func New(rate float64) *Link { return &Link{rate: rate, busy: map[*conn]struct{}{}} }

// Window returns the bytes of bulk that may be on their way at a time.
func (l *Link) Window() int {
	if l.rate == 0 {
		return maxWindow
	}
	return min(max(int(l.rate*bytesPerMbit*maxQueueTime.Seconds()), minWindow), maxWindow)
}

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
