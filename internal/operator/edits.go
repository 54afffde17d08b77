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

// submit sends an edit, or shows what it would change on a dry run.
func submit(ctx context.Context, command *cli.Command, edit policytable.Edit) error {
	var err error
	edit.Author, err = authorOf(command)
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
	result, err := api(command).Edit(ctx, edit, command.Duration(flagWait))
	if err != nil {
		return unsure(coded(err, true), edit.ID)
	}
	return showResult(command, result)
}

// unsure adds how to find out what became of an edit.
func unsure(err error, id string) error {
	known, is := err.(*codedError)
	if !is || known.code != ExitUnsure {
		return err
	}
	wrapped := fmt.Errorf("%w (repeat it safely with --change-id %s)", known.err, id)
	return &codedError{code: ExitUnsure, err: wrapped}
}

func preview(ctx context.Context, command *cli.Command, edit policytable.Edit) error {
	result, err := api(command).Diff(ctx, edit)
	if err != nil {
		return coded(err, false)
	}
	return show(command, result, func(to io.Writer) {
		if len(result.Diff) == 0 {
			fmt.Fprintln(to, "nothing would change")
		}
		printLines(to, result.Diff)
	})
}

func printLines(to io.Writer, lines []string) {
	for _, line := range lines {
		fmt.Fprintln(to, oneLine(line))
	}
}

func showResult(command *cli.Command, result *admin.EditResult) error {
	err := show(command, result, func(to io.Writer) { printResult(to, result) })
	if err != nil {
		return err
	}
	if result.Propagation != nil && !result.Propagation.Complete {
		behind := len(result.Propagation.Lagging) + len(result.Propagation.Unreachable)
		return &codedError{code: ExitUnsure,
			err: fmt.Errorf("accepted, but not seen in force on %d of %d daemons", behind, result.Propagation.Daemons)}
	}
	return nil
}

func printResult(to io.Writer, result *admin.EditResult) {
	if result.Change == nil {
		return
	}
	if len(result.Change.Summary) == 0 {
		fmt.Fprintln(to, "nothing to change at revision", result.Change.Revision)
	} else {
		fmt.Fprintln(to, "accepted as revision", result.Change.Revision)
	}
	printLines(to, result.Change.Summary)
	if result.Propagation != nil {
		printPropagation(to, result.Propagation)
	}
}

func printPropagation(to io.Writer, propagation *admin.Propagation) {
	if propagation.Complete {
		fmt.Fprintf(to, "in force on all %d daemons after %d ms\n", propagation.Daemons, propagation.ElapsedMilliseconds)
	}
	printBehind(to, propagation.Lagging, propagation.Unreachable)
}

func printBehind(to io.Writer, lagging []admin.LaggingDaemon, unreachable []admin.Unreachable) {
	for _, one := range lagging {
		fmt.Fprintf(to, "lags: %s in %s/%s at revision %d\n", one.ID, one.Place.Region, one.Place.Zone, one.Revision)
	}
	for _, one := range unreachable {
		fmt.Fprintf(to, "unreachable: %s at %s: %s\n", one.Member.ID, one.Member.PeerAddress, oneLine(one.Reason))
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
			author, err := authorOf(command)
			if err != nil {
				return err
			}
			result, err := api(command).Restore(ctx, author, command.Duration(flagWait))
			if err != nil {
				return coded(err, true)
			}
			return showResult(command, result)
		},
	}
}
