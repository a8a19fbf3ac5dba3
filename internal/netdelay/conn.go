package netdelay

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the data in transit, for each direction.
const (
	chunkBytes = 32 << 10
	maxChunks  = 1024
)

// chunk is a part of the byte stream with the time at which it is delivered.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// conn is a connection that delivers bytes after a delay.
type conn struct {
	net.Conn
	delay                   time.Duration // one way
	sendQueue, receiveQueue chan chunk
	closed                  chan struct{}
	closeOnce               sync.Once
	readDeadline            atomic.Int64 // in Unix nanoseconds; 0 means none
	writeErr                atomic.Pointer[error]
	unread                  []byte
	readErr                 error
}

// Wrap returns a connection that delays the bytes of each direction by oneWay. It
// returns c itself if oneWay is not positive.
func Wrap(c net.Conn, oneWay time.Duration) net.Conn {
	if oneWay <= 0 {
		return c
	}
	d := &conn{
		Conn: c, delay: oneWay, closed: make(chan struct{}),
		sendQueue: make(chan chunk, maxChunks), receiveQueue: make(chan chunk, maxChunks),
	}
	go d.sendLoop()
	go d.receiveLoop()
	return d
}

// Write queues a copy of p. A write error of the underlying connection is
// returned by a later call.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.writeErr.Load(); err != nil {
		return 0, *err
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	next := chunk{data: append([]byte(nil), p...), due: time.Now().Add(c.delay)}
	select {
	case c.sendQueue <- next:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Read blocks until bytes have arrived and their delay has passed.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		if err := c.receive(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// receive waits for the next chunk and makes its bytes available to Read.
func (c *conn) receive() error {
	var expired <-chan time.Time
	if nanos := c.readDeadline.Load(); nanos != 0 {
		t := time.NewTimer(time.Until(time.Unix(0, nanos)))
		defer t.Stop()
		expired = t.C
	}
	select {
	case next := <-c.receiveQueue:
		c.sleepUntil(next.due)
		c.unread, c.readErr = next.data, next.err
		if len(c.unread) == 0 {
			return c.readErr
		}
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-c.closed:
		return net.ErrClosed
	}
}

// SetReadDeadline sets the deadline of later calls of Read. It does not affect a
// Read that is already blocked.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.readDeadline.Store(0)
		return nil
	}
	c.readDeadline.Store(t.UnixNano())
	return nil
}

// SetDeadline sets the read and the write deadline.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// Close closes the connection at once and discards bytes in transit.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *conn) sleepUntil(until time.Time) {
	d := time.Until(until)
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.closed:
	}
}

func (c *conn) sendLoop() {
	for {
		select {
		case next := <-c.sendQueue:
			c.sleepUntil(next.due)
			if _, err := c.Conn.Write(next.data); err != nil {
				c.writeErr.Store(&err)
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *conn) receiveLoop() {
	for {
		buf := make([]byte, chunkBytes)
		n, err := c.Conn.Read(buf)
		select {
		case c.receiveQueue <- chunk{data: buf[:n], due: time.Now().Add(c.delay), err: err}:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}
