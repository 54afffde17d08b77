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

// The promises that the prove command tests on real processes.
const (
	promisePlannedStop = "planned-stop"
	promiseAtMostOnce  = "at-most-once"
	promiseTable       = "table"
)

var promiseNames = []string{promisePlannedStop, promiseAtMostOnce, promiseTable}

// proofDaemons is the initial number of daemons in a cluster.
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
			&cli.StringSliceFlag{Name: flagPromise, Usage: "prove only `NAME`: " + strings.Join(promiseNames, ", "), Value: promiseNames},
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
	programs, err := findPrograms(ctx, command.String(flagProgram), directory)
	if err != nil {
		return err
	}
	options := proofs.ClusterOptions{Programs: programs, Directory: directory, Daemons: proofDaemons}
	violated := false
	for _, promise := range command.StringSlice(flagPromise) {
		held, err := provePromise(ctx, command, promise, options)
		if err != nil {
			return eris.Wrapf(err, "prove %s", promise)
		}
		violated = violated || !held
	}
	if violated {
		return eris.New("a promise was broken")
	}
	return nil
}

// findPrograms returns the given daemon and this program, or builds both into directory.
func findPrograms(ctx context.Context, daemon, directory string) (proofs.Programs, error) {
	if daemon == "" {
		return proofs.Build(ctx, directory)
	}
	lab, err := os.Executable()
	return proofs.Programs{Daemon: daemon, Lab: lab}, eris.Wrap(err, "find this program")
}

// provePromise tests one promise on a new cluster and prints the result.
func provePromise(ctx context.Context, command *cli.Command, promise string, options proofs.ClusterOptions) (held bool, err error) {
	cluster, err := proofs.Start(ctx, options)
	if err != nil {
		return false, err
	}
	defer func() { _ = cluster.Close() }()
	started := time.Now()
	var summary fmt.Stringer
	switch promise {
	case promisePlannedStop:
		report, runErr := proofs.PlannedStop(ctx, cluster, proofs.PlannedStopOptions{
			Requests: command.Int64(flagRequests), Stops: command.Int(flagStops), Callers: 40, RequestInterval: time.Millisecond,
		})
		summary, held, err = report, report.CutOff+report.Failed == 0, runErr
	case promiseAtMostOnce:
		report, runErr := proofs.AtMostOnce(ctx, cluster, proofs.AtMostOnceOptions{
			Keys: command.Int(flagKeys), Rounds: command.Int(flagRounds), Seed: command.Uint64(flagSeed), Callers: 16, MaxAttempts: 8,
		})
		summary, held, err = report, len(report.Violations) == 0, runErr
	case promiseTable:
		report, runErr := proofs.Table(ctx, cluster, proofs.TableOptions{Operators: 4, Edits: 20, Rounds: command.Int(flagRounds)})
		summary, held, err = report, len(report.Violations) == 0, runErr
	default:
		return false, eris.Errorf("no promise is called %q; there are %s", promise, strings.Join(promiseNames, ", "))
	}
	if err != nil {
		return false, err
	}
	fmt.Fprintf(command.Root().Writer, "%s: %s; took %s\n", promise, summary, time.Since(started).Round(time.Millisecond))
	return held, nil
}
