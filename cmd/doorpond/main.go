// Command doorpond is the command-line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/doorpond/doorpond/internal/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := operator.New(operator.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}).Run(ctx, os.Args)
	stop()
	os.Exit(operator.ExitCode(err, os.Stderr))
}
