package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/soak"
	"github.com/doorpond/doorpond/internal/soak/process"
	"github.com/doorpond/doorpond/platform/standin"
)

const (
	flagLength  = "length"
	flagRuns    = "runs"
	flagVerbose = "verbose"
	flagNodes   = "nodes"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run real edge nodes as processes, let random faults befall them from outside, and check the promises",
		Description: "Prints one line a run, and each promise that was broken; exit code 1 when one was. Builds\n" +
			"doorpond-edge with the go command unless --program names it. Logs of a run with findings are kept.\n" +
			"Half of the seeds have tenants, whose keys and limits change.\n\n" +
			"Example: doorpond-lab soak --runs 3 --length 60s\n" +
			"Example: doorpond-lab soak --seed 7 --verbose",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagSeed, Usage: "`SEED` of the first run's faults; 0 draws one; each further run takes the next"},
			&cli.IntFlag{Name: flagRuns, Value: 1, Usage: "`NUMBER` of runs, one after the other"},
			&cli.DurationFlag{Name: flagLength, Value: time.Minute, Usage: "time in which faults come, without the calm at the end: 12s at least; pauses, crashing requests and restored stores come from 24s on"},
			&cli.IntFlag{Name: flagNodes, Value: 9, Usage: "`NUMBER` of nodes, divided among three zones"},
			&cli.StringFlag{Name: flagProgram, Usage: "run the doorpond-edge at `PATH`"},
			&cli.BoolFlag{Name: flagVerbose, Usage: "print each fault"},
			breakageFlag(),
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, command *cli.Command) error {
	seed := command.Uint64(flagSeed)
	if seed == 0 {
		seed = uint64(time.Now().UnixNano() % 1_000_000)
	}
	program := command.String(flagProgram)
	if program == "" {
		directory, err := os.MkdirTemp("", "doorpond-soak-program")
		if err != nil {
			return eris.Wrap(err, "make a directory for the program")
		}
		defer func() { _ = os.RemoveAll(directory) }() // best effort
		if program, err = process.Build(ctx, directory, "doorpond-edge"); err != nil {
			return err
		}
	}
	var out io.Writer
	if command.Bool(flagVerbose) {
		out = os.Stdout
	}
	lab := ""
	if command.String(flagBreakage) != "" {
		var err error
		if lab, err = os.Executable(); err != nil {
			return eris.Wrap(err, "find this program")
		}
	}
	violated := false
	for range command.Int(flagRuns) {
		report, err := soak.Run(ctx, soak.Config{
			Seed: seed, Length: command.Duration(flagLength), Nodes: command.Int(flagNodes), Program: program, Out: out,
			Breakage: standin.Breakage(command.String(flagBreakage)), Lab: lab,
		})
		if err != nil {
			return err
		}
		if err := report.Write(os.Stdout); err != nil {
			return err
		}
		violated = violated || len(report.Findings) > 0
		seed++
	}
	if violated {
		return errPromiseViolated
	}
	return nil
}
