// Command swctl is the command line for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sapphirewall/sapphirewall/internal/swctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(swctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
