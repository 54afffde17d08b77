// Command doorpond-edge is a node that serves callers who run no process of
// ours, on the users' platform.
package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/edge"
	"github.com/doorpond/doorpond/internal/eventlog"
	"github.com/doorpond/doorpond/internal/explain"
	"github.com/doorpond/doorpond/internal/program"
	"github.com/doorpond/doorpond/internal/settings"
	"github.com/doorpond/doorpond/platform"
)

// collectorPercent keeps the heap small: memory is dear on these machines, and
// processor time is not (docs/MEASUREMENTS.md).
const collectorPercent = 50

// memoryShare of what the process may use is where the collector works harder.
const memoryShare = 0.7

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	program.Main(command())
}

func command() *cli.Command {
	return &cli.Command{
		Name:    "doorpond-edge",
		Usage:   "take callers' requests and pass them on to the replicas that the store lists",
		Version: edge.Version,
		Description: `Settings come from the YAML file that --config or ` + platform.SettingsVariable + ` names.
Exit codes: 0 stopped as planned, 1 failed, 2 settings refused.
SIGTERM or SIGINT starts the planned stop; SIGHUP, or a change of the file, reads the settings anew.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable)},
		},
		Commands: []*cli.Command{{
			Name: "check", Usage: "check the settings file and do nothing else",
			Action: func(_ context.Context, command *cli.Command) error {
				_, err := edge.LoadSettings(command.String("config"))
				return err
			},
		}, {
			Name: "explain", Usage: "tell the story of one request from the nodes' logs",
			ArgsUsage:   "REQUEST [FILE...]",
			Description: "Reads the logs of any number of nodes from files, or from standard input.",
			Action: func(_ context.Context, command *cli.Command) error {
				return explainRequest(command.Args().Slice(), os.Stdin, os.Stdout)
			},
		}},
		Action: run,
	}
}

// explainRequest reads the logs that arguments name and tells of a request.
func explainRequest(arguments []string, in io.Reader, out io.Writer) error {
	if len(arguments) == 0 {
		return &settings.Error{Source: "command line", Reason: "explain takes a REQUEST"}
	}
	if len(arguments) == 1 {
		lines, err := explain.Read(in)
		if err != nil {
			return err
		}
		return explain.WriteTimeline(lines, arguments[0], out)
	}
	var lines []explain.Line
	for _, path := range arguments[1:] {
		file, err := os.Open(path)
		if err != nil {
			return eris.Wrap(err, "open the logs")
		}
		read, err := explain.Read(file)
		_ = file.Close() // it was only read
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	return explain.WriteTimeline(lines, arguments[0], out)
}

func run(ctx context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return &settings.Error{Source: "command line", Reason: "unknown command " + command.Args().First()}
	}
	path := command.String("config")
	loaded, err := edge.LoadSettings(path)
	if err != nil {
		return err
	}
	if loaded.Limits.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(loaded.Limits.MemoryMegabytes<<20)))
	}
	lines := eventlog.NewWriter(os.Stdout)
	defer lines.Close()
	node, err := edge.New(edge.Options{
		Settings: loaded, Platform: platform.New(loaded),
		Reload: func() (edge.Settings, error) { return edge.LoadSettings(path) },
		Logger: slog.New(slog.NewJSONHandler(lines, nil)),
	})
	if err != nil {
		return err
	}
	stopping, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go followSettings(stopping, path, node.Reload)
	return node.Run(stopping)
}

// settingsInterval is the time between two looks at the settings file, which
// may change without a signal.
const settingsInterval = 2 * time.Second

// followSettings calls reload after SIGHUP and when the file has changed, until
// ctx ends.
func followSettings(ctx context.Context, path string, reload func()) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	seen := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if modified(path).Equal(seen) {
				continue
			}
		}
		seen = modified(path)
		reload()
	}
}

// modified returns when a file was changed last, the zero time if it is not
// there.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
