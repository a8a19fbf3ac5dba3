// Command sw-entry serves callers over HTTP.
package main

import (
	"os"

	"github.com/sapphirewall/sapphirewall/internal/entry"
	"github.com/sapphirewall/sapphirewall/internal/fleetstate"
	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/peer"
	"github.com/sapphirewall/sapphirewall/internal/settings"
)

func main() {
	os.Exit(launch.Program{
		Name:     "sw-entry",
		Short:    "Serves callers over HTTP: plans, fans out, merges and answers.",
		Examples: "  sw-entry --config /etc/sapphirewall.ini\n  sw-entry --print-config",
		Admin:    func(s *settings.Settings) string { return s.Entry.Admin },
		Register: register,
	}.Main())
}

func register(env *launch.Env) error {
	if err := fleetstate.Register(env, peer.RoleEntry); err != nil {
		return err
	}
	return entry.Register(env)
}
