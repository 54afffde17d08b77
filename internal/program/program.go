// Package program ends the project's commands alike.
package program

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/settings"
)

// The exit codes.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

// Main runs a command and ends the process: with 0 when it was stopped as
// planned, 1 when it failed, 2 when its settings were refused.
func Main(command *cli.Command) {
	err := command.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", command.Name, err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var invalid *settings.Error
	if errors.As(err, &invalid) {
		return exitInvalidSettings
	}
	return exitFailed
}
