package operator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/inspect"
)

func releaseCommand() *cli.Command {
	return &cli.Command{
		Name:      "release",
		Usage:     "let a quarantined request be served again",
		ArgsUsage: "IDENTITY",
		Description: `Replicas have ended while they ran the request, so all nodes on the users' platform
refuse it. IDENTITY is what system shows. If it still ends replicas, it is
quarantined again once three of them have ended under it.

   doorpond --admin 10.1.0.39:7740 release 5f1c...`,
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return usage("release takes one IDENTITY")
			}
			released, err := api(command).Release(ctx, command.Args().First())
			if err != nil {
				return coded(err, true)
			}
			return show(command, released, func(to io.Writer) { fmt.Fprintln(to, "released:", oneLine(released.Identity)) })
		},
	}
}

// printQuarantined lists the requests under which replicas have ended.
func printQuarantined(to io.Writer, requests []inspect.QuarantinedRequest) {
	lines := newGrid(to, "QUARANTINED", "ROUTE", "CALLER", "TARGET", "REPLICAS ENDED", "REFUSED FOR", "REFUSED BY", "KNOWN BY")
	for _, one := range requests {
		left := "suspected only"
		if one.RefuseMilliseconds > 0 {
			left = one.RefuseFor().Round(time.Second).String()
		}
		lines.row(one.Identity, one.Route, one.Caller, oneLine(one.Target), one.CrashedReplicas, left, one.Refusing, one.Nodes)
	}
	lines.end()
}
