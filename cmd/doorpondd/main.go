// Command doorpondd is the daemon that runs beside each caller.
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

// collectorPercent lets the heap grow to five times what is live between
// collections. The live heap is small and requests make short-lived garbage:
// this took 13% of a sub-request's processor time (docs/MEASUREMENTS.md).
const collectorPercent = 400

// tuneCollector leaves the choice to the environment where it makes one.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
}

func main() {
	tuneCollector()
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

// usageError makes a wrong flag a refusal of settings.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &settings.Error{Source: "command line", Reason: err.Error()}
}

// flags makes one flag for each key of the settings.
func flags() []cli.Flag {
	made := []cli.Flag{
		&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Sources: cli.EnvVars("DOORPONDD_CONFIG")},
		&cli.StringFlag{Name: "ready-file", Usage: "write the addresses as JSON to `FILE` once they are open"},
	}
	for _, option := range settings.Options() {
		made = append(made, &cli.StringFlag{
			Name:        settings.FlagName(option.Key),
			Usage:       option.Help,
			DefaultText: option.Default,
			Category:    "settings",
		})
	}
	return made
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
	var given []settings.Override
	for _, option := range settings.Options() {
		name := settings.FlagName(option.Key)
		if command.IsSet(name) {
			given = append(given, settings.Override{Key: option.Key, Value: command.String(name)})
		}
	}
	return given
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
	assembled, err := daemon.New(daemon.Options{Settings: loaded, Logger: logger})
	if err != nil {
		return err
	}
	if err := announce(command.String("ready-file"), assembled.Addresses()); err != nil {
		return err
	}
	stop, hurry := signals()
	return assembled.Run(stop, hurry)
}

func newLogger(chosen settings.Log) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(chosen.Level)); err != nil {
		return nil, eris.Wrap(err, "read the log level")
	}
	options := &slog.HandlerOptions{Level: level}
	if chosen.Format == "text" {
		return slog.New(slog.NewTextHandler(os.Stderr, options)), nil
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, options)), nil
}

// announce writes the addresses for whoever started the daemon on free ports.
// The file appears whole.
func announce(path string, addresses daemon.Addresses) error {
	if path == "" {
		return nil
	}
	content, err := json.Marshal(addresses)
	if err != nil {
		return eris.Wrap(err, "encode the addresses")
	}
	unfinished := path + ".part"
	if err := os.WriteFile(unfinished, content, 0o644); err != nil {
		return eris.Wrap(err, "write the ready file")
	}
	return eris.Wrap(os.Rename(unfinished, path), "write the ready file")
}

// signals returns a context that ends with the first signal to stop, and one
// that ends with the second.
func signals() (stop, hurry context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	hurry, cancelHurry := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-received
		cancelStop()
		<-received
		cancelHurry()
	}()
	return stop, hurry
}
