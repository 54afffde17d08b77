// Package operator is the operators' command line, doorpond: it edits the
// policy table, shows the state of the daemons, and sends queries and calls.
package operator

import (
	"context"
	"io"
	"net/http"
	"os/user"
	"time"

	"github.com/urfave/cli/v3"
)

// Streams are where the command line reads and writes.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// The names of the global flags.
const (
	flagAdmin  = "admin"
	flagDaemon = "daemon"
	flagToken  = "token"
	flagOutput = "output"
	flagAuthor = "author"

	flagAuthority   = "ca"
	flagCertificate = "certificate"
	flagKey         = "certificate-key"
)

// The values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const description = `Policies are rows of a shared table; caller groups are assigned to them.

Examples:
   doorpond policy list
   doorpond policy set fast wait.timeout=60ms retry.attempts=2 --wait 5s
   doorpond assign gate fast=90 careful=10
   doorpond diff -f table.yaml && doorpond apply -f table.yaml --wait 5s
   doorpond status
   doorpond compare fast careful --group clerks --last 10m
   doorpond query --group gate --corpus cards --card 4000123412341234

Exit codes: 0 done; 1 failed; 2 the command line or a value is not valid;
3 another change came first; 4 not available and nothing was done; 5 accepted
but not in force everywhere in time, or it is not known whether it was done.`

// New makes the command line. Its Run returns errors for ExitCode.
func New(streams Streams) *cli.Command {
	return &cli.Command{
		Name:                  "doorpond",
		Usage:                 "edit query policies and watch the daemons that follow them",
		Description:           description,
		EnableShellCompletion: true,
		Suggest:               true,
		Reader:                streams.In,
		Writer:                streams.Out,
		ErrWriter:             streams.Err,
		// the errors are printed once, by ExitCode
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usage("%w", err) },
		Flags:          globalFlags(),
		Before:         checkOutput,
		Action:         needCommand,
		Commands: []*cli.Command{
			policyCommand(), assignCommand(), applyCommand(), diffCommand(), restoreCommand(),
			statusCommand(), systemCommand(), releaseCommand(), compareCommand(), queryCommand(), callCommand(),
		},
	}
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagAdmin, Value: "127.0.0.1:7072", Sources: cli.EnvVars("DOORPOND_ADMIN"),
			Usage: "`ADDRESS` of a daemon's administration port"},
		&cli.StringFlag{Name: flagDaemon, Value: "127.0.0.1:7070", Sources: cli.EnvVars("DOORPOND_DAEMON"),
			Usage: "`ADDRESS` of a daemon's callers' port, for query and call"},
		&cli.StringFlag{Name: flagToken, Sources: cli.EnvVars("DOORPOND_TOKEN"), Usage: "operator's `TOKEN`, for changes"},
		&cli.StringFlag{Name: flagAuthority, Sources: cli.EnvVars("DOORPOND_CA"), Usage: "PEM `FILE` of the authorities that a daemon's certificate must come from; with it or --certificate, TLS is used"},
		&cli.StringFlag{Name: flagCertificate, Sources: cli.EnvVars("DOORPOND_CERTIFICATE"), Usage: "PEM `FILE` of the operator's certificate, for daemons that ask for one"},
		&cli.StringFlag{Name: flagKey, Sources: cli.EnvVars("DOORPOND_KEY"), Usage: "PEM `FILE` of the certificate's private key"},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Usage: "`FORMAT` table or json"},
	}
}

func checkOutput(ctx context.Context, command *cli.Command) (context.Context, error) {
	switch output := command.String(flagOutput); output {
	case outputTable, outputJSON:
		return ctx, nil
	default:
		return ctx, usage("--output is %q; it must be table or json", output)
	}
}

// needCommand is the action of commands that only have subcommands.
func needCommand(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usage("there is no command %q; see %s --help", command.Args().First(), command.FullName())
	}
	return cli.ShowSubcommandHelp(command)
}

// api makes the client that the flags ask for. A certificate that cannot be
// used is reported by the first request.
func api(command *cli.Command) *AdminClient {
	through, scheme, err := transportOf(command)
	return &AdminClient{
		base:     baseURL(command.String(flagAdmin), scheme),
		token:    command.String(flagToken),
		http:     &http.Client{Transport: through},
		unusable: err,
	}
}

// arguments checks the number of arguments; most of -1 means any number.
func arguments(command *cli.Command, least, most int) ([]string, error) {
	given := command.Args().Slice()
	if len(given) < least || (most >= 0 && len(given) > most) {
		return nil, usage("wrong number of arguments (%d); usage: %s %s", len(given), command.FullName(), command.ArgsUsage)
	}
	return given, nil
}

// The flags of commands that change the table.
const (
	flagWait     = "wait"
	flagDryRun   = "dry-run"
	flagChangeID = "change-id"
)

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{Name: flagWait, Usage: "return when in force on all daemons, at most after `TIME` (such as 5s)",
			Validator: checkWait},
		&cli.BoolFlag{Name: flagDryRun, Usage: "show what would change, and change nothing"},
		authorFlag(),
		&cli.StringFlag{Name: flagChangeID, Usage: "`ID` of the change; give the one printed to repeat a change of unknown outcome"},
	}
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: flagAuthor, Sources: cli.EnvVars("DOORPOND_AUTHOR", "USER"),
		Usage: "`NAME` recorded with the change; by default the system's user"}
}

// authorOf returns who makes a change.
func authorOf(command *cli.Command) (string, error) {
	if given := command.String(flagAuthor); given != "" {
		return given, nil
	}
	known, err := user.Current()
	if err != nil {
		return "", usage("--author is needed, as the system does not know the user: %w", err)
	}
	return known.Username, nil
}

const longestWait = time.Minute

func checkWait(wait time.Duration) error {
	if wait < 0 || wait > longestWait {
		return usage("--wait must be from 0s to %s", longestWait)
	}
	return nil
}
