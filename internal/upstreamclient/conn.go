package upstreamclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/httpreply"
	"github.com/sapphirewall/sapphirewall/internal/replybody"
	"github.com/sapphirewall/sapphirewall/internal/upstream"
)

// Buffer sizes of a connection. The read buffer also limits the headers of an
// answer.
const (
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
)

// DefaultMaxAnswerBytes is the default limit on the body of an answer.
const DefaultMaxAnswerBytes = 4 << 20

// singleFields are the fields that say which attempt an answer is to, what it covers, and
// whether the attempt was executed.
var singleFields = []string{
	upstream.HeaderRequestID, upstream.HeaderAttempt, upstream.HeaderSnapshot, upstream.HeaderRange, upstream.HeaderNotRun,
}

// ErrUnusable is returned for a call on a connection that has failed.
var ErrUnusable = errors.New("upstreamclient: connection can't be used any more")

// DialFunc opens a connection to an upstream; tests pass their own.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP is the DialFunc for TCP.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Conn is a connection to an upstream. It carries one call at a time; only Close
// and SinceLastByte may be called concurrently with it.
type Conn struct {
	nc             net.Conn
	host           string
	br             *bufio.Reader
	bw             *bufio.Writer
	counter        *countingConn
	maxAnswerBytes int
	broken         atomic.Bool
}

// countingConn counts the bytes written to the connection and records when
// bytes were last read from it.
type countingConn struct {
	net.Conn
	written  int64 // bytes; accessed only by the goroutine that makes the call
	openedAt time.Time
	lastRead atomic.Int64 // nanoseconds since openedAt
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

// SetMaxAnswerBytes sets the largest body that an answer may have.
func (c *Conn) SetMaxAnswerBytes(n int) { c.maxAnswerBytes = n }

// Usable reports whether another call may be made on the connection: it has not
// failed, the upstream has not closed it, and it holds no unread bytes.
func (c *Conn) Usable() bool {
	return !c.broken.Load() && c.br.Buffered() == 0 && isIdle(c.nc)
}

// OpenedAt returns when the connection was opened.
func (c *Conn) OpenedAt() time.Time { return c.counter.openedAt }

// SinceLastByte returns the time since a byte was last read from the
// connection, or since it was opened if none was.
func (c *Conn) SinceLastByte() time.Duration {
	return time.Since(c.counter.openedAt) - time.Duration(c.counter.lastRead.Load())
}

// Close closes the connection; a call in flight fails.
func (c *Conn) Close() {
	c.broken.Store(true)
	_ = c.nc.Close()
}

// roundTrip writes req and reads the answer into resp. sent reports whether any
// byte of req was written to the connection.
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

// contextErr returns why ctx permits no more sends, or nil. It compares the
// deadline with the clock because a process that was paused can resume after the
// deadline but before its timers have ended the context.
func contextErr(ctx context.Context) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// readResponse reads one answer. An answer without Content-Length ends when the
// connection is closed, so that truncation could not be detected: it is an error.
func (c *Conn) readResponse(resp *fasthttp.Response) error {
	switch err := httpreply.PeekHead(c.br, singleFields...); {
	case httpreply.IsMalformed(err):
		return badAnswer("%v", err)
	case errors.Is(err, bufio.ErrBufferFull):
		return badAnswer("headers over %d bytes", readBufferBytes)
	case err != nil:
		return err
	}
	if err := resp.Header.Read(c.br); err != nil {
		var small *fasthttp.ErrSmallBuffer
		if errors.As(err, &small) {
			return badAnswer("headers over %d bytes", readBufferBytes)
		}
		return err
	}
	n := resp.Header.ContentLength()
	switch {
	case n < 0:
		return badAnswer("no Content-Length")
	case n > c.maxAnswerBytes:
		return badAnswer("body of %d bytes, at most %d", n, c.maxAnswerBytes)
	}
	body, err := replybody.Read(io.LimitReader(c.br, int64(n)), n, c.maxAnswerBytes, nil)
	switch {
	case errors.Is(err, replybody.ErrNoRoom):
		return badAnswer("%v", err)
	case err != nil:
		return err
	case len(body) < n:
		return io.ErrUnexpectedEOF
	}
	resp.SetBodyRaw(body)
	if resp.ConnectionClose() {
		c.Close()
	}
	return nil
}
