package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
)

func policyCommand() *cli.Command {
	return &cli.Command{
		Name:   "policy",
		Usage:  "show and change policies",
		Action: requireSubcommand,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the policies and assignments in force", Action: listPolicies},
			{Name: "get", Usage: "show one policy", ArgsUsage: "NAME", ShellComplete: completePolicies, Action: getPolicy},
			{Name: "set", Usage: "change fields of a policy, or make a new one", ArgsUsage: "NAME FIELD=VALUE...",
				Description: `Fields are named as "doorpond policy get NAME" shows them; a new policy starts
from the defaults.

Examples:
   doorpond policy set fast wait.timeout=60ms completeness.target=0.95
   doorpond policy set fast shards.index_weights.cards-west=2 --dry-run
   doorpond policy set fast priority=high --wait 5s`,
				Flags: changeFlags(), ShellComplete: completePolicies, Action: setPolicy},
			{Name: "delete", Usage: "delete policies", ArgsUsage: "NAME...", Flags: changeFlags(),
				ShellComplete: completePolicies, Action: deletePolicies},
			{Name: "history", Usage: "show the last changes: who, when, what",
				Flags:  []cli.Flag{&cli.IntFlag{Name: "limit", Value: 20, Usage: "the greatest `NUMBER` of changes"}},
				Action: showHistory},
		},
	}
}

func listPolicies(ctx context.Context, command *cli.Command) error {
	if _, err := arguments(command, 0, 0); err != nil {
		return err
	}
	table, err := adminClient(command).Table(ctx)
	if err != nil {
		return withExitCode(err, false)
	}
	return writeResult(command, table, func(w io.Writer) { printTable(w, table) })
}

func printTable(w io.Writer, table *policy.Table) {
	fmt.Fprintf(w, "table revision %d, changed by %s at %s\n\n", table.Revision,
		sanitizeLine(table.LastChange.Author), table.LastChange.Time.Format(time.RFC3339))
	policies := newColumnWriter(w, "POLICY", "PRIORITY", "TIMEOUT", "HEDGE", "ATTEMPTS", "TARGET", "GRACE", "LEAST", "CONCURRENCY", "REVISION")
	for _, row := range table.Policies {
		policies.row(row.Name, row.Priority, row.Wait.Timeout, row.Wait.HedgeQuantile, row.Retry.Attempts,
			row.Completeness.Target, row.Completeness.Grace, row.Completeness.Min, row.Limits.Concurrency, row.Revision)
	}
	policies.flush()
	fmt.Fprintln(w)
	assignments := newColumnWriter(w, "GROUP", "POLICIES", "REVISION")
	for _, assignment := range table.Assignments {
		assignments.row(assignment.Group, formatShares(assignment.Shares), assignment.Revision)
	}
	assignments.flush()
}

func formatShares(shares []policy.Share) string {
	texts := make([]string, len(shares))
	for i, share := range shares {
		texts[i] = share.Policy + "=" + strconv.Itoa(share.Weight)
	}
	return strings.Join(texts, " ")
}

func getPolicy(ctx context.Context, command *cli.Command) error {
	names, err := arguments(command, 1, 1)
	if err != nil {
		return err
	}
	row, err := adminClient(command).Policy(ctx, names[0])
	if err != nil {
		return withExitCode(err, false)
	}
	return writeResult(command, row, func(w io.Writer) { printFields(w, row) })
}

func setPolicy(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, 2, -1)
	if err != nil {
		return err
	}
	table, err := currentTable(ctx, command)
	if err != nil {
		return err
	}
	row := findOrNewRow(table, args[0])
	for _, assignment := range args[1:] {
		if err := setField(&row, assignment); err != nil {
			return err
		}
	}
	return submit(ctx, command, policytable.Edit{ExpectedRevision: table.Revision, SetPolicies: []policy.Row{row}})
}

// currentTable returns the table in force, or an empty one if there is none yet.
func currentTable(ctx context.Context, command *cli.Command) (*policy.Table, error) {
	table, err := adminClient(command).Table(ctx)
	var problem *client.Problem
	if errors.As(err, &problem) && problem.Kind == string(failure.NoTable) {
		return &policy.Table{}, nil
	}
	return table, withExitCode(err, false)
}

func findOrNewRow(table *policy.Table, name string) policy.Row {
	index := slices.IndexFunc(table.Policies, func(row policy.Row) bool { return row.Name == name })
	if index < 0 {
		return policy.DefaultRow(name)
	}
	return table.Policies[index]
}

func deletePolicies(ctx context.Context, command *cli.Command) error {
	names, err := arguments(command, 1, -1)
	if err != nil {
		return err
	}
	table, err := currentTable(ctx, command)
	if err != nil {
		return err
	}
	return submit(ctx, command, policytable.Edit{ExpectedRevision: table.Revision, DeletePolicies: names})
}

func showHistory(ctx context.Context, command *cli.Command) error {
	if _, err := arguments(command, 0, 0); err != nil {
		return err
	}
	history, err := adminClient(command).History(ctx, int(command.Int("limit")))
	if err != nil {
		return withExitCode(err, false)
	}
	return writeResult(command, history, func(w io.Writer) {
		changes := newColumnWriter(w, "REVISION", "TIME", "AUTHOR", "CHANGE")
		for _, change := range history.Changes {
			changes.row(change.Revision, change.Time.Format(time.RFC3339), change.Author, strings.Join(change.Summary, "; "))
		}
		changes.flush()
	})
}

func assignCommand() *cli.Command {
	return &cli.Command{
		Name:          "assign",
		ShellComplete: completeAssignment,
		Usage:         "assign a caller group to a policy, or split it over several",
		ArgsUsage:     "GROUP POLICY[=WEIGHT]...",
		Description: `A split sends each caller of the group to one policy by a hash of its name, in
proportion to the weights. The group "default" is for callers of no other.

Examples:
   doorpond assign gate fast
   doorpond assign clerks fast=90 careful=10 --wait 5s
   doorpond assign clerks --delete`,
		Flags:  append(changeFlags(), &cli.BoolFlag{Name: "delete", Usage: "remove the group's assignment"}),
		Action: assign,
	}
}

func assign(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, 1, -1)
	if err != nil {
		return err
	}
	edit, err := assignmentEdit(args[0], args[1:], command.Bool("delete"))
	if err != nil {
		return err
	}
	table, err := currentTable(ctx, command)
	if err != nil {
		return err
	}
	edit.ExpectedRevision = table.Revision
	return submit(ctx, command, edit)
}

func assignmentEdit(group string, shares []string, deleteGroup bool) (policytable.Edit, error) {
	if deleteGroup == (len(shares) > 0) {
		return policytable.Edit{}, usageError("specify either policies or --delete")
	}
	if deleteGroup {
		return policytable.Edit{DeleteAssignments: []string{group}}, nil
	}
	assignment := policy.Assignment{Group: group}
	for _, text := range shares {
		share, err := parseShare(text)
		if err != nil {
			return policytable.Edit{}, err
		}
		assignment.Shares = append(assignment.Shares, share)
	}
	return policytable.Edit{SetAssignments: []policy.Assignment{assignment}}, nil
}

func parseShare(text string) (policy.Share, error) {
	name, weight, weighted := strings.Cut(text, "=")
	if !weighted {
		return policy.Share{Policy: name, Weight: 1}, nil
	}
	number, err := strconv.Atoi(weight)
	if err != nil || number < 1 {
		return policy.Share{}, usageError("%q: the weight must be a positive integer", text)
	}
	return policy.Share{Policy: name, Weight: number}, nil
}
