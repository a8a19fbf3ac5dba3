package callerhttp

import (
	"context"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/membudget"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// Exchange is one request with its response.
type Exchange struct {
	Request      *fasthttp.Request
	Response     *fasthttp.Response
	Arrived      time.Time       // when its last byte came in, as far as is known
	Waited       time.Duration   // how long that byte was unread, as far as the kernel tells
	Uncertain    time.Duration   // by how much it may have come in before Arrived
	Travel       time.Duration   // time on the network, of the request and its answer, and of the handshake before the first request of a connection; 0: not known
	Disconnected <-chan struct{} // closed when the caller has disconnected
	Terminating  <-chan struct{} // closed when the process is about to end: answer at once
	EndsBy       time.Time       // when Terminating is closed at the latest; zero: not known
	// Account has what the request has drawn. Whoever needs the request after the handler
	// has returned must retain the account. nil: no limit.
	Account *membudget.Account
}

// Handler answers a request. It returns once the response is in x.Response.
type Handler func(x *Exchange)

// Limits are the limits of a connection.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	Fields        int // header lines of a request; 0: as many as HeaderBytes has room for
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits hold until the configuration tables set others.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second}

const (
	// writeTimeout is how long a caller may take until the kernel has all of a response, and
	// then without acknowledging any of it.
	writeTimeout = 10 * time.Second
	// pollInterval is how often a shutdown checks for open connections, and how
	// long Listen waits after a failed accept.
	pollInterval = 20 * time.Millisecond
	// lingerTime is how long a refused caller may take to close its connection.
	lingerTime = time.Second
	// connBytes is what a connection takes while no request is being read: its read
	// buffer and the stack of a goroutine.
	connBytes = 6 << 10
)

// Server accepts connections and serves them. It is safe for concurrent use.
type Server struct {
	name        string
	handler     Handler
	refusal     func(resp *fasthttp.Response, status int) // nil: a refusal has no body
	limits      atomic.Pointer[Limits]
	draining    atomic.Bool
	active      atomic.Int64 // requests read and not yet answered
	terminating chan struct{}
	endsBy      atomic.Pointer[time.Time]
	arrivals    arrivals
	budget      *membudget.Budget // nil: no limit
	maxConns    int               // 0: no limit
	buffer      int               // of the kernel for each connection and direction, in bytes; 0: as the kernel decides
	metrics     *expvar.Map
	log         *telemetry.RateLimitedLogger

	mu       sync.Mutex // guards the fields below
	ln       net.Listener
	conns    map[*conn]struct{}
	byClient map[string]int // connections
	shutDown bool
}

// New returns a server for callers that is not listening yet.
func New(h Handler) *Server { return NewNamed("callers", h) }

// NewNamed is New for a server whose metrics and log lines have a name of their own.
func NewNamed(name string, h Handler) *Server {
	s := &Server{
		name:    name,
		handler: h, conns: map[*conn]struct{}{}, byClient: map[string]int{}, terminating: make(chan struct{}),
		metrics: telemetry.Map(name), log: telemetry.NewRateLimitedLogger(zerolog.Nop()),
	}
	s.limits.Store(&DefaultLimits)
	return s
}

// SetLimits sets the limits of the requests that follow.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// SetStalled sets the function that returns how long something that is handled now may
// have waited for the process. It must be called before Listen.
func (s *Server) SetStalled(fn func(now time.Time) time.Duration) { s.arrivals.stalled = fn }

// SetBudget sets the budget of bytes, and the number of connections that may be open; 0:
// any number. It must be called before Listen.
func (s *Server) SetBudget(b *membudget.Budget, maxConns int, log zerolog.Logger) {
	s.budget, s.maxConns, s.log = b, maxConns, telemetry.NewRateLimitedLogger(log)
}

// SetConnectionBuffer sets the bytes that the kernel holds for each connection, of requests
// that have not been read, and of answers that the caller has not acknowledged; 0: as many as
// the kernel decides. More are drawn from the budget while a large request arrives. It must be
// called before Listen.
func (s *Server) SetConnectionBuffer(bytes int) { s.buffer = bytes }

// SetRefusal sets the function that completes the response to a request that was not read
// whole. The status and Retry-After are set already. It must be called before Listen.
func (s *Server) SetRefusal(fn func(resp *fasthttp.Response, status int)) { s.refusal = fn }

// Active returns the number of requests that were read and not yet answered.
func (s *Server) Active() int { return int(s.active.Load()) }

// Listen starts to serve on an address, IP:port.
func (s *Server) Listen(addr string) error {
	// Connections have the listener's buffer from the first packet on, also those that have not
	// been accepted yet.
	var unset error
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		unset = setReceiveBuffer(rc, s.buffer)
		return nil
	}}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", addr)
	}
	if unset != nil {
		s.log.Warn(s.name).Err(unset).Int("bytes", s.buffer).Msg("receive buffer of connections not set: what the kernel holds for them has no bound")
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	go s.accept(ln)
	return nil
}

// Addr returns the address listened on.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln.Addr().String()
}

func (s *Server) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			var ne net.Error
			if eris.As(err, &ne) && ne.Timeout() {
				continue
			}
			s.mu.Lock()
			shutDown := s.shutDown
			s.mu.Unlock()
			if shutDown {
				return
			}
			time.Sleep(pollInterval) // out of file descriptors: wait until some are free
			continue
		}
		s.serve(nc)
	}
}

// serve serves a connection, unless there is no room for it.
func (s *Server) serve(nc net.Conn) {
	c := newConn(s, nc)
	short := ""
	switch {
	case s.maxConns > 0 && s.openConns() >= s.maxConns && !s.closeWaiting(nil, "descriptors"):
		short = "descriptors"
	case !s.budget.Draw(connBytes) && (!s.closeWaiting(nil, "memory") || !s.budget.Draw(connBytes)):
		short = "memory"
	}
	if short != "" {
		_ = nc.Close()
		s.closed(c, short)
		return
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.byClient[c.client]++
	if s.shutDown {
		c.stopReading()
	}
	s.mu.Unlock()
	go c.read()
}

// Drain makes every response end its connection with Connection: close.
func (s *Server) Drain() { s.draining.Store(true) }

// SetEnd sets when the active requests must be answered at the latest.
func (s *Server) SetEnd(at time.Time) { s.endsBy.Store(&at) }

// end returns when the active requests must be answered; zero: not known.
func (s *Server) end() time.Time {
	if at := s.endsBy.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Draining reports whether Drain has been called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Shutdown stops accepting, closes idle connections, and waits until the other
// connections have been answered or ctx ends. It waits for open connections
// rather than for active requests, since a request that has just been read is not
// counted as active yet.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.mu.Lock()
	s.shutDown = true
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		c.stopReading()
	}
	s.mu.Unlock()
	for s.openConns() > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "shutdown: %d connections open, %d requests not answered", s.openConns(), s.active.Load())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Terminate signals the handlers to answer all active requests at once. It is
// called at most once.
func (s *Server) Terminate() { close(s.terminating) }

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	s.forget(c)
	s.mu.Unlock()
}

// forget removes a connection, once. s.mu is held.
func (s *Server) forget(c *conn) {
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	if s.byClient[c.client]--; s.byClient[c.client] == 0 {
		delete(s.byClient, c.client)
	}
	s.budget.Return(connBytes)
}
