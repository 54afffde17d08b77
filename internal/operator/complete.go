package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/policy"
)

// completionTimeout bounds how long a shell waits for names.
const completionTimeout = time.Second

// completePolicies offers the policies in force, besides the flags.
func completePolicies(ctx context.Context, command *cli.Command) {
	completeFrom(ctx, command, func(table *policy.Table) []string {
		names := make([]string, len(table.Policies))
		for i, row := range table.Policies {
			names[i] = row.Name
		}
		return names
	})
}

// completeAssignment offers the groups for the first argument and the policies
// for those after it.
func completeAssignment(ctx context.Context, command *cli.Command) {
	if command.Args().Present() {
		completePolicies(ctx, command)
		return
	}
	completeFrom(ctx, command, func(table *policy.Table) []string {
		names := make([]string, len(table.Assignments))
		for i, assignment := range table.Assignments {
			names[i] = assignment.Group
		}
		return names
	})
}

// completeFrom writes names of the table; without a daemon there are none.
func completeFrom(ctx context.Context, command *cli.Command, names func(*policy.Table) []string) {
	cli.DefaultCompleteWithFlags(ctx, command)
	bounded, cancel := context.WithTimeout(ctx, completionTimeout)
	defer cancel()
	table, err := api(command).Table(bounded)
	if err != nil {
		return
	}
	for _, name := range names(table) {
		fmt.Fprintln(command.Root().Writer, strings.ReplaceAll(oneLine(name), ":", `\:`))
	}
}
