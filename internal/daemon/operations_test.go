package daemon

import (
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/operator"
	"github.com/doorpond/doorpond/internal/settings"
)

// operationsPage is docs/OPERATIONS.md, which these tests keep complete.
const operationsPage = "../../docs/OPERATIONS.md"

// tableUnder returns the cells of the table under a heading of the page,
// without its own heading. Code marks are taken off.
func tableUnder(t *testing.T, heading string) [][]string {
	t.Helper()
	content, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(content), "\n## "+heading+"\n")
	if !found {
		t.Fatalf("the page has no heading %q", heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	section, _, _ = strings.Cut(section, "\n### ")
	var rows [][]string
	for _, line := range strings.Split(section, "\n") {
		if !strings.HasPrefix(line, "|") {
			continue
		}
		var cells []string
		for _, cell := range strings.Split(strings.Trim(line, "|"), "|") {
			cells = append(cells, strings.Trim(strings.TrimSpace(cell), "`"))
		}
		rows = append(rows, cells)
	}
	if len(rows) < 3 {
		t.Fatalf("there is no table under %q", heading)
	}
	return rows[2:]
}

func firstCells(rows [][]string) []string {
	var cells []string
	for _, row := range rows {
		cells = append(cells, row[0])
	}
	slices.Sort(cells)
	return cells
}

func TestOperationsPageHasEverySetting(t *testing.T) {
	written := make(map[string]string)
	for _, row := range tableUnder(t, "Settings") {
		written[row[0]] = row[1]
	}
	real := make(map[string]string)
	for _, option := range settings.Options() {
		real[option.Key] = option.Default
	}
	if diff := cmp.Diff(real, written); diff != "" {
		t.Errorf("settings (-real +written):\n%s", diff)
	}
}

func TestOperationsPageHasEveryErrorKind(t *testing.T) {
	written := make(map[string]string)
	for _, row := range tableUnder(t, "Error kinds") {
		written[row[0]] = row[1] + " " + row[2]
	}
	real := make(map[string]string)
	for _, kind := range failure.Kinds() {
		row := failure.Lookup(kind)
		notRun := "not always"
		if row.NotRun {
			notRun = "yes"
		}
		real[string(kind)] = strconv.Itoa(row.Status) + " " + notRun
	}
	if diff := cmp.Diff(real, written); diff != "" {
		t.Errorf("error kinds (-real +written):\n%s", diff)
	}
}

func TestOperationsPageHasEveryMetric(t *testing.T) {
	t.Parallel()
	started, _ := startDaemon(t, startPlatform(t), nil, unchanged)
	descriptions := make(chan *prometheus.Desc)
	go func() {
		started.registry.Describe(descriptions)
		close(descriptions)
	}()
	name := regexp.MustCompile(`fqName: "(doorpondd_[a-z0-9_]+)"`)
	var real []string
	for description := range descriptions {
		if found := name.FindStringSubmatch(description.String()); found != nil {
			real = append(real, found[1])
		}
	}
	slices.Sort(real)
	rows := tableUnder(t, "Metrics")
	if diff := cmp.Diff(slices.Compact(real), firstCells(rows)); diff != "" {
		t.Errorf("metrics (-real +written):\n%s", diff)
	}
	for _, row := range rows {
		if len(row) != 3 || len(row[2]) == 0 {
			t.Errorf("metric %s: the page does not say what to do", row[0])
		}
	}
}

func TestOperationsPageHasEveryCommand(t *testing.T) {
	var real []string
	var walk func(command *cli.Command, path string)
	walk = func(command *cli.Command, path string) {
		path = strings.TrimSpace(path + " " + command.Name)
		if len(command.Commands) == 0 {
			real = append(real, path)
		}
		for _, sub := range command.Commands {
			walk(sub, path)
		}
	}
	walk(operator.New(operator.Streams{}), "")
	slices.Sort(real)
	if diff := cmp.Diff(real, firstCells(tableUnder(t, "Commands of doorpond"))); diff != "" {
		t.Errorf("commands (-real +written):\n%s", diff)
	}
}
