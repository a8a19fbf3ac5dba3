package upstreamclient

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// The sizes of a connection's buffers, in bytes. The read buffer also bounds
// the headers of an answer.
const (
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
)

// DefaultMaxAnswerBytes bounds the body of an answer.
const DefaultMaxAnswerBytes = 4 << 20

// ErrUnusable is returned for a call on a connection that has failed.
var ErrUnusable = errors.New("upstreamclient: connection can't be used any more")

// DialFunc opens a connection; tests replace it.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP is the DialFunc for TCP.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Conn is one connection to an upstream. It carries one call at a time; only
// Close and Silence may be called beside it.
type Conn struct {
	nc        net.Conn
	host      string
	br        *bufio.Reader
	bw        *bufio.Writer
	counter   *countingConn
	maxAnswerBytes int
	broken    atomic.Bool
}

// countingConn counts the bytes handed to the connection and notes when it
// last brought any.
type countingConn struct {
	net.Conn
	written int64 // only the calling goroutine writes
	openedAt   time.Time
	lastRead   atomic.Int64 // nanoseconds since begin
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.openedAt)))
	}
	return n, err
}

// New returns a Conn on an open connection to the upstream at addr.
func New(nc net.Conn, addr string) *Conn {
	counter := &countingConn{Conn: nc, openedAt: time.Now()}
	return &Conn{
		nc: nc, host: addr, counter: counter, maxAnswerBytes: DefaultMaxAnswerBytes,
		br: bufio.NewReaderSize(counter, readBufferBytes),
		bw: bufio.NewWriterSize(counter, writeBufferBytes),
	}
}

// Dial opens a connection to addr.
func Dial(ctx context.Context, addr string, dial DialFunc) (*Conn, error) {
	nc, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return New(nc, addr), nil
}

// SetMaxAnswerBytes sets the largest body that an answer may have, in bytes.
func (c *Conn) SetMaxAnswerBytes(n int) { c.maxAnswerBytes = n }

// Usable reports whether another call may be made on the connection: it has
// not failed, and neither an end nor a stray byte waits to be read.
func (c *Conn) Usable() bool {
	return !c.broken.Load() && c.br.Buffered() == 0 && isIdle(c.nc)
}

// OpenedAt is when the connection was opened.
func (c *Conn) OpenedAt() time.Time { return c.counter.openedAt }

// SinceLastByte is the time since the connection last brought a byte.
func (c *Conn) SinceLastByte() time.Duration {
	return time.Since(c.counter.openedAt) - time.Duration(c.counter.lastRead.Load())
}

// Close ends the connection; a call in hand fails.
func (c *Conn) Close() {
	c.broken.Store(true)
	_ = c.nc.Close()
}

// roundTrip writes req and reads an answer with a stated length into resp.
// sent says whether any byte of req was handed to the connection.
func (c *Conn) roundTrip(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (sent bool, err error) {
	if c.broken.Load() {
		return false, ErrUnusable
	}
	if err := contextErr(ctx); err != nil {
		return false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !stop() || err != nil {
			c.Close()
		}
	}()
	before := c.counter.written
	err = req.Write(c.bw)
	if err == nil {
		err = c.bw.Flush()
	}
	sent = c.counter.written > before
	if err != nil {
		return sent, err
	}
	return sent, c.readResponse(resp)
}

// contextErr returns why nothing may be sent any more. A process that was paused
// may wake after the deadline and before its timers have told.
func contextErr(ctx context.Context) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// readResponse reads one answer. An answer without a length ends with the
// connection, so a cut could not be told from its end: it is refused.
func (c *Conn) readResponse(resp *fasthttp.Response) error {
	if err := resp.Header.Read(c.br); err != nil {
		var small *fasthttp.ErrSmallBuffer
		if errors.As(err, &small) {
			return badAnswer("headers over %d bytes", readBufferBytes)
		}
		return err
	}
	n := resp.Header.ContentLength()
	switch {
	case resp.StatusCode() < fasthttp.StatusOK:
		return badAnswer("status %d", resp.StatusCode())
	case n < 0:
		return badAnswer("no Content-Length")
	case n > c.maxAnswerBytes:
		return badAnswer("body of %d bytes, at most %d", n, c.maxAnswerBytes)
	}
	if err := resp.ReadBody(c.br, c.maxAnswerBytes); err != nil {
		return err
	}
	if resp.ConnectionClose() {
		c.Close()
	}
	return nil
}
