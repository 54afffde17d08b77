// Command doorpond-lab runs emulated platform services and tests, simulates and
// benchmarks daemons and edge nodes against them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

const (
	exitOK      = 0
	exitFailure = 1
)

func main() { os.Exit(run(os.Args)) }

func run(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, arguments); err != nil {
		fmt.Fprintln(os.Stderr, "doorpond-lab:", err)
		return exitFailure
	}
	return exitOK
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:     "doorpond-lab",
		Usage:    "run stand-ins of the platform and measure daemons against them",
		Commands: []*cli.Command{demoCommand(), platformCommand(), loadCommand(), experimentCommand(), simulateCommand(), proveCommand(), soakCommand(), benchCommand(), brokenNodeCommand()},
	}
}
