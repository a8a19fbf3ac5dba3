package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Errors returned by Register, Lookup and Start.
var (
	ErrDuplicateService = errors.New("kernel: service name is already registered")
	ErrServiceNotFound  = errors.New("kernel: service not found")
	ErrServiceType      = errors.New("kernel: service has the wrong type")
	ErrServiceCycle     = errors.New("kernel: services have cyclic dependencies")
)

// Service is a component of a process that is started and stopped by a Kernel.
type Service interface {
	// Name is unique within a process.
	Name() string
	// Needs returns the names of the services that must be started first.
	Needs() []string
	// Start starts the service and returns when it can be used. ctx ends when
	// the process stops; background work must end with ctx or in Stop.
	Start(ctx context.Context, k *Kernel) error
	// Stop stops the service. Its work may finish until ctx ends.
	Stop(ctx context.Context) error
	// Ready returns nil if the service is ready, otherwise the reason why not.
	Ready() error
}

// Kernel manages the services of a process. Its methods are safe for concurrent
// use after Start has returned.
type Kernel struct {
	log zerolog.Logger

	mu       sync.Mutex // guards services, order and started
	services map[string]Service
	order    []string
	started  []Service
}

// New returns an empty kernel.
func New(log zerolog.Logger) *Kernel {
	return &Kernel{log: log, services: map[string]Service{}}
}

// Register adds a service. It returns ErrDuplicateService if the name is taken.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[s.Name()]; ok {
		return eris.Wrapf(ErrDuplicateService, "%q", s.Name())
	}
	k.services[s.Name()] = s
	k.order = append(k.order, s.Name())
	return nil
}

// Lookup returns the service with the given name as type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	s, ok := k.services[name]
	k.mu.Unlock()
	if !ok {
		return zero, eris.Wrapf(ErrServiceNotFound, "%q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, eris.Wrapf(ErrServiceType, "%q is %T, want %T", name, s, zero)
	}
	return t, nil
}

// Start starts all services in dependency order. If one fails, Start stops those
// that have already started.
func (k *Kernel) Start(ctx context.Context) error {
	sorted, err := k.sorted()
	if err != nil {
		return err
	}
	for _, s := range sorted {
		if err := s.Start(ctx, k); err != nil {
			_ = k.Stop(ctx)
			return eris.Wrapf(err, "start service %q", s.Name())
		}
		k.log.Debug().Str("service", s.Name()).Msg("service started")
		k.mu.Lock()
		k.started = append(k.started, s)
		k.mu.Unlock()
	}
	return nil
}

// Stop stops the started services in reverse order and joins their errors.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	started := k.started
	k.started = nil
	k.mu.Unlock()
	var errs []error
	for i := len(started) - 1; i >= 0; i-- {
		if err := started[i].Stop(ctx); err != nil {
			errs = append(errs, eris.Wrapf(err, "stop service %q", started[i].Name()))
		}
	}
	return errors.Join(errs...)
}

// exitReserve is the part of the grace period kept for writing logs and exiting
// after the last service has stopped, before the process is killed. It is
// limited to a tenth of the grace period.
const exitReserve = 250 * time.Millisecond

// Run starts the services, waits until ctx ends and stops them within the grace
// period.
func (k *Kernel) Run(ctx context.Context, grace time.Duration) error {
	if err := k.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	<-ctx.Done()
	k.log.Info().Dur("grace", grace).Msg("stopping")
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace-min(exitReserve, grace/10))
	defer cancel()
	return k.Stop(stopCtx)
}

// Ready returns nil if every service is ready, otherwise the error of the first
// one that is not.
func (k *Kernel) Ready() error {
	k.mu.Lock()
	services := make([]Service, 0, len(k.order))
	for _, name := range k.order {
		services = append(services, k.services[name])
	}
	k.mu.Unlock()
	for _, s := range services {
		if err := s.Ready(); err != nil {
			return fmt.Errorf("%s: %w", s.Name(), err)
		}
	}
	return nil
}

// sorted returns the services in dependency order.
func (k *Kernel) sorted() ([]Service, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	const (
		visiting = 1
		done     = 2
	)
	state := map[string]int{}
	var out []Service
	var visit func(name, by string) error
	visit = func(name, by string) error {
		s, ok := k.services[name]
		if !ok {
			return eris.Wrapf(ErrServiceNotFound, "%q, needed by %q", name, by)
		}
		switch state[name] {
		case visiting:
			return eris.Wrapf(ErrServiceCycle, "at %q", name)
		case done:
			return nil
		}
		state[name] = visiting
		for _, need := range s.Needs() {
			if err := visit(need, name); err != nil {
				return err
			}
		}
		state[name] = done
		out = append(out, s)
		return nil
	}
	for _, name := range k.order {
		if err := visit(name, ""); err != nil {
			return nil, err
		}
	}
	return out, nil
}
