package callerhttp

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Exchange is one request with its answer.
type Exchange struct {
	Request      *fasthttp.Request
	Response     *fasthttp.Response
	Arrived      time.Time       // when its last byte had been read
	Disconnected <-chan struct{} // closed when the caller has left
	Terminating  <-chan struct{} // closed when the process must end: answer at once
}

// Handler answers a request. It returns once the answer is in x.Response.
type Handler func(x *Exchange)

// Limits bound a connection.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits hold until the tables name others.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second}

// The times of the server.
const (
	// writeTimeout is how long a caller may take to read an answer.
	writeTimeout = 10 * time.Second
	// pollActive is how often a shutdown looks whether all is answered.
	pollActive = 20 * time.Millisecond
)

// Server accepts connections. It is safe for concurrent use.
type Server struct {
	handler  Handler
	limits   atomic.Pointer[Limits]
	draining atomic.Bool
	active   atomic.Int64 // requests read and not yet answered
	ending   chan struct{}

	mu    sync.Mutex // guards ln, conns and down
	ln    net.Listener
	conns map[*conn]struct{}
	down  bool
}

// New returns a server that isn't listening yet.
func New(h Handler) *Server {
	s := &Server{handler: h, conns: map[*conn]struct{}{}, ending: make(chan struct{})}
	s.limits.Store(&DefaultLimits)
	return s
}

// SetLimits changes the limits for the requests that follow. The header limit
// holds for new connections.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// Active is the number of requests in hand.
func (s *Server) Active() int { return int(s.active.Load()) }

// Listen begins to serve at an address, IP:port.
func (s *Server) Listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", addr)
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
			down := s.down
			s.mu.Unlock()
			if down {
				return
			}
			time.Sleep(pollActive) // out of descriptors: wait until some are free
			continue
		}
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		if s.down {
			c.stopReading()
		}
		s.mu.Unlock()
		go c.read()
		go c.answer()
	}
}

// Drain makes every answer ask its caller to close the connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting, closes idle connections, and waits until the other
// ones have had their answers or ctx ends. It waits for connections and not for
// requests in hand, since a request that has just been read is in nobody's count
// yet.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.mu.Lock()
	s.down = true
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		c.stopReading()
	}
	s.mu.Unlock()
	for s.open() > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%d connections open, %d requests in hand", s.open(), s.active.Load())
		case <-time.After(pollActive):
		}
	}
	return nil
}

// Terminate asks for an answer at once to everything in hand. It is called once.
func (s *Server) Terminate() { close(s.ending) }

func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}
