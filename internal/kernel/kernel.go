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

// The errors of registration and look-up.
var (
	ErrDuplicateService = errors.New("kernel: service name registered twice")
	ErrServiceNotFound  = errors.New("kernel: no service of this name")
	ErrServiceType      = errors.New("kernel: service has another type")
	ErrServiceCycle     = errors.New("kernel: services need each other in a cycle")
)

// Service is one part of a process.
type Service interface {
	// Name is unique within a process.
	Name() string
	// Needs lists the names of the services that must have started before.
	Needs() []string
	// Start brings the service up and returns once it can be used. ctx ends
	// when the process stops; work in the background must end with it or
	// with Stop.
	Start(ctx context.Context, k *Kernel) error
	// Stop ends the service, letting its work finish until ctx ends.
	Stop(ctx context.Context) error
	// Ready returns nil when the service can do its work, or why it can't.
	Ready() error
}

// Kernel holds the services of a process. Its methods are safe for concurrent
// use once Start has returned.
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

// Register adds a service; it is an error to use a name twice.
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

// Lookup returns the service of a name as type T.
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

// Start starts all services in dependency order. When one fails, those already
// started are stopped again.
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

// Stop stops the started services in reverse order and returns all errors.
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

// exitReserve, at most a tenth of the grace, is left after the last service for
// logs to be written and the process to end, before it is killed.
const exitReserve = 250 * time.Millisecond

// Run starts the services, waits until ctx ends, and stops them within grace.
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

// Ready returns nil when every service is ready, or the first reason why not.
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

// sorted returns the services with every service after those it needs.
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
