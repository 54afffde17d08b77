// Command doorpond-edge runs an edge node, which serves callers that have no
// local daemon.
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

// gcPercent is the default GOGC value. It trades CPU time for a smaller
// heap, because edge nodes are limited by memory.
const gcPercent = 50

// memoryLimitRatio is the soft memory limit of the Go runtime as a share of the
// configured memory limit.
const memoryLimitRatio = 0.7

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
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

// explainRequest writes the timeline of the request arguments[0] from the log
// files arguments[1:], or from in if there are none.
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
		_ = file.Close() // opened for reading only
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
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(loaded.Limits.MemoryMegabytes<<20)))
	}
	logWriter := eventlog.NewWriter(os.Stdout)
	defer logWriter.Close()
	node, err := edge.New(edge.Options{
		Settings: loaded, Platform: platform.New(loaded),
		Reload: func() (edge.Settings, error) { return edge.LoadSettings(path) },
		Logger: slog.New(slog.NewJSONHandler(logWriter, nil)),
	})
	if err != nil {
		return err
	}
	runCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go watchSettings(runCtx, path, node.Reload)
	return node.Run(runCtx)
}

// settingsPollInterval is how often the settings file is checked for changes that
// no SIGHUP announces.
const settingsPollInterval = 2 * time.Second

// watchSettings calls reload on SIGHUP and when the modification time of the
// file changes, until ctx is done.
func watchSettings(ctx context.Context, path string, reload func()) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		case <-ticker.C:
			if modTime(path).Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(path)
		reload()
	}
}

// modTime returns the modification time of a file, or the zero time if the file
// cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
