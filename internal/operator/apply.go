package operator

import (
	"context"
	"io"
	"os"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
)

// TableFile is the YAML of "apply" and "diff".
type TableFile struct {
	Policies    []fileRow           `yaml:"policies"`
	Assignments []policy.Assignment `yaml:"assignments"`
}

// fileRow is a policy whose missing fields have the defaults.
type fileRow policy.Row

// UnmarshalYAML reads over the defaults.
func (r *fileRow) UnmarshalYAML(unmarshal func(any) error) error {
	row := policy.DefaultRow("")
	if err := unmarshal(&row); err != nil {
		return err
	}
	*r = fileRow(row)
	return nil
}

const (
	flagFile  = "file"
	flagPrune = "prune"
	// maximumFileBytes bounds a table file.
	maximumFileBytes = 4 << 20
)

func fileFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Required: true, Usage: "YAML `FILE` of policies and assignments; - reads standard input"},
		&cli.BoolFlag{Name: flagPrune, Usage: "also delete policies and assignments that the file has not"},
	}
}

const fileDescription = `The file has policies and assignments; a policy's missing fields take the
defaults:

   policies:
     - name: fast
       wait: {timeout: 60ms, hedge_quantile: 0.95}
       completeness: {target: 0.98, grace: 2ms}
   assignments:
     - group: gate
       shares: [{policy: fast, weight: 1}]`

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "make the table as a file says, in one change",
		Description: fileDescription,
		Flags:       append(fileFlags(), changeFlags()...),
		Action: func(ctx context.Context, command *cli.Command) error {
			edit, err := fileEdit(ctx, command)
			if err != nil {
				return err
			}
			return submit(ctx, command, edit)
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "show what apply would change",
		Description: fileDescription,
		Flags:       fileFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			edit, err := fileEdit(ctx, command)
			if err != nil {
				return err
			}
			return preview(ctx, command, edit)
		},
	}
}

func fileEdit(ctx context.Context, command *cli.Command) (policytable.Edit, error) {
	if _, err := arguments(command, 0, 0); err != nil {
		return policytable.Edit{}, err
	}
	file, err := readTableFile(command)
	if err != nil {
		return policytable.Edit{}, err
	}
	table, err := currentTable(ctx, command)
	if err != nil {
		return policytable.Edit{}, err
	}
	edit := policytable.Edit{ExpectedRevision: table.Revision, SetAssignments: file.Assignments}
	for _, row := range file.Policies {
		edit.SetPolicies = append(edit.SetPolicies, policy.Row(row))
	}
	if command.Bool(flagPrune) {
		prune(&edit, table)
	}
	return edit, nil
}

func readTableFile(command *cli.Command) (*TableFile, error) {
	name := command.String(flagFile)
	var from io.Reader = command.Root().Reader
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			return nil, usage("open the table file: %w", err)
		}
		defer opened.Close()
		from = opened
	}
	return parseTableFile(name, from)
}

func parseTableFile(name string, from io.Reader) (*TableFile, error) {
	body, err := io.ReadAll(io.LimitReader(from, maximumFileBytes+1))
	if err != nil {
		return nil, usage("read %s: %w", name, err)
	}
	if len(body) > maximumFileBytes {
		return nil, usage("%s is over %d bytes", name, maximumFileBytes)
	}
	file := &TableFile{}
	if err := yaml.UnmarshalWithOptions(body, file, yaml.Strict()); err != nil {
		return nil, usage("%s: %s", name, yaml.FormatError(eris.Cause(err), false, true))
	}
	if len(file.Policies)+len(file.Assignments) == 0 {
		return nil, usage("%s has neither policies nor assignments", name)
	}
	return file, checkRepeats(name, file)
}

// checkRepeats refuses a name given twice, of which one would be lost.
func checkRepeats(name string, file *TableFile) error {
	policies := make([]string, 0, len(file.Policies))
	for _, row := range file.Policies {
		policies = append(policies, row.Name)
	}
	groups := make([]string, 0, len(file.Assignments))
	for _, assignment := range file.Assignments {
		groups = append(groups, assignment.Group)
	}
	if repeated := firstRepeated(policies); repeated != "" {
		return usage("%s: policy %q is there twice", name, repeated)
	}
	if repeated := firstRepeated(groups); repeated != "" {
		return usage("%s: group %q is there twice", name, repeated)
	}
	return nil
}

func firstRepeated(names []string) string {
	slices.Sort(names)
	for i := 1; i < len(names); i++ {
		if names[i] == names[i-1] {
			return names[i]
		}
	}
	return ""
}

// prune deletes what the edit does not set.
func prune(edit *policytable.Edit, table *policy.Table) {
	for _, row := range table.Policies {
		kept := slices.ContainsFunc(edit.SetPolicies, func(set policy.Row) bool { return set.Name == row.Name })
		if !kept {
			edit.DeletePolicies = append(edit.DeletePolicies, row.Name)
		}
	}
	for _, assignment := range table.Assignments {
		kept := slices.ContainsFunc(edit.SetAssignments, func(set policy.Assignment) bool { return set.Group == assignment.Group })
		if !kept {
			edit.DeleteAssignments = append(edit.DeleteAssignments, assignment.Group)
		}
	}
}
