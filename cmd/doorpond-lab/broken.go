package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/edge"
	"github.com/doorpond/doorpond/platform/standin"
)

const flagBreakage = "breakage"

func breakageFlag() *cli.StringFlag {
	return &cli.StringFlag{Name: flagBreakage, Hidden: true, Usage: "break the program of one node by `BREAKAGE`: keep_keys, trust_header or own_count"}
}

// brokenNodeCommand runs an edge node that is broken on purpose, which the soak has to find.
func brokenNodeCommand() *cli.Command {
	return &cli.Command{
		Name:   standin.BrokenNodeCommand,
		Usage:  "run an edge node that is broken on purpose",
		Hidden: true,
		Flags:  []cli.Flag{breakageFlag(), &cli.StringFlag{Name: "config", Usage: "settings `FILE`"}},
		Action: runBrokenNode,
	}
}

func runBrokenNode(ctx context.Context, command *cli.Command) error {
	signal.Ignore(syscall.SIGHUP) // the settings of a broken node do not change
	loaded, err := edge.LoadSettings(command.String("config"))
	if err != nil {
		return err
	}
	broken, err := standin.BrokenPlatform(loaded, standin.Breakage(command.String(flagBreakage)))
	if err != nil {
		return eris.Wrap(err, "break the node")
	}
	node, err := edge.New(edge.Options{Settings: loaded, Platform: broken, Logger: slog.New(slog.NewJSONHandler(os.Stdout, nil))})
	if err != nil {
		return err
	}
	return node.Run(ctx)
}
