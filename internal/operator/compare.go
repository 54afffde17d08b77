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
	minInterval     = time.Second
)

// clearScreen is the ANSI sequence that moves the cursor home and clears the
// terminal.
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
	if command.Duration(flagInterval) < minInterval {
		return usageError("--interval must be at least %s", minInterval)
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

func compareOnce(ctx context.Context, command *cli.Command, names []string, prefix string) error {
	compared, err := adminClient(command).Compare(ctx, names[0], names[1], command.String(flagGroup), command.Duration(flagLast))
	if err != nil {
		return withExitCode(err, false)
	}
	return writeResult(command, compared, func(w io.Writer) {
		fmt.Fprint(w, prefix)
		printComparisonReport(w, compared)
	})
}

func printComparisonReport(w io.Writer, compared *comparison.ClusterReport) {
	group := compared.Group
	if group == "" {
		group = "all groups"
	}
	fmt.Fprintf(w, "%s against %s, %s, last %s, %d daemons\n\n", sanitizeLine(compared.A.Policy), sanitizeLine(compared.B.Policy),
		sanitizeLine(group), time.Duration(compared.LastSeconds)*time.Second, compared.Daemons)
	table := newColumnWriter(w, "", compared.A.Policy, compared.B.Policy, compared.A.Policy+" IS")
	for _, row := range compared.Latency {
		table.row(fmt.Sprintf("p%g latency", comparison.Percentile(row.Quantile)), formatLatency(row.A), formatLatency(row.B), row.Verdict)
	}
	table.row("whole answers", formatProportion(compared.Complete.A), formatProportion(compared.Complete.B), compared.Complete.Verdict)
	table.row("failed", formatProportion(compared.Failed.A), formatProportion(compared.Failed.B), compared.Failed.Verdict)
	printCounts(table, compared.A, compared.B)
	table.flush()
	if len(compared.Warnings)+len(compared.Unreachable) > 0 {
		fmt.Fprintln(w)
	}
	for _, warning := range compared.Warnings {
		fmt.Fprintln(w, "warning:", sanitizeLine(warning))
	}
	for _, unreachable := range compared.Unreachable {
		fmt.Fprintf(w, "not counted: %s at %s: %s\n", unreachable.Member.ID, unreachable.Member.PeerAddress, sanitizeLine(unreachable.Reason))
	}
}

func printCounts(table *columnWriter, a, b comparison.PolicySummary) {
	table.row("coverage", formatPercent(a.Coverage), formatPercent(b.Coverage), "")
	table.row("extra load", formatPercent(a.ExtraLoad), formatPercent(b.ExtraLoad), "")
	table.row("queries", a.Queries, b.Queries, "")
	table.row("sub-requests", a.Subrequests, b.Subrequests, "")
	table.row("hedges", a.Hedges, b.Hedges, "")
	table.row("cancelled", a.Cancelled, b.Cancelled, "")
}

func formatLatency(estimate comparison.Estimate) string {
	if !estimate.HasInterval {
		return fmt.Sprintf("%.2f ms (too few samples)", estimate.Value)
	}
	return fmt.Sprintf("%.2f ms (%.2f to %.2f)", estimate.Value, estimate.Low, estimate.High)
}

func formatProportion(estimate comparison.Estimate) string {
	if !estimate.HasInterval {
		return formatPercent(estimate.Value) + " (too few samples)"
	}
	return fmt.Sprintf("%s (%s to %s)", formatPercent(estimate.Value), formatPercent(estimate.Low), formatPercent(estimate.High))
}

func formatPercent(proportion float64) string { return fmt.Sprintf("%.2f%%", 100*proportion) }
