// Command marjoramsaddle is the operators' client: it checks and builds
// configurations and asks daemons for the state of the fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"marjoramsaddle/client"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(client.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
