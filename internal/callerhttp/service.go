package callerhttp

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/kernel"
)

// ServiceName is the kernel name of the service, as it appears in logs.
const ServiceName = "front"

// ErrStopping is returned by Ready while the process accepts no new callers.
var ErrStopping = errors.New("front: stopping")

// drainDelay is how long a stopping process goes on accepting connections, until
// the load balancer no longer opens any. The load balancer polls readiness once a
// second and needs two failures.
const drainDelay = 2500 * time.Millisecond

// The parts of the time for a stop that are reserved at its end.
const (
	// terminateMargin is how long before the end the remaining requests must be
	// answered at once.
	terminateMargin = 400 * time.Millisecond
	// closeMargin is the part of terminateMargin that is left to the services
	// that this one needs, which stop after it.
	closeMargin = 200 * time.Millisecond
)

// Service runs a Server in a kernel.
type Service struct {
	*Server
	addr     string
	needs    []string
	stopping atomic.Bool
}

// NewService returns the service that serves srv on an address, IP:port. needs are
// the names of the services that it depends on.
func NewService(srv *Server, addr string, needs ...string) *Service {
	return &Service{Server: srv, addr: addr, needs: needs}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return s.needs }

// Ready implements kernel.Service.
func (s *Service) Ready() error {
	if s.stopping.Load() {
		return ErrStopping
	}
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return s.Listen(s.addr) }

// Stop implements kernel.Service: it ends connections with their next response,
// waits until the load balancer opens no new ones, and answers the active
// requests. Shortly before ctx ends, the remaining requests must be answered at
// once.
func (s *Service) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	drainCtx, cancel := withMargin(ctx, terminateMargin)
	defer cancel()
	if end, ok := drainCtx.Deadline(); ok {
		s.SetEnd(end)
	}
	s.Drain()
	select {
	case <-time.After(drainDelay):
	case <-drainCtx.Done():
	}
	if s.Shutdown(drainCtx) == nil {
		return nil
	}
	s.Terminate()
	closeCtx, cancel := withMargin(ctx, closeMargin)
	defer cancel()
	return s.Shutdown(closeCtx)
}

// withMargin returns a context that ends a margin earlier than the deadline of
// ctx, if it has one.
func withMargin(ctx context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-margin))
	}
	return context.WithCancel(ctx)
}
