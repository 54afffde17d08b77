package main

import (
	"context"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/simulation/system"
)

const (
	flagSeeds    = "seeds"
	flagPromise  = "promise"
	flagDaemons  = "nodes"
	flagTopology = "topology"
	flagTrace    = "trace"
	flagParallel = "parallel"
)

// maxFullNodes is the largest number of daemons for which back ends and callers are
// simulated as well.
const maxFullNodes = 100

var errPromiseViolated = eris.New("a promise was broken")

func simulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "simulate",
		Usage: "run whole systems on a virtual clock under seeded schedules of faults and check the promises",
		Description: "Prints a line for each promise, and for a violation its seed and the shortest schedule found.\n\n" +
			"Example: doorpond-lab simulate --seeds 1-1000\n" +
			"Example: doorpond-lab simulate --seed 7 --trace trace.txt",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSeeds, Value: "1-100", Usage: "`RANGE` of seeds, such as 1-1000"},
			&cli.Uint64Flag{Name: flagSeed, Usage: "run this one seed"},
			&cli.StringFlag{Name: flagTrace, Usage: "write the trace of the one seed to a `FILE`"},
			&cli.StringSliceFlag{Name: flagPromise, Usage: "check only this promise; may be given again"},
			&cli.IntFlag{Name: flagDaemons, Usage: "number of daemons (default: 3 a zone); over 100, only the policy table is simulated"},
			&cli.StringFlag{Name: flagTopology, Value: system.Ayensu, Usage: "sizes of a user's site: ayensu or tsehay"},
			&cli.IntFlag{Name: flagParallel, Value: max(1, runtime.GOMAXPROCS(0)/2), Usage: "runs at once"},
		},
		Action: runSimulate,
	}
}

func runSimulate(ctx context.Context, command *cli.Command) error {
	options, err := sweepOptions(command)
	if err != nil {
		return err
	}
	if command.String(flagTrace) != "" {
		return writeTrace(command, options)
	}
	report, err := system.Sweep(ctx, options)
	if err != nil {
		return eris.Wrap(err, "simulate")
	}
	if err := report.Write(os.Stdout); err != nil {
		return eris.Wrap(err, "print the report")
	}
	if report.Failed() {
		return errPromiseViolated
	}
	return nil
}

func sweepOptions(command *cli.Command) (system.SweepOptions, error) {
	nodes := command.Int(flagDaemons)
	options := system.SweepOptions{
		Run:      system.Options{Topology: command.String(flagTopology), Nodes: nodes, TableOnly: nodes > maxFullNodes},
		Parallel: command.Int(flagParallel),
	}
	for _, name := range command.StringSlice(flagPromise) {
		promise := system.Promise(name)
		if !slices.Contains(system.Promises, promise) {
			return options, eris.Errorf("promise %q is not one of %v", name, system.Promises)
		}
		options.Promises = append(options.Promises, promise)
	}
	if command.IsSet(flagSeed) {
		options.First, options.Last = command.Uint64(flagSeed), command.Uint64(flagSeed)
		return options, nil
	}
	var err error
	options.First, options.Last, err = parseSeeds(command.String(flagSeeds))
	return options, err
}

// parseSeeds parses a range "first-last" or a single seed.
func parseSeeds(text string) (first, last uint64, err error) {
	from, to, isRange := strings.Cut(text, "-")
	if !isRange {
		to = from
	}
	first, err = strconv.ParseUint(from, 10, 64)
	if err != nil {
		return 0, 0, eris.Wrapf(err, "read the seeds %q", text)
	}
	last, err = strconv.ParseUint(to, 10, 64)
	if err != nil {
		return 0, 0, eris.Wrapf(err, "read the seeds %q", text)
	}
	if last < first {
		return 0, 0, eris.Errorf("the seeds %q end before they begin", text)
	}
	return first, last, nil
}

func writeTrace(command *cli.Command, options system.SweepOptions) error {
	if options.First != options.Last {
		return eris.Errorf("--%s needs --%s", flagTrace, flagSeed)
	}
	run := options.Run
	run.Seed, run.Trace = options.First, true
	result, err := system.Run(run)
	if err != nil {
		return eris.Wrap(err, "simulate")
	}
	const traceFileMode = 0o644
	if err := os.WriteFile(command.String(flagTrace), result.Trace, traceFileMode); err != nil {
		return eris.Wrap(err, "write the trace")
	}
	if len(result.Violations) > 0 {
		return eris.Wrap(errPromiseViolated, result.Violations[0].Detail)
	}
	return nil
}
