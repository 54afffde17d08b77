// Package program runs the project's commands and maps their errors to exit
// codes.
package program

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/settings"
)

const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

// Main runs a command with the arguments of the process. If the command fails,
// Main prints the error and exits with status 2 for invalid settings and 1 for
// any other error.
func Main(command *cli.Command) {
	err := command.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", command.Name, err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var invalidSettings *settings.Error
	if errors.As(err, &invalidSettings) {
		return exitInvalidSettings
	}
	return exitFailure
}
