// Command sw-egress holds the connections to the upstreams of its availability
// zone and sends them the attempts.
package main

import (
	"os"

	"github.com/sapphirewall/sapphirewall/internal/egress"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/settings"
)

// registerFuncs register the services of the process; their order doesn't matter.
var registerFuncs = []func(*launch.Env) error{registerFleetState, egress.Register}

func main() {
	os.Exit(launch.Program{
		Name:     "sw-egress",
		Short:    "Send the parts of queries to the upstreams of this availability zone.",
		Examples: "  sw-egress --config sapphirewall.ini\n  sw-egress --print-config > sapphirewall.ini",
		Admin:    func(s *settings.Settings) string { return s.Egress.Admin },
		Register: register,
	}.Main())
}

func register(env *launch.Env) error {
	for _, add := range registerFuncs {
		if err := add(env); err != nil {
			return err
		}
	}
	return nil
}

func registerFleetState(env *launch.Env) error { return fleetstate.Register(env, peer.RoleEgress) }
