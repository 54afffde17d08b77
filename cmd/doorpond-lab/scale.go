package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/lab/scale"
)

const (
	flagScaleNodes       = "nodes"
	flagScaleReal        = "real"
	flagScaleStartWindow = "start-window"
	flagScaleCalm        = "calm"
	flagScaleOutput      = "output"
)

// The formats of a report.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// scaleReport is what the command prints as JSON.
type scaleReport struct {
	Virtual []scale.VirtualResult `json:"virtual,omitempty"`
	Real    []scale.RealResult    `json:"real,omitempty"`
}

func scaleCommand() *cli.Command {
	return &cli.Command{
		Name:  "scale",
		Usage: "measure what membership and the documents' propagation cost a daemon at a number of daemons",
		Description: "Runs hollow daemons in this process: in virtual time, or with --real over\n" +
			"loopback connections. Times in the virtual table are of the virtual clock.\n\n" +
			"Examples:\n" +
			"  doorpond-lab scale --nodes 250,500\n" +
			"  doorpond-lab scale --real 100 --duration 20s",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagScaleNodes, Value: "250,500,1000,2700", Usage: "run these `NUMBERS` of daemons in virtual time"},
			&cli.StringFlag{Name: flagScaleReal, Usage: "run these `NUMBERS` of daemons over loopback instead"},
			&cli.DurationFlag{Name: flagDuration, Value: time.Minute, Usage: "length of the measured phases"},
			&cli.DurationFlag{Name: flagScaleStartWindow, Value: 5 * time.Second, Usage: "with --real, the time over which the daemons start"},
			&cli.DurationFlag{Name: flagScaleCalm, Value: 30 * time.Second, Usage: "with --real, the time between the joining and the measurement"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of the virtual runs"},
			&cli.StringFlag{Name: flagScaleOutput, Value: outputTable, Usage: "`FORMAT` of the report: table or json"},
		},
		Action: runScale,
	}
}

func runScale(ctx context.Context, command *cli.Command) error {
	format := command.String(flagScaleOutput)
	if format != outputTable && format != outputJSON {
		return eris.Errorf("unknown output format %q", format)
	}
	progress := func(line string) { fmt.Fprintln(command.Root().ErrWriter, line) }
	var report scaleReport
	var err error
	if command.String(flagScaleReal) != "" {
		report.Real, err = runRealScales(ctx, command, progress)
	} else {
		report.Virtual, err = runVirtualScales(command, progress)
	}
	if err != nil {
		return err
	}
	if format == outputJSON {
		encoder := json.NewEncoder(command.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return printScales(command.Root().Writer, report)
}

func runVirtualScales(command *cli.Command, progress func(string)) ([]scale.VirtualResult, error) {
	numbers, err := parseNumbers(command.String(flagScaleNodes))
	if err != nil {
		return nil, err
	}
	var results []scale.VirtualResult
	for _, number := range numbers {
		options := scale.VirtualOptions{Daemons: number, Duration: command.Duration(flagDuration), Seed: command.Uint64(flagSeed)}
		results = append(results, scale.RunVirtual(options, func(phase string) { progress(fmt.Sprintf("%d daemons: %s", number, phase)) }))
	}
	return results, nil
}

func runRealScales(ctx context.Context, command *cli.Command, progress func(string)) ([]scale.RealResult, error) {
	numbers, err := parseNumbers(command.String(flagScaleReal))
	if err != nil {
		return nil, err
	}
	var results []scale.RealResult
	for _, number := range numbers {
		result, err := scale.RunReal(ctx, scale.RealOptions{
			Daemons: number, StartWindow: command.Duration(flagScaleStartWindow),
			Calm: command.Duration(flagScaleCalm), Duration: command.Duration(flagDuration),
		}, func(phase string) { progress(fmt.Sprintf("%d daemons over loopback: %s", number, phase)) })
		if err != nil {
			return results, err
		}
		results = append(results, result)
	}
	return results, nil
}

// leastDaemons is the smallest fleet in which the phases mean something.
const leastDaemons = 24

func parseNumbers(list string) ([]int, error) {
	var numbers []int
	for _, text := range strings.Split(list, ",") {
		number, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || number < leastDaemons {
			return nil, eris.Errorf("number of daemons %q: want a whole number of at least %d", text, leastDaemons)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

func printScales(to io.Writer, report scaleReport) error {
	table := tabwriter.NewWriter(to, 0, 8, 2, ' ', tabwriter.AlignRight)
	for _, result := range report.Virtual {
		fmt.Fprintf(table, "\n%d daemons, virtual time\tseconds\texchanges/s\tbytes/s\tcore\tstore requests/s\t\n", result.Daemons)
		printPhase(table, "all start at once", result.Join)
		printPhase(table, "at rest", result.Rest)
		printPhase(table, "table changes", result.TablesPhase)
		printPhase(table, "day's restarts and failures", result.Churn)
		printPhase(table, "zone lost", result.ZoneLost)
		fmt.Fprintf(table, "table to the last daemon\t%v\t\t\t\t\t\n", result.Tables)
		fmt.Fprintf(table, "failure known to first, last\t%v, %v\t\t\t\t\t\n", result.FailureFirst, result.FailureLast)
		fmt.Fprintf(table, "heap of membership, bytes\t%d\t\t\t\t\t\n", result.HeapPerDaemon)
	}
	for _, result := range report.Real {
		fmt.Fprintf(table, "\n%d daemons, loopback\tseconds\texchanges/s\tbytes/s\tcore\tstore requests/s\t\n", result.Daemons)
		printPhase(table, "at rest", result.Rest)
		fmt.Fprintf(table, "join, table to the last daemon\t%v, %v\t\t\t\t\t\n", result.Join, result.Table)
		fmt.Fprintf(table, "connections opened/s, open\t%.2f, %.1f\t\t\t\t\t\n", result.ConnectionsPerSecond, result.OpenConnections)
		fmt.Fprintf(table, "heap, bytes\t%d\t\t\t\t\t\n", result.HeapPerDaemon)
	}
	return table.Flush()
}

func printPhase(to io.Writer, name string, phase scale.Phase) {
	if !phase.Completed {
		name += " (NOT COMPLETED)"
	}
	seconds := phase.Took.Seconds()
	fmt.Fprintf(to, "%s\t%.2f\t%.2f\t%.0f\t%.5f\t%.2f\t\n", name, seconds, phase.ExchangesPerSecond,
		phase.BytesPerSecond, phase.ProcessorShare, float64(phase.StoreRequests)/seconds)
}
