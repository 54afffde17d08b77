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
				return usageError("release requires exactly one IDENTITY")
			}
			released, err := adminClient(command).Release(ctx, command.Args().First())
			if err != nil {
				return withExitCode(err, true)
			}
			return writeResult(command, released, func(w io.Writer) { fmt.Fprintln(w, "released:", sanitizeLine(released.Identity)) })
		},
	}
}

// printQuarantined lists the requests suspected of crashing replicas.
func printQuarantined(w io.Writer, requests []inspect.QuarantinedRequest) {
	table := newColumnWriter(w, "QUARANTINED", "ROUTE", "CALLER", "TARGET", "REPLICAS ENDED", "REFUSED FOR", "REFUSED BY", "KNOWN BY")
	for _, request := range requests {
		remaining := "suspected only"
		if request.RefuseMilliseconds > 0 {
			remaining = request.RefuseFor().Round(time.Second).String()
		}
		table.row(request.Identity, request.Route, request.Caller, sanitizeLine(request.Target), request.CrashedReplicas, remaining, request.Refusing, request.Nodes)
	}
	table.flush()
}
