// Command sw-node serves callers on one VM of the users' platform.
package main

import (
	"os"

	"github.com/sapphirewall/sapphirewall/internal/launch"
	"github.com/sapphirewall/sapphirewall/internal/settings"
	"github.com/sapphirewall/sapphirewall/platform"
)

func main() {
	os.Exit(launch.Program{
		Name:        "sw-node",
		Short:       "Serve callers on one VM of the users' platform: request handling, decisions and replica connections in one process.",
		Examples:    "  sw-node --config node.ini\n  sw-node --print-config > node.ini",
		Admin:       func(s *settings.Settings) string { return s.Direct.Admin },
		Register:    platform.Register,
		LogToStdout: true,
		Reload:      platform.Reload,
	}.Main())
}
