package netdelay

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of what is on its way at once, in each direction.
const (
	chunkBytes = 32 << 10
	maxChunks  = 1024
)

// chunk is a piece of the stream with the time at which it arrives.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// conn is a connection whose bytes arrive late.
type conn struct {
	net.Conn
	delay    time.Duration // of one direction
	sendQueue, receiveQueue  chan chunk
	closed   chan struct{}
	closeOnce     sync.Once
	readDeadline atomic.Int64 // of reads, in Unix nanoseconds; 0: none
	writeErr   atomic.Pointer[error]
	unread     []byte
	readErr  error
}

// Wrap returns c with a delay for the bytes of each direction.
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

// Write queues a copy of p; an error of an earlier write is returned late.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.writeErr.Load(); err != nil {
		return 0, *err
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	piece := chunk{data: append([]byte(nil), p...), due: time.Now().Add(c.delay)}
	select {
	case c.sendQueue <- piece:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Read returns bytes once they have arrived.
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

// receive waits for the receive chunk.
func (c *conn) receive() error {
	var expired <-chan time.Time
	if at := c.readDeadline.Load(); at != 0 {
		t := time.NewTimer(time.Until(time.Unix(0, at)))
		defer t.Stop()
		expired = t.C
	}
	select {
	case piece := <-c.receiveQueue:
		c.sleepUntil(piece.due)
		c.unread, c.readErr = piece.data, piece.err
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

// SetReadDeadline bounds the reads that begin after it.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.readDeadline.Store(0)
		return nil
	}
	c.readDeadline.Store(t.UnixNano())
	return nil
}

// SetDeadline bounds reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// Close ends the connection at once; bytes on their way are lost.
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
		case piece := <-c.sendQueue:
			c.sleepUntil(piece.due)
			if _, err := c.Conn.Write(piece.data); err != nil {
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
