package adminhttp

import (
	"context"
	"expvar"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// AdminName is the kernel name of the admin service.
const AdminName = "admin"

// Admin serves /vars (expvar), /metrics (the same counters as text), /live and
// /ready. The platform's load balancer polls /ready.
type Admin struct {
	*Server
	addr   string
	kernel *kernel.Kernel
}

// NewAdmin returns the admin service; it listens on addr, IP:port, for so many connections.
func NewAdmin(addr string, connections int, log zerolog.Logger) *Admin {
	a := &Admin{addr: addr}
	a.Server = NewServer(AdminName, addr, connections, log, a.handle)
	return a
}

// Name implements kernel.Service.
func (a *Admin) Name() string { return AdminName }

// Needs implements kernel.Service.
func (a *Admin) Needs() []string { return nil }

// Ready implements kernel.Service.
func (a *Admin) Ready() error { return nil }

// Start implements kernel.Service.
func (a *Admin) Start(_ context.Context, k *kernel.Kernel) error {
	a.kernel = k
	return eris.Wrapf(a.Server.Start(), "listen on [admin] listen = %s", a.addr)
}

func (a *Admin) handle(path string, resp *fasthttp.Response) {
	switch path {
	case "/vars":
		resp.Header.SetContentType("application/json; charset=utf-8")
		writeVars(resp)
	case "/metrics":
		telemetry.WriteText(resp.BodyWriter())
	case "/live":
		resp.SetBodyString("live\n")
	case "/ready":
		if err := a.kernel.Ready(); err != nil {
			Fail(resp, fasthttp.StatusServiceUnavailable, err.Error())
			return
		}
		resp.SetBodyString("ready\n")
	default:
		Fail(resp, fasthttp.StatusNotFound, "not found: ask /vars, /metrics, /live or /ready")
	}
}

// writeVars writes all expvar variables as one JSON object.
func writeVars(resp *fasthttp.Response) {
	w := resp.BodyWriter()
	separator := "{\n"
	expvar.Do(func(kv expvar.KeyValue) {
		_, _ = fmt.Fprintf(w, "%s%q: %s", separator, kv.Key, kv.Value)
		separator = ",\n"
	})
	_, _ = fmt.Fprint(w, "\n}\n")
}
