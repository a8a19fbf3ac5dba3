// Command sw-control maintains the tables, the membership and the rollouts of a
// VM and sends them to its other processes.
package main

import (
	"os"

	"github.com/sapphirewall/sapphirewall/internal/claims"
	"github.com/sapphirewall/sapphirewall/internal/control"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/platform/platformsvc"
	"github.com/sapphirewall/sapphirewall/internal/rollout"
	"github.com/sapphirewall/sapphirewall/internal/settings"
)

func main() {
	os.Exit(launch.Program{
		Name:     "sw-control",
		Short:    "Maintain the tables, the membership and the rollouts of a VM.",
		Examples: "  sw-control --config vm.ini\n  sw-control --print-config > vm.ini\n",
		Admin:    func(s *settings.Settings) string { return s.Control.Admin },
		Register: register,
	}.Main())
}

// registerFuncs register the services of the process; their order doesn't matter.
var registerFuncs = []func(*launch.Env) error{
	platformsvc.Register,
	claims.Register,
	rollout.Register,
	control.Register,
}

func register(env *launch.Env) error {
	for _, add := range registerFuncs {
		if err := add(env); err != nil {
			return err
		}
	}
	return nil
}
