package front

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

// stopMargin is kept of the time for a stop, for what is left to do after it.
const stopMargin = 400 * time.Millisecond

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
// balancer sends no new ones, and answers what is in hand.
func (s *Service) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.Drain()
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-stopMargin))
		defer cancel()
	}
	select {
	case <-time.After(noticeTime):
	case <-ctx.Done():
	}
	return s.Shutdown(ctx)
}
