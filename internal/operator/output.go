package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// writeResult writes a value as JSON or, by calling text, as plain text,
// depending on --output.
func writeResult(command *cli.Command, value any, text func(w io.Writer)) error {
	out := command.Root().Writer
	if command.String(flagOutput) == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text(out)
	return nil
}

// showAction returns the action of a command that takes no arguments and prints
// the result of one request.
func showAction[T any](call func(*AdminClient, context.Context) (*T, error), text func(w io.Writer, value *T)) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if _, err := arguments(command, 0, 0); err != nil {
			return err
		}
		value, err := call(adminClient(command), ctx)
		if err != nil {
			return withExitCode(err, false)
		}
		return writeResult(command, value, func(w io.Writer) { text(w, value) })
	}
}

// columnWriter writes a header and rows in aligned columns.
type columnWriter struct {
	writer *tabwriter.Writer
}

func newColumnWriter(w io.Writer, header ...string) *columnWriter {
	c := &columnWriter{writer: tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	c.row(toAnySlice(header)...)
	return c
}

func toAnySlice(texts []string) []any {
	values := make([]any, len(texts))
	for i, text := range texts {
		values[i] = text
	}
	return values
}

func (c *columnWriter) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = sanitizeLine(fmt.Sprint(cell))
	}
	fmt.Fprintln(c.writer, strings.Join(texts, "\t"))
}

func (c *columnWriter) flush() { _ = c.writer.Flush() } // fails only if the output is closed

// sanitizeLine replaces control characters, which could break the layout or
// control the terminal, with spaces.
func sanitizeLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, text)
}
