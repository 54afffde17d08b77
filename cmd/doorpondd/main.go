// Command doorpondd runs the query daemon on the host of a caller.
package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/daemon"
	"github.com/doorpond/doorpond/internal/program"
	"github.com/doorpond/doorpond/internal/settings"
)

// gcPercent is the default GOGC value. The live heap is small and most
// allocations are short-lived, so fewer collections save CPU time at little
// cost in memory.
const gcPercent = 400

// setGCPercent applies the default unless the environment sets GOGC.
func setGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

func main() {
	setGCPercent()
	program.Main(command())
}

func command() *cli.Command {
	return &cli.Command{
		Name:    "doorpondd",
		Usage:   "scatter queries over many shards' replicas and merge the answers",
		Version: daemon.Version,
		Description: `Settings come from a YAML file; each key can be overridden by the flag of the
same name, with dashes for dots and underscores.

  doorpondd --config doorpondd.yaml
  doorpondd --config doorpondd.yaml --zone accra-b --callers-address 127.0.0.1:0
  doorpondd config check doorpondd.yaml

Exit codes: 0 stopped as planned, 1 failed, 2 settings refused.
The first SIGTERM or SIGINT starts the planned stop; the second stops at once.`,
		Flags:                 flags(),
		EnableShellCompletion: true,
		OnUsageError:          usageError,
		Action:                run,
		Commands:              []*cli.Command{configCommand()},
	}
}

// usageError reports an invalid flag as a settings error, for its exit code.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &settings.Error{Source: "command line", Reason: err.Error()}
}

// flags returns the flags of the command, one for each settings key included.
func flags() []cli.Flag {
	result := []cli.Flag{
		&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Sources: cli.EnvVars("DOORPONDD_CONFIG")},
		&cli.StringFlag{Name: "ready-file", Usage: "write the addresses as JSON to `FILE` once they are open"},
	}
	for _, option := range settings.Options() {
		result = append(result, &cli.StringFlag{
			Name:        settings.FlagName(option.Key),
			Usage:       option.Help,
			DefaultText: option.Default,
			Category:    "settings",
		})
	}
	return result
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "work with settings files",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check a settings file and do nothing else",
			ArgsUsage: "FILE",
			Action: func(_ context.Context, command *cli.Command) error {
				if command.Args().Len() != 1 {
					return &settings.Error{Source: "command line", Reason: "config check takes one FILE"}
				}
				_, err := settings.Load(command.Args().First(), nil)
				return err
			},
		}},
	}
}

func overrides(command *cli.Command) []settings.Override {
	var result []settings.Override
	for _, option := range settings.Options() {
		name := settings.FlagName(option.Key)
		if command.IsSet(name) {
			result = append(result, settings.Override{Key: option.Key, Value: command.String(name)})
		}
	}
	return result
}

func run(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return &settings.Error{Source: "command line", Reason: "unknown command " + command.Args().First()}
	}
	loaded, err := settings.Load(command.String("config"), overrides(command))
	if err != nil {
		return err
	}
	logger, err := newLogger(loaded.Log)
	if err != nil {
		return err
	}
	instance, err := daemon.New(daemon.Options{Settings: loaded, Logger: logger})
	if err != nil {
		return err
	}
	if err := writeReadyFile(command.String("ready-file"), instance.Addresses()); err != nil {
		return err
	}
	graceful, immediate := shutdownContexts()
	return instance.Run(graceful, immediate)
}

func newLogger(config settings.Log) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(config.Level)); err != nil {
		return nil, eris.Wrap(err, "read the log level")
	}
	options := &slog.HandlerOptions{Level: level}
	if config.Format == "text" {
		return slog.New(slog.NewTextHandler(os.Stderr, options)), nil
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, options)), nil
}

// writeReadyFile writes the listen addresses as JSON to path, for callers that start
// the daemon on free ports. It renames a temporary file, so that readers never
// see a partial one.
func writeReadyFile(path string, addresses daemon.Addresses) error {
	if path == "" {
		return nil
	}
	content, err := json.Marshal(addresses)
	if err != nil {
		return eris.Wrap(err, "encode the addresses")
	}
	temporary := path + ".part"
	if err := os.WriteFile(temporary, content, 0o644); err != nil {
		return eris.Wrap(err, "write the ready file")
	}
	return eris.Wrap(os.Rename(temporary, path), "write the ready file")
}

// shutdownContexts returns a context that is canceled by the first SIGTERM or SIGINT and
// one that is canceled by the second.
func shutdownContexts() (graceful, immediate context.Context) {
	graceful, cancelGraceful := context.WithCancel(context.Background())
	immediate, cancelImmediate := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-received
		cancelGraceful()
		<-received
		cancelImmediate()
	}()
	return graceful, immediate
}
