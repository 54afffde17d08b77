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
		Action: needCommand,
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
	table, err := api(command).Table(ctx)
	if err != nil {
		return coded(err, false)
	}
	return show(command, table, func(to io.Writer) { printTable(to, table) })
}

func printTable(to io.Writer, table *policy.Table) {
	fmt.Fprintf(to, "table revision %d, changed by %s at %s\n\n", table.Revision,
		oneLine(table.LastChange.Author), table.LastChange.Time.Format(time.RFC3339))
	policies := newGrid(to, "POLICY", "PRIORITY", "TIMEOUT", "HEDGE", "ATTEMPTS", "TARGET", "GRACE", "LEAST", "CONCURRENCY", "REVISION")
	for _, row := range table.Policies {
		policies.row(row.Name, row.Priority, row.Wait.Timeout, row.Wait.HedgeQuantile, row.Retry.Attempts,
			row.Completeness.Target, row.Completeness.Grace, row.Completeness.Min, row.Limits.Concurrency, row.Revision)
	}
	policies.end()
	fmt.Fprintln(to)
	assignments := newGrid(to, "GROUP", "POLICIES", "REVISION")
	for _, assignment := range table.Assignments {
		assignments.row(assignment.Group, sharesText(assignment.Shares), assignment.Revision)
	}
	assignments.end()
}

func sharesText(shares []policy.Share) string {
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
	row, err := api(command).Policy(ctx, names[0])
	if err != nil {
		return coded(err, false)
	}
	return show(command, row, func(to io.Writer) { printFields(to, row) })
}

func setPolicy(ctx context.Context, command *cli.Command) error {
	given, err := arguments(command, 2, -1)
	if err != nil {
		return err
	}
	table, err := currentTable(ctx, command)
	if err != nil {
		return err
	}
	row := rowOf(table, given[0])
	for _, assignment := range given[1:] {
		if err := setField(&row, assignment); err != nil {
			return err
		}
	}
	return submit(ctx, command, policytable.Edit{ExpectedRevision: table.Revision, SetPolicies: []policy.Row{row}})
}

// currentTable returns the table in force, an empty one where there is none
// yet.
func currentTable(ctx context.Context, command *cli.Command) (*policy.Table, error) {
	table, err := api(command).Table(ctx)
	var problem *client.Problem
	if errors.As(err, &problem) && problem.Kind == string(failure.NoTable) {
		return &policy.Table{}, nil
	}
	return table, coded(err, false)
}

func rowOf(table *policy.Table, name string) policy.Row {
	at := slices.IndexFunc(table.Policies, func(row policy.Row) bool { return row.Name == name })
	if at < 0 {
		return policy.DefaultRow(name)
	}
	return table.Policies[at]
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
	history, err := api(command).History(ctx, int(command.Int("limit")))
	if err != nil {
		return coded(err, false)
	}
	return show(command, history, func(to io.Writer) {
		changes := newGrid(to, "REVISION", "TIME", "AUTHOR", "CHANGE")
		for _, change := range history.Changes {
			changes.row(change.Revision, change.Time.Format(time.RFC3339), change.Author, strings.Join(change.Summary, "; "))
		}
		changes.end()
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
	given, err := arguments(command, 1, -1)
	if err != nil {
		return err
	}
	edit, err := assignmentEdit(given[0], given[1:], command.Bool("delete"))
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

func assignmentEdit(group string, shares []string, remove bool) (policytable.Edit, error) {
	if remove == (len(shares) > 0) {
		return policytable.Edit{}, usage("give either policies or --delete")
	}
	if remove {
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
		return policy.Share{}, usage("%q: the weight must be a whole number from 1", text)
	}
	return policy.Share{Policy: name, Weight: number}, nil
}
