// Package operator implements doorpond, the command-line tool for operators. It
// edits the policy table, shows the state of the daemons, and sends queries and
// calls.
package operator

import (
	"context"
	"io"
	"net/http"
	"os/user"
	"time"

	"github.com/urfave/cli/v3"
)

// Streams holds the standard streams of the command line.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Global flags.
const (
	flagAdmin  = "admin"
	flagDaemon = "daemon"
	flagToken  = "token"
	flagOutput = "output"
	flagAuthor = "author"

	flagCA          = "ca"
	flagCertificate = "certificate"
	flagKey         = "certificate-key"
)

// Values of --output.
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

// New returns the root command. Pass the error of its Run method to ExitCode.
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
		// Errors are printed by ExitCode.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError("%w", err) },
		Flags:          globalFlags(),
		Before:         checkOutput,
		Action:         requireSubcommand,
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
		&cli.StringFlag{Name: flagCA, Sources: cli.EnvVars("DOORPOND_CA"), Usage: "PEM `FILE` of the authorities that a daemon's certificate must come from; with it or --certificate, TLS is used"},
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
		return ctx, usageError("invalid --output %q: must be table or json", output)
	}
}

// requireSubcommand is the action of commands that only group subcommands.
func requireSubcommand(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usageError("unknown command %q; see %s --help", command.Args().First(), command.FullName())
	}
	return cli.ShowSubcommandHelp(command)
}

// adminClient returns the client configured by the flags. Errors in the TLS
// configuration are reported by the first request.
func adminClient(command *cli.Command) *AdminClient {
	transport, scheme, err := newTransport(command)
	return &AdminClient{
		base:      baseURL(command.String(flagAdmin), scheme),
		token:     command.String(flagToken),
		http:      &http.Client{Transport: transport},
		configErr: err,
	}
}

// arguments returns the positional arguments after checking their number. A
// negative maxCount means no limit.
func arguments(command *cli.Command, minCount, maxCount int) ([]string, error) {
	args := command.Args().Slice()
	if len(args) < minCount || (maxCount >= 0 && len(args) > maxCount) {
		return nil, usageError("wrong number of arguments (%d); usage: %s %s", len(args), command.FullName(), command.ArgsUsage)
	}
	return args, nil
}

// Flags of commands that change the table.
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

// changeAuthor returns the author to record with a change.
func changeAuthor(command *cli.Command) (string, error) {
	if author := command.String(flagAuthor); author != "" {
		return author, nil
	}
	current, err := user.Current()
	if err != nil {
		return "", usageError("--author is required because the current user is unknown: %w", err)
	}
	return current.Username, nil
}

const maxWait = time.Minute

func checkWait(wait time.Duration) error {
	if wait < 0 || wait > maxWait {
		return usageError("--wait must be from 0s to %s", maxWait)
	}
	return nil
}
