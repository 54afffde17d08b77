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

// TableFile is the YAML file that "apply" and "diff" read.
type TableFile struct {
	Policies    []policyEntry       `yaml:"policies"`
	Assignments []policy.Assignment `yaml:"assignments"`
}

// policyEntry is a policy in which omitted fields take their defaults.
type policyEntry policy.Row

// UnmarshalYAML decodes the policy on top of the defaults.
func (r *policyEntry) UnmarshalYAML(unmarshal func(any) error) error {
	row := policy.DefaultRow("")
	if err := unmarshal(&row); err != nil {
		return err
	}
	*r = policyEntry(row)
	return nil
}

const (
	flagFile  = "file"
	flagPrune = "prune"
	// maxFileBytes limits the size of a table file.
	maxFileBytes = 4 << 20
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
	var reader io.Reader = command.Root().Reader
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			return nil, usageError("open the table file: %w", err)
		}
		defer opened.Close()
		reader = opened
	}
	return parseTableFile(name, reader)
}

func parseTableFile(name string, reader io.Reader) (*TableFile, error) {
	body, err := io.ReadAll(io.LimitReader(reader, maxFileBytes+1))
	if err != nil {
		return nil, usageError("read %s: %w", name, err)
	}
	if len(body) > maxFileBytes {
		return nil, usageError("%s exceeds %d bytes", name, maxFileBytes)
	}
	file := &TableFile{}
	if err := yaml.UnmarshalWithOptions(body, file, yaml.Strict()); err != nil {
		return nil, usageError("%s: %s", name, yaml.FormatError(eris.Cause(err), false, true))
	}
	if len(file.Policies)+len(file.Assignments) == 0 {
		return nil, usageError("%s has neither policies nor assignments", name)
	}
	return file, checkDuplicates(name, file)
}

// checkDuplicates rejects files that list a policy or group twice, because one
// of the entries would be ignored.
func checkDuplicates(name string, file *TableFile) error {
	policies := make([]string, 0, len(file.Policies))
	for _, row := range file.Policies {
		policies = append(policies, row.Name)
	}
	groups := make([]string, 0, len(file.Assignments))
	for _, assignment := range file.Assignments {
		groups = append(groups, assignment.Group)
	}
	if duplicate := firstDuplicate(policies); duplicate != "" {
		return usageError("%s: policy %q is listed twice", name, duplicate)
	}
	if duplicate := firstDuplicate(groups); duplicate != "" {
		return usageError("%s: group %q is listed twice", name, duplicate)
	}
	return nil
}

func firstDuplicate(names []string) string {
	slices.Sort(names)
	for i := 1; i < len(names); i++ {
		if names[i] == names[i-1] {
			return names[i]
		}
	}
	return ""
}

// prune adds deletions of all policies and assignments that the edit does not
// set.
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
