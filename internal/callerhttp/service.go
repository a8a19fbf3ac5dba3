package callerhttp

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sapphirewall/sapphirewall/internal/kernel"
)

// ServiceName is the kernel name of the service.
const ServiceName = "front"

// ErrStopping says that the process takes no new callers.
var ErrStopping = errors.New("front: stopping")

// noticeTime is how long a stopping process goes on accepting, until the
// balancer has noticed: it asks once a second and wants two misses.
const noticeTime = 2500 * time.Millisecond

// What is kept of the time for a stop: stopMargin for all that is left to do
// once requests in hand are told to end, and of it lastMargin for the services
// below.
const (
	stopMargin = 400 * time.Millisecond
	lastMargin = 200 * time.Millisecond
)

// Service runs a Server in a kernel.
type Service struct {
	*Server
	addr     string
	needs    []string
	stopping atomic.Bool
}

// NewService returns the service of a server at an address, IP:port, that needs
// other services.
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

// Stop implements kernel.Service: it asks callers to leave, waits until the
// balancer sends no new ones, and answers what is in hand. What is not answered
// shortly before ctx ends is asked for its answer at once.
func (s *Service) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.Drain()
	patient, cancel := before(ctx, stopMargin)
	defer cancel()
	select {
	case <-time.After(noticeTime):
	case <-patient.Done():
	}
	if s.Shutdown(patient) == nil {
		return nil
	}
	s.Terminate()
	last, cancel := before(ctx, lastMargin)
	defer cancel()
	return s.Shutdown(last)
}

// before returns a context that ends a margin before the deadline of ctx, if it
// has one.
func before(ctx context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-margin))
	}
	return context.WithCancel(ctx)
}
