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

const operationsPage = "../../docs/OPERATIONS.md"

// readTable returns the cells of the table below a heading of the page, without the table's
// header and without backquotes.
func readTable(t *testing.T, heading string) [][]string {
	t.Helper()
	content, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(content), "\n## "+heading+"\n")
	if !found {
		t.Fatalf("heading %q not found", heading)
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
		t.Fatalf("no table below heading %q", heading)
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
	documented := make(map[string]string)
	for _, row := range readTable(t, "Settings") {
		documented[row[0]] = row[1]
	}
	want := make(map[string]string)
	for _, option := range settings.Options() {
		want[option.Key] = option.Default
	}
	if diff := cmp.Diff(want, documented); diff != "" {
		t.Errorf("settings (-want +documented):\n%s", diff)
	}
}

func TestOperationsPageHasEveryErrorKind(t *testing.T) {
	documented := make(map[string]string)
	for _, row := range readTable(t, "Error kinds") {
		documented[row[0]] = row[1] + " " + row[2]
	}
	want := make(map[string]string)
	for _, kind := range failure.Kinds() {
		row := failure.Lookup(kind)
		notRun := "not always"
		if row.NotRun {
			notRun = "yes"
		}
		want[string(kind)] = strconv.Itoa(row.Status) + " " + notRun
	}
	if diff := cmp.Diff(want, documented); diff != "" {
		t.Errorf("error kinds (-want +documented):\n%s", diff)
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
	var want []string
	for description := range descriptions {
		if found := name.FindStringSubmatch(description.String()); found != nil {
			want = append(want, found[1])
		}
	}
	slices.Sort(want)
	rows := readTable(t, "Metrics")
	if diff := cmp.Diff(slices.Compact(want), firstCells(rows)); diff != "" {
		t.Errorf("metrics (-want +documented):\n%s", diff)
	}
	for _, row := range rows {
		if len(row) != 3 || len(row[2]) == 0 {
			t.Errorf("metric %s: no action documented", row[0])
		}
	}
}

func TestOperationsPageHasEveryCommand(t *testing.T) {
	var want []string
	var walk func(command *cli.Command, path string)
	walk = func(command *cli.Command, path string) {
		path = strings.TrimSpace(path + " " + command.Name)
		if len(command.Commands) == 0 {
			want = append(want, path)
		}
		for _, sub := range command.Commands {
			walk(sub, path)
		}
	}
	walk(operator.New(operator.Streams{}), "")
	slices.Sort(want)
	if diff := cmp.Diff(want, firstCells(readTable(t, "Commands of doorpond"))); diff != "" {
		t.Errorf("commands (-want +documented):\n%s", diff)
	}
}
