package platformsvc

import (
	"context"
	"expvar"

	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/platform"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// Name is the kernel name of the service.
const Name = "platform"

// Service holds the client of the platform's services.
type Service struct {
	client *platform.Client
}

// New returns the service for the addresses in s.
func New(s settings.Platform) *Service {
	return &Service{client: platform.NewClient(s.KV, s.VMs, s.Timeout)}
}

// Register adds the service to env.Kernel.
func Register(env *launch.Env) error {
	return env.Kernel.Register(New(env.Settings.Platform))
}

// KV returns the key-value service.
func (s *Service) KV() platform.KV { return s.client }

// VMs returns the list of VMs.
func (s *Service) VMs() platform.VMList { return s.client }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Start implements kernel.Service. It succeeds even if the platform is down;
// calls then fail with platform.ErrUnavailable until the platform is up.
func (s *Service) Start(context.Context, *kernel.Kernel) error {
	telemetry.Map(Name).Set("calls", expvar.Func(func() any { return s.client.Calls() }))
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.client.Close()
	return nil
}

// Ready implements kernel.Service. It does not depend on the platform, since
// requests are still served while the platform is down.
func (s *Service) Ready() error { return nil }
