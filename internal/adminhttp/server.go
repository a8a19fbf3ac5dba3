package adminhttp

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/callerhttp"
)

// limits are those of a request. Nothing that is asked here has a body.
var limits = callerhttp.Limits{HeaderBytes: 8 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// connectionBuffer is the bytes that the kernel holds for a connection.
const connectionBuffer = 8 << 10

// Server serves a few paths to a bounded number of connections.
type Server struct {
	http *callerhttp.Server
	addr string
}

// NewServer returns a server for an address, IP:port, which isn't listening yet. name is that
// of its metrics; connections is the number that may be open. handle answers the request for
// a path.
func NewServer(name, addr string, connections int, log zerolog.Logger, handle func(path string, resp *fasthttp.Response)) *Server {
	h := callerhttp.NewNamed(name, func(x *callerhttp.Exchange) {
		x.Response.Header.SetContentType("text/plain; charset=utf-8")
		handle(string(x.Request.URI().Path()), x.Response)
	})
	h.SetLimits(limits)
	h.SetBudget(nil, connections, log)
	h.SetConnectionBuffer(connectionBuffer)
	return &Server{http: h, addr: addr}
}

// Start listens and serves in the background.
func (s *Server) Start() error { return s.http.Listen(s.addr) }

// Stop answers the requests that have been read, until ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Addr returns the address that a started server listens on.
func (s *Server) Addr() string { return s.http.Addr() }

// Fail makes a response one of failure.
func Fail(resp *fasthttp.Response, status int, text string) {
	resp.SetStatusCode(status)
	resp.SetBodyString(text + "\n")
}
