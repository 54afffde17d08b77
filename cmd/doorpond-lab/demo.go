package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/lab/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run the whole system in this process for a few seconds",
		Description: "Starts stand-ins and three daemons on free ports, asks, edits a policy under load and compares two policies.\nExit code 0 means that every answer was right.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "platform", Usage: "run edge nodes on stand-ins of the users' platform"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			options := demo.Options{Out: os.Stdout, Progress: os.Stderr}
			if command.Bool("platform") {
				return demo.RunPlatform(ctx, options)
			}
			return demo.Run(ctx, options)
		},
	}
}
