package local

import (
	"context"
	"errors"

	"github.com/rs/zerolog"

	"github.com/sapphirewall/sapphirewall/internal/claims"
	"github.com/sapphirewall/sapphirewall/internal/control"
	"github.com/sapphirewall/sapphirewall/internal/egress"
	"github.com/sapphirewall/sapphirewall/internal/entry"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/kernel"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/platform/platformsvc"
	"github.com/sapphirewall/sapphirewall/internal/rollout"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/internal/telemetry"
)

// VM is a VM of this system, with one kernel for each of its processes.
type VM struct {
	Settings  *settings.Settings
	processes []*kernel.Kernel // in start order
}

// processSpecs lists the processes of a VM and their services, in start order.
var processSpecs = []struct {
	role     string
	register []func(*launch.Env) error
}{
	{peer.RoleControl, []func(*launch.Env) error{platformsvc.Register, claims.Register, rollout.Register, control.Register}},
	{peer.RoleEgress, []func(*launch.Env) error{registerFleetState(peer.RoleEgress), egress.Register}},
	{peer.RoleEntry, []func(*launch.Env) error{registerFleetState(peer.RoleEntry), entry.Register}},
}

// registerFleetState returns a function that registers the fleet state of a
// process with the given role.
func registerFleetState(role string) func(*launch.Env) error {
	return func(env *launch.Env) error { return fleetstate.Register(env, role) }
}

// StartVM starts the three processes of a VM. If dial is nil, peers are dialled by
// plain TCP.
func StartVM(ctx context.Context, s *settings.Settings, log zerolog.Logger, dial peer.DialFunc) (*VM, error) {
	vm := &VM{Settings: s}
	for _, p := range processSpecs {
		l := log.With().Str("process", p.role).Str("node", s.Node.ID).Logger()
		env := &launch.Env{Settings: s, Log: l, Tracer: telemetry.NoopTracer(), Kernel: kernel.New(l), Dial: dial}
		for _, register := range p.register {
			if err := register(env); err != nil {
				return nil, errors.Join(err, vm.Stop(ctx))
			}
		}
		if err := env.Kernel.Start(context.WithoutCancel(ctx)); err != nil {
			return nil, errors.Join(err, vm.Stop(ctx))
		}
		vm.processes = append(vm.processes, env.Kernel)
	}
	return vm, nil
}

// Ready returns nil if every process of the VM is ready, otherwise the reason of
// the first one that is not.
func (vm *VM) Ready() error {
	for _, k := range vm.processes {
		if err := k.Ready(); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops the processes within ctx, in reverse start order.
func (vm *VM) Stop(ctx context.Context) error {
	var errs []error
	for i := len(vm.processes) - 1; i >= 0; i-- {
		errs = append(errs, vm.processes[i].Stop(ctx))
	}
	vm.processes = nil
	return errors.Join(errs...)
}
