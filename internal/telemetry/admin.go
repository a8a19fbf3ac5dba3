package telemetry

import (
	"context"
	"expvar"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/sapphirewall/sapphirewall/internal/kernel"
)

// AdminName is the kernel name of the admin service.
const AdminName = "admin"

// Admin serves /vars (expvar), /metrics (the same counters as text), /live and
// /ready. The platform's load balancer polls /ready.
type Admin struct {
	addr   string
	server *fasthttp.Server
	ln     net.Listener
	kernel *kernel.Kernel
}

// NewAdmin returns the admin service; it listens on addr, IP:port.
func NewAdmin(addr string) *Admin { return &Admin{addr: addr} }

// Name implements kernel.Service.
func (a *Admin) Name() string { return AdminName }

// Needs implements kernel.Service.
func (a *Admin) Needs() []string { return nil }

// Addr returns the address that the started service listens on.
func (a *Admin) Addr() string { return a.ln.Addr().String() }

// Start implements kernel.Service.
func (a *Admin) Start(_ context.Context, k *kernel.Kernel) error {
	ln, err := net.Listen("tcp", a.addr)
	if err != nil {
		return eris.Wrapf(err, "listen on [admin] listen = %s", a.addr)
	}
	a.ln = ln
	a.kernel = k
	a.server = &fasthttp.Server{Handler: a.handle, Name: "sapphirewall", NoDefaultServerHeader: true}
	go func() { _ = a.server.Serve(ln) }()
	return nil
}

// Stop implements kernel.Service.
func (a *Admin) Stop(ctx context.Context) error { return a.server.ShutdownWithContext(ctx) }

// Ready implements kernel.Service.
func (a *Admin) Ready() error { return nil }

func (a *Admin) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/vars":
		expvarhandler.ExpvarHandler(ctx)
	case "/metrics":
		WriteText(ctx)
	case "/live":
		ctx.SetBodyString("live\n")
	case "/ready":
		if err := a.kernel.Ready(); err != nil {
			ctx.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetBodyString("ready\n")
	default:
		ctx.Error("not found: ask /vars, /metrics, /live or /ready\n", fasthttp.StatusNotFound)
	}
}

// mapsMu serializes the creation of maps: expvar panics when a name is published
// twice.
var mapsMu sync.Mutex

// Map returns the expvar map with the given name and creates it on first use, so
// that several services of a process can share it.
func Map(name string) *expvar.Map {
	mapsMu.Lock()
	defer mapsMu.Unlock()
	if m, ok := expvar.Get(name).(*expvar.Map); ok {
		return m
	}
	return expvar.NewMap(name)
}
