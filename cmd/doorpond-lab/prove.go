package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/proofs"
)

const (
	flagProgram  = "program"
	flagRequests = "requests"
	flagStops    = "stops"
	flagKeys     = "keys"
	flagRounds   = "rounds"
)

// The promises that are proved by real processes.
const (
	promisePlannedStop = "planned-stop"
	promiseAtMostOnce  = "at-most-once"
	promiseTable       = "table"
)

var provable = []string{promisePlannedStop, promiseAtMostOnce, promiseTable}

// proofDaemons is the number of processes to begin with.
const proofDaemons = 3

func proveCommand() *cli.Command {
	return &cli.Command{
		Name:  "prove",
		Usage: "kill, freeze and stop real daemons under load and count what was broken",
		Description: "Prints one line a promise; exit code 1 when one was broken. Builds doorpondd with the\n" +
			"go command unless --program names it.\n\n" +
			"Example: doorpond-lab prove --promise planned-stop --requests 100000 --stops 12",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagProgram, Usage: "run the doorpondd at `PATH`"},
			&cli.StringSliceFlag{Name: flagPromise, Usage: "prove only `NAME`: " + strings.Join(provable, ", "), Value: provable},
			&cli.Int64Flag{Name: flagRequests, Value: 10_000, Usage: "`NUMBER` of requests sent while daemons are stopped"},
			&cli.IntFlag{Name: flagStops, Value: 4, Usage: "`NUMBER` of daemons stopped"},
			&cli.IntFlag{Name: flagKeys, Value: 1000, Usage: "`NUMBER` of operations that may not be repeated"},
			&cli.IntFlag{Name: flagRounds, Value: 1, Usage: "`NUMBER` of times that each fault comes"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of the callers' choices"},
		},
		Action: runProofs,
	}
}

func runProofs(ctx context.Context, command *cli.Command) error {
	directory, err := os.MkdirTemp("", "doorpond-prove")
	if err != nil {
		return eris.Wrap(err, "make a directory for the daemons")
	}
	defer os.RemoveAll(directory)
	program := command.String(flagProgram)
	if program == "" {
		if program, err = proofs.Build(ctx, directory); err != nil {
			return err
		}
	}
	options := proofs.ClusterOptions{Program: program, Directory: directory, Daemons: proofDaemons}
	broken := false
	for _, promise := range command.StringSlice(flagPromise) {
		held, err := proveOne(ctx, command, promise, options)
		if err != nil {
			return eris.Wrapf(err, "prove %s", promise)
		}
		broken = broken || !held
	}
	if broken {
		return eris.New("a promise was broken")
	}
	return nil
}

// proveOne runs one proof on a cluster of its own and prints its line.
func proveOne(ctx context.Context, command *cli.Command, promise string, options proofs.ClusterOptions) (held bool, err error) {
	cluster, err := proofs.Start(ctx, options)
	if err != nil {
		return false, err
	}
	defer func() { _ = cluster.Close() }()
	started := time.Now()
	var line fmt.Stringer
	switch promise {
	case promisePlannedStop:
		report, failure := proofs.PlannedStop(ctx, cluster, proofs.PlannedStopOptions{
			Requests: command.Int64(flagRequests), Stops: command.Int(flagStops), Callers: 40, RequestInterval: time.Millisecond,
		})
		line, held, err = report, report.CutOff+report.Failed == 0, failure
	case promiseAtMostOnce:
		report, failure := proofs.AtMostOnce(ctx, cluster, proofs.AtMostOnceOptions{
			Keys: command.Int(flagKeys), Rounds: command.Int(flagRounds), Seed: command.Uint64(flagSeed), Callers: 16, MaxAttempts: 8,
		})
		line, held, err = report, len(report.Violations) == 0, failure
	case promiseTable:
		report, failure := proofs.Table(ctx, cluster, proofs.TableOptions{Operators: 4, Edits: 20, Rounds: command.Int(flagRounds)})
		line, held, err = report, len(report.Violations) == 0, failure
	default:
		return false, eris.Errorf("no promise is called %q; there are %s", promise, strings.Join(provable, ", "))
	}
	if err != nil {
		return false, err
	}
	fmt.Fprintf(command.Root().Writer, "%s: %s; took %s\n", promise, line, time.Since(started).Round(time.Millisecond))
	return held, nil
}
