package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/policy"
)

// completionTimeout limits how long shell completion waits for a daemon.
const completionTimeout = time.Second

// completePolicies completes flags and the names of policies in force.
func completePolicies(ctx context.Context, command *cli.Command) {
	completeNames(ctx, command, func(table *policy.Table) []string {
		names := make([]string, len(table.Policies))
		for i, row := range table.Policies {
			names[i] = row.Name
		}
		return names
	})
}

// completeAssignment completes a group as the first argument and policies as
// the following ones.
func completeAssignment(ctx context.Context, command *cli.Command) {
	if command.Args().Present() {
		completePolicies(ctx, command)
		return
	}
	completeNames(ctx, command, func(table *policy.Table) []string {
		names := make([]string, len(table.Assignments))
		for i, assignment := range table.Assignments {
			names[i] = assignment.Group
		}
		return names
	})
}

// completeNames writes flags and the names taken from the table. It writes only
// the flags if the daemon does not respond.
func completeNames(ctx context.Context, command *cli.Command, names func(*policy.Table) []string) {
	cli.DefaultCompleteWithFlags(ctx, command)
	timeoutCtx, cancel := context.WithTimeout(ctx, completionTimeout)
	defer cancel()
	table, err := adminClient(command).Table(timeoutCtx)
	if err != nil {
		return
	}
	for _, name := range names(table) {
		fmt.Fprintln(command.Root().Writer, strings.ReplaceAll(sanitizeLine(name), ":", `\:`))
	}
}
