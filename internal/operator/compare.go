package operator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/comparison"
)

const (
	flagGroup    = "group"
	flagLast     = "last"
	flagWatch    = "watch"
	flagInterval = "interval"
)

const (
	defaultLast     = 10 * time.Minute
	defaultInterval = 5 * time.Second
	shortestRefresh = time.Second
)

// clearScreen moves to the top left of a terminal and clears it.
const clearScreen = "\x1b[H\x1b[2J"

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "set two policies side by side on live traffic",
		ArgsUsage: "A B",
		Description: `Latencies, coverage and extra load are added up over all daemons. Each figure has
a 95% interval; where the intervals of A and B do not overlap, the difference is
not chance. Split a group to get comparable traffic, then compare:

   doorpond assign clerks fast=50 careful=50 --wait 5s
   doorpond compare fast careful --group clerks --last 10m
   doorpond compare fast careful --watch
   doorpond --output json compare fast careful`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagGroup, Aliases: []string{"g"}, Usage: "only callers of this `GROUP`"},
			&cli.DurationFlag{Name: flagLast, Value: defaultLast, Usage: "`TIME` to look back, 1m to 1h"},
			&cli.BoolFlag{Name: flagWatch, Usage: "refresh until interrupted"},
			&cli.DurationFlag{Name: flagInterval, Value: defaultInterval, Usage: "`TIME` between refreshes, from 1s"},
		},
		ShellComplete: completePolicies,
		Action:        comparePolicies,
	}
}

func comparePolicies(ctx context.Context, command *cli.Command) error {
	names, err := arguments(command, 2, 2)
	if err != nil {
		return err
	}
	if command.Duration(flagInterval) < shortestRefresh {
		return usage("--interval must be at least %s", shortestRefresh)
	}
	if !command.Bool(flagWatch) {
		return compareOnce(ctx, command, names, "")
	}
	ticker := time.NewTicker(command.Duration(flagInterval))
	defer ticker.Stop()
	for {
		if err := compareOnce(ctx, command, names, clearScreen); err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func compareOnce(ctx context.Context, command *cli.Command, names []string, before string) error {
	compared, err := api(command).Compare(ctx, names[0], names[1], command.String(flagGroup), command.Duration(flagLast))
	if err != nil {
		return coded(err, false)
	}
	return show(command, compared, func(to io.Writer) {
		fmt.Fprint(to, before)
		printComparison(to, compared)
	})
}

func printComparison(to io.Writer, compared *comparison.ClusterReport) {
	group := compared.Group
	if group == "" {
		group = "all groups"
	}
	fmt.Fprintf(to, "%s against %s, %s, last %s, %d daemons\n\n", oneLine(compared.A.Policy), oneLine(compared.B.Policy),
		oneLine(group), time.Duration(compared.LastSeconds)*time.Second, compared.Daemons)
	lines := newGrid(to, "", compared.A.Policy, compared.B.Policy, compared.A.Policy+" IS")
	for _, row := range compared.Latency {
		lines.row(fmt.Sprintf("p%g latency", comparison.Percentile(row.Quantile)), latencyText(row.A), latencyText(row.B), row.Verdict)
	}
	lines.row("whole answers", shareText(compared.Complete.A), shareText(compared.Complete.B), compared.Complete.Verdict)
	lines.row("failed", shareText(compared.Failed.A), shareText(compared.Failed.B), compared.Failed.Verdict)
	printCounts(lines, compared.A, compared.B)
	lines.end()
	if len(compared.Warnings)+len(compared.Unreachable) > 0 {
		fmt.Fprintln(to)
	}
	for _, warning := range compared.Warnings {
		fmt.Fprintln(to, "warning:", oneLine(warning))
	}
	for _, one := range compared.Unreachable {
		fmt.Fprintf(to, "not counted: %s at %s: %s\n", one.Member.ID, one.Member.PeerAddress, oneLine(one.Reason))
	}
}

func printCounts(lines *grid, a, b comparison.PolicySummary) {
	lines.row("coverage", percentText(a.Coverage), percentText(b.Coverage), "")
	lines.row("extra load", percentText(a.ExtraLoad), percentText(b.ExtraLoad), "")
	lines.row("queries", a.Queries, b.Queries, "")
	lines.row("sub-requests", a.Subrequests, b.Subrequests, "")
	lines.row("hedges", a.Hedges, b.Hedges, "")
	lines.row("cancelled", a.Cancelled, b.Cancelled, "")
}

func latencyText(estimate comparison.Estimate) string {
	if !estimate.HasInterval {
		return fmt.Sprintf("%.2f ms (too few samples)", estimate.Value)
	}
	return fmt.Sprintf("%.2f ms (%.2f to %.2f)", estimate.Value, estimate.Low, estimate.High)
}

func shareText(estimate comparison.Estimate) string {
	if !estimate.HasInterval {
		return percentText(estimate.Value) + " (too few samples)"
	}
	return fmt.Sprintf("%s (%s to %s)", percentText(estimate.Value), percentText(estimate.Low), percentText(estimate.High))
}

func percentText(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }
