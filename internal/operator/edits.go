package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/admin"
	"github.com/doorpond/doorpond/internal/policytable"
)

// submit sends an edit, or previews it if --dry-run is set.
func submit(ctx context.Context, command *cli.Command, edit policytable.Edit) error {
	var err error
	edit.Author, err = changeAuthor(command)
	if err != nil {
		return err
	}
	if command.Bool(flagDryRun) {
		return preview(ctx, command, edit)
	}
	edit.ID = command.String(flagChangeID)
	if edit.ID == "" {
		edit.ID = ulid.Make().String()
	}
	result, err := adminClient(command).Edit(ctx, edit, command.Duration(flagWait))
	if err != nil {
		return withRetryHint(withExitCode(err, true), edit.ID)
	}
	return showResult(command, result)
}

// withRetryHint adds the change ID with which an edit of unknown outcome can be
// repeated.
func withRetryHint(err error, id string) error {
	exitErr, ok := err.(*exitError)
	if !ok || exitErr.code != ExitUncertain {
		return err
	}
	wrapped := fmt.Errorf("%w (safe to repeat with --change-id %s)", exitErr.err, id)
	return &exitError{code: ExitUncertain, err: wrapped}
}

func preview(ctx context.Context, command *cli.Command, edit policytable.Edit) error {
	result, err := adminClient(command).Diff(ctx, edit)
	if err != nil {
		return withExitCode(err, false)
	}
	return writeResult(command, result, func(w io.Writer) {
		if len(result.Diff) == 0 {
			fmt.Fprintln(w, "nothing would change")
		}
		printLines(w, result.Diff)
	})
}

func printLines(w io.Writer, lines []string) {
	for _, line := range lines {
		fmt.Fprintln(w, sanitizeLine(line))
	}
}

func showResult(command *cli.Command, result *admin.EditResult) error {
	err := writeResult(command, result, func(w io.Writer) { printResult(w, result) })
	if err != nil {
		return err
	}
	if result.Propagation != nil && !result.Propagation.Complete {
		pending := len(result.Propagation.Lagging) + len(result.Propagation.Unreachable)
		return &exitError{code: ExitUncertain,
			err: fmt.Errorf("change accepted but not confirmed in force on %d of %d daemons", pending, result.Propagation.Daemons)}
	}
	return nil
}

func printResult(w io.Writer, result *admin.EditResult) {
	if result.Change == nil {
		return
	}
	if len(result.Change.Summary) == 0 {
		fmt.Fprintln(w, "nothing to change at revision", result.Change.Revision)
	} else {
		fmt.Fprintln(w, "accepted as revision", result.Change.Revision)
	}
	printLines(w, result.Change.Summary)
	if result.Propagation != nil {
		printPropagation(w, result.Propagation)
	}
}

func printPropagation(w io.Writer, propagation *admin.Propagation) {
	if propagation.Complete {
		fmt.Fprintf(w, "in force on all %d daemons after %d ms\n", propagation.Daemons, propagation.ElapsedMilliseconds)
	}
	printLagging(w, propagation.Lagging, propagation.Unreachable)
	for _, member := range propagation.Failed {
		fmt.Fprintf(w, "failed, not counted: %s at %s\n", member.ID, member.PeerAddress)
	}
}

func printLagging(w io.Writer, lagging []admin.LaggingDaemon, unreachable []admin.Unreachable) {
	for _, node := range lagging {
		fmt.Fprintf(w, "lags: %s in %s/%s at revision %d\n", node.ID, node.Place.Region, node.Place.Zone, node.Revision)
	}
	for _, node := range unreachable {
		fmt.Fprintf(w, "unreachable: %s at %s: %s\n", node.Member.ID, node.Member.PeerAddress, sanitizeLine(node.Reason))
	}
}

func restoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "restore",
		Usage: "write the table in force back to a store that was restored, and let calls go on",
		Description: `For use after the store was restored from a backup: doorpond status shows
"regressed", the daemons go on with the newer table and refuse calls meanwhile.
Wait until no caller will repeat a call that it made before the restore: such a
call could run a second time.`,
		Flags: []cli.Flag{authorFlag(), changeFlags()[0]},
		Action: func(ctx context.Context, command *cli.Command) error {
			if _, err := arguments(command, 0, 0); err != nil {
				return err
			}
			author, err := changeAuthor(command)
			if err != nil {
				return err
			}
			result, err := adminClient(command).Restore(ctx, author, command.Duration(flagWait))
			if err != nil {
				return withExitCode(err, true)
			}
			return showResult(command, result)
		},
	}
}
