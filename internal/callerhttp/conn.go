package callerhttp

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/membudget"
)

// conn is one caller's connection. One goroutine reads requests and another, which
// begins with the first request, answers them in order.
type conn struct {
	server       *Server
	nc           net.Conn
	client       string // host of the caller's address
	br           *bufio.Reader
	bw           *bufio.Writer // nil until the first answer
	incoming     chan *received
	disconnected chan struct{} // closed when reading has ended: the caller disconnected or was idle too long
	stopped      atomic.Bool   // no more requests are read
	evicted      atomic.Bool   // its bytes are needed for others
	pending      atomic.Int64  // requests read and not yet answered
	waitingSince atomic.Int64  // when it began to wait for the present request, in Unix ns
	used         bool          // a request was read
	window       int           // bytes drawn for the kernel's receive buffer
	unacked      int           // at most so many bytes of answers have not been acknowledged
	sendingSince atomic.Int64  // since when an answer is being sent, in Unix ns; 0: none is
	steps        stepWriter
	// stopReceiving and stopSending end a request that is being read, or an answer that
	// is being written, because its bytes are needed.
	stopReceiving, stopSending func()
}

// received is a request, or the status with which an unreadable one is refused.
type received struct {
	request *fasthttp.Request
	account *membudget.Account
	fields  int // lines of the head
	arrived time.Time
	// waited and uncertain are those of Exchange.
	waited, uncertain time.Duration
	travel            time.Duration
	status            int
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{
		server: s, nc: nc, client: clientOf(nc), incoming: make(chan *received), disconnected: make(chan struct{}),
		br: bufio.NewReaderSize(nc, min(headBuffer, s.limits.Load().HeaderBytes)),
	}
	c.waitingSince.Store(time.Now().UnixNano())
	c.stopReceiving = func() {
		c.evicted.Store(true)
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
	c.stopSending = func() { _ = c.nc.Close() }
	return c
}

// clientOf returns whom the bytes of a connection are charged to.
func clientOf(nc net.Conn) string {
	host, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	return host
}

// stopReading makes read return without waiting for another request.
func (c *conn) stopReading() {
	c.stopped.Store(true)
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
}

// read passes requests to answer until the connection ends or is stopped.
func (c *conn) read() {
	answering := false
	defer func() {
		close(c.incoming)
		if !answering {
			c.close()
		}
	}()
	for !c.stopped.Load() {
		in := c.readOne()
		if in == nil {
			if !c.stopped.Load() {
				close(c.disconnected)
			}
			return
		}
		c.server.active.Add(1)
		c.pending.Add(1)
		if !answering {
			answering = true
			go c.answer()
		}
		c.incoming <- in
		if in.status != 0 {
			return
		}
		c.waitingSince.Store(time.Now().UnixNano())
	}
}

// readOne returns the next request, or nil if there is none.
func (c *conn) readOne() *received {
	limits := c.server.limits.Load()
	c.setReadDeadline(limits.IdleTimeout)
	if _, err := c.br.Peek(1); err != nil {
		return nil
	}
	c.setReadDeadline(limits.HeaderTimeout)
	account, ok := c.open()
	if !ok {
		return &received{status: fasthttp.StatusServiceUnavailable}
	}
	account.Begin(c.stopReceiving)
	in, err := c.readRequest(limits, account)
	if !account.End() || errors.Is(err, errNoBytes) {
		in, err = &received{status: fasthttp.StatusServiceUnavailable}, nil
	}
	if err != nil {
		in = refusal(err)
	}
	if in == nil || in.status != 0 {
		account.Release()
		return in
	}
	c.setReadDeadline(0)
	in.account = account
	in.arrived, in.waited, in.uncertain = c.server.arrivals.of(c.nc)
	in.travel = travel(c.nc, c.used)
	c.used = true
	return in
}

// open opens the account of a request. A crowd of small unfinished requests may hold the
// bytes, some of which are closed then.
func (c *conn) open() (*membudget.Account, bool) {
	for {
		account, ok := c.server.budget.Open(c.client)
		if ok || !c.server.closeWaiting(c, "memory") {
			return account, ok
		}
	}
}

// readRequest reads a request whose first byte has arrived.
func (c *conn) readRequest(limits *Limits, account *membudget.Account) (*received, error) {
	defer c.narrow(account)
	fields, err := c.awaitHead(limits, account)
	if err != nil {
		return nil, err
	}
	req := fasthttp.AcquireRequest()
	req.Header.DisableNormalizing()
	if err := req.Header.Read(c.br); err != nil {
		return nil, err
	}
	if conflictingLength(req) {
		return &received{status: fasthttp.StatusBadRequest}, nil
	}
	if req.MayContinue() {
		if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	b := bodyReader{br: c.br, limit: limits.BodyBytes, account: account, conn: c}
	if err := b.readInto(req); err != nil {
		return nil, err
	}
	c.shrink()
	return &received{request: req, fields: fields}, nil
}

// setReadDeadline sets the time limit of the next read; 0 is none. The deadline of a
// stopped connection stays in the past.
func (c *conn) setReadDeadline(d time.Duration) {
	at := time.Time{}
	if d > 0 {
		at = time.Now().Add(d)
	}
	_ = c.nc.SetReadDeadline(at)
	if c.stopped.Load() || c.evicted.Load() {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// conflictingLength reports whether a request has both a Transfer-Encoding and a
// Content-Length, which another HTTP implementation may interpret differently
// (request smuggling).
func conflictingLength(req *fasthttp.Request) bool {
	return len(req.Header.Peek(fasthttp.HeaderTransferEncoding)) > 0 && len(req.Header.Peek(fasthttp.HeaderContentLength)) > 0
}

// refusal returns the status for a request that can't be read, or nil if the
// caller has disconnected.
func refusal(err error) *received {
	var ne net.Error
	switch {
	case isHeadTooLarge(err):
		return &received{status: fasthttp.StatusRequestHeaderFieldsTooLarge}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return &received{status: fasthttp.StatusRequestEntityTooLarge}
	case errors.As(err, &ne) && ne.Timeout():
		return &received{status: fasthttp.StatusRequestTimeout}
	case isConnectionError(err):
		return nil
	}
	return &received{status: fasthttp.StatusBadRequest}
}

// isConnectionError reports whether err means that the connection ended, as
// opposed to bytes that are not a valid request.
func isConnectionError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// answer answers requests until the connection ends.
func (c *conn) answer() {
	for in := range c.incoming {
		keep := c.answerOne(in)
		c.done(in)
		if !keep {
			break
		}
	}
	c.stopReading()
	c.close()
	for in := range c.incoming { // a request that was read while the connection was closing
		c.done(in)
	}
}

// done ends a request.
func (c *conn) done(in *received) {
	in.account.Release()
	c.pending.Add(-1)
	c.server.active.Add(-1)
}

func (c *conn) close() {
	_ = c.nc.Close()
	c.server.remove(c)
}

// answerOne answers one request and reports whether the connection stays open.
func (c *conn) answerOne(in *received) bool {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.Header.DisableNormalizing()
	resp.Header.SetNoDefaultContentType(true)
	if in.status != 0 {
		c.refuse(resp, in.status)
		return false
	}
	defer in.releaseRequest()
	c.server.handler(&Exchange{
		Request: in.request, Response: resp, Arrived: in.arrived, Waited: in.waited, Uncertain: in.uncertain, Travel: in.travel,
		Disconnected: c.disconnected, Terminating: c.server.terminating, EndsBy: c.server.end(), Account: in.account,
	})
	c.server.arrivals.prove(c.nc, in.arrived)
	if in.request.Header.IsHead() {
		resp.SkipBody = true
	}
	last := in.request.ConnectionClose() || c.server.draining.Load()
	if last {
		resp.SetConnectionClose()
	}
	in.account.Begin(c.stopSending)
	err := c.write(resp, in.account)
	if !in.account.End() || errors.Is(err, errNotRead) {
		c.server.slowReader(c)
	}
	return err == nil && !last
}

// releaseRequest returns the request to its pool, unless it has grown: a pooled request
// keeps its buffers.
func (in *received) releaseRequest() {
	if len(in.request.Body()) > 0 {
		in.request.SwapBody(nil)
	}
	if in.fields <= maxPooledFields {
		fasthttp.ReleaseRequest(in.request)
	}
}

// refuse answers a request that was not read whole, and so has not run.
func (c *conn) refuse(resp *fasthttp.Response, status int) {
	resp.SetStatusCode(status)
	resp.SetConnectionClose()
	short := status == fasthttp.StatusServiceUnavailable
	if short {
		c.server.refused(c)
		resp.Header.Set(fasthttp.HeaderRetryAfter, retryAfter())
	}
	if c.server.refusal != nil {
		c.server.refusal(resp, status)
	}
	if c.write(resp, nil) == nil && short {
		c.linger()
	}
}

// linger waits a moment for the caller to close. If bytes of a refused request were still
// unread, the kernel would reset the connection and the caller might lose the refusal.
func (c *conn) linger() {
	nc, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || nc.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	scratch := make([]byte, 1<<10)
	for {
		if _, err := c.nc.Read(scratch); err != nil {
			return
		}
	}
}

// retryAfter returns when a request that found no room may come again, spread out so that
// callers don't come back together.
func retryAfter() string {
	return strconv.FormatFloat(0.5+rand.Float64(), 'f', 3, 64)
}
