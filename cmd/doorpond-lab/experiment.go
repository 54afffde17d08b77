package main

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/lab/experiment"
)

const (
	flagOut  = "out"
	flagMode = "mode"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "compare ways of routing, in virtual time or over loopback",
		ArgsUsage: "FILE.yaml",
		Description: "In virtual time, the same file gives the same figures. Over loopback, real\n" +
			"daemons and back ends run in this process, one run after another; the\n" +
			"baselines are left out. With --out, writes\n" +
			"result.json, summary.csv, series.csv and report.html into a directory.\n\n" +
			"Example: doorpond-lab experiment experiments/ayensu.yaml --out results/ayensu",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagMode, Usage: "run in `MODE` virtual or loopback instead of the file's"},
			&cli.StringFlag{Name: flagOut, Usage: "write the results into `DIRECTORY`"},
		},
		Action: runExperiment,
	}
}

func runExperiment(ctx context.Context, command *cli.Command) error {
	if command.Args().Len() != 1 {
		return eris.New("give one experiment file")
	}
	file, err := experiment.Load(command.Args().First())
	if err != nil {
		return err
	}
	if mode := command.String(flagMode); mode != "" {
		file.Mode = experiment.Mode(mode)
		if err := file.Check(); err != nil {
			return err
		}
	}
	result, err := experiment.Run(ctx, file)
	if err != nil {
		return eris.Wrap(err, "run the experiment")
	}
	if directory := command.String(flagOut); directory != "" {
		if err := result.Write(directory); err != nil {
			return err
		}
	}
	return result.Print(command.Root().Writer)
}
