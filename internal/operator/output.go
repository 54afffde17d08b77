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

// show writes a value as JSON, or calls a function that writes it as text.
func show(command *cli.Command, value any, text func(to io.Writer)) error {
	out := command.Root().Writer
	if command.String(flagOutput) == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text(out)
	return nil
}

// showing is the action of a command without arguments that shows what one call
// returns.
func showing[T any](call func(*AdminClient, context.Context) (*T, error), text func(to io.Writer, value *T)) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if _, err := arguments(command, 0, 0); err != nil {
			return err
		}
		value, err := call(api(command), ctx)
		if err != nil {
			return coded(err, false)
		}
		return show(command, value, func(to io.Writer) { text(to, value) })
	}
}

// grid writes rows in aligned columns under a heading.
type grid struct {
	writer *tabwriter.Writer
}

func newGrid(to io.Writer, heading ...string) *grid {
	g := &grid{writer: tabwriter.NewWriter(to, 0, 8, 2, ' ', 0)}
	g.row(toAny(heading)...)
	return g
}

func toAny(texts []string) []any {
	values := make([]any, len(texts))
	for i, text := range texts {
		values[i] = text
	}
	return values
}

func (g *grid) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = oneLine(fmt.Sprint(cell))
	}
	fmt.Fprintln(g.writer, strings.Join(texts, "\t"))
}

func (g *grid) end() { _ = g.writer.Flush() } // the terminal is gone if this fails

// oneLine keeps a cell from breaking the table or steering the terminal.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, text)
}
