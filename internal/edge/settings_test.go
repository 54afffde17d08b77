package edge

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/quota"
	"github.com/doorpond/doorpond/internal/settings"
	"github.com/doorpond/doorpond/internal/topology"
)

// platformFields are the platform's fields by their template placeholder.
var platformFields = map[string]string{
	"node|json": `"n1"`, "region|json": `"r1"`, "zone|json": `"z1"`, "zones|json": `{"z1":"r1","z2":"r2"}`,
	"listen.front|json": `"10.0.0.1:1"`, "listen.ready|json": `"10.0.0.1:2"`, "listen.directory|json": `"10.0.0.1:3"`,
	"listen.control|json": `"10.0.0.1:4"`, "seeds|json": `["10.0.0.1:4","10.0.0.2:4"]`,
	"ip": "10.0.0.1", "portRange.0": "7740", "portRange.1": "7741", "platform.address": "10.0.0.9:1",
	"platform.ttlMinMs": "1000", "limits.memoryMb": "284", "bounds.drainMs": "3000", "bounds.graceS": "6",
	"bounds.configApplyMs": "2000", "bounds.retryBudgetRatio": "0.2", "bounds.retrySlack": "58", "bounds.ttl_max_s": "5",
	"limits.cpuShare": "0.4", "limits.cores": "1", "faultTolerance.machines": "1",
}

// optionalFields are fields that the platform provides on some deployments only.
var optionalFields = map[string]string{
	"bounds.evacuateMs": "1500", "bounds.budgetWindowS": "10", "bounds.warmupOverage": "1.5", "bounds.warmupSlack": "5",
	"bounds.quota" + "WindowS": "5", "bounds.quota" + "Overage": "0.1", "bounds.quota" + "Slack": "20",
}

// optionalLine matches a part of the template that is rendered only if its field is present.
var optionalLine = regexp.MustCompile(`\{\{#(.*?)\}\}(.*?)\{\{/.*?\}\}`)

// render renders the settings template for a deployment without optional fields.
func render(t *testing.T) string { return renderWith(t, nil) }

func renderWith(t *testing.T, given map[string]string) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.yaml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	text := optionalLine.ReplaceAllStringFunc(string(template), func(part string) string {
		found := optionalLine.FindStringSubmatch(part)
		if _, known := optionalFields[found[1]]; !known {
			t.Errorf("template uses unknown field %s", found[1])
		}
		if value := given[found[1]]; value != "" {
			return strings.ReplaceAll(found[2], "{{.}}", value)
		}
		return ""
	})
	return regexp.MustCompile(`\{\{(.*?)\}\}`).ReplaceAllStringFunc(text, func(placeholder string) string {
		value, known := platformFields[strings.Trim(placeholder, "{}")]
		if !known {
			t.Errorf("template uses unknown field %s", placeholder)
		}
		return value
	})
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadSettingsFromTemplate(t *testing.T) {
	loaded, err := LoadSettings(writeSettings(t, render(t)))
	if err != nil {
		t.Fatal(err)
	}
	if loaded.Node != "n1" || loaded.Regions["z2"] != "r2" || loaded.Store.URL != "http://10.0.0.9:1" || loaded.Peers != "10.0.0.1:7740" {
		t.Errorf("settings %+v", loaded)
	}
	if len(loaded.Seeds) != 2 || loaded.Seeds[1].String() != "10.0.0.2:4" || loaded.State != "10.0.0.1:4" {
		t.Errorf("state %s, seeds %v", loaded.State, loaded.Seeds)
	}
	if loaded.Bounds.MaxStaleness() != 2*time.Second || loaded.Bounds.Grace != 6*time.Second || loaded.Bounds.RetrySlack != 58 {
		t.Errorf("bounds %+v", loaded.Bounds)
	}
}

func TestOptionalBounds(t *testing.T) {
	with, err := LoadSettings(writeSettings(t, renderWith(t, optionalFields)))
	if err != nil {
		t.Fatal(err)
	}
	without, err := LoadSettings(writeSettings(t, render(t)))
	if err != nil {
		t.Fatal(err)
	}
	if with.Bounds.Evacuate != 1500*time.Millisecond || with.Bounds.MaxStaleness() != with.Bounds.Evacuate {
		t.Errorf("bounds %+v, staleness %v", with.Bounds, with.Bounds.MaxStaleness())
	}
	if with.Bounds.ColdOverage != 1.5 || with.Bounds.ColdSlack != 5 || without.Bounds.ColdOverage != 0 {
		t.Errorf("bounds %+v and %+v", with.Bounds, without.Bounds)
	}
	if with.Bounds.RetryWindow != 10*time.Second || without.Bounds.RetryWindow != 0 {
		t.Errorf("retry windows %v and %v", with.Bounds.RetryWindow, without.Bounds.RetryWindow)
	}
	if want := (quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}); with.Bounds.Quota() != want || without.Bounds.Quota() != (quota.Bounds{}) {
		t.Errorf("quota bounds %+v and %+v", with.Bounds.Quota(), without.Bounds.Quota())
	}
	if without.Bounds.Evacuate != 0 || without.Bounds.MaxStaleness() != 2*time.Second {
		t.Errorf("bounds %+v, staleness %v", without.Bounds, without.Bounds.MaxStaleness())
	}
}

func TestLoadSettingsErrors(t *testing.T) {
	cases := []struct{ name, from, to, key string }{
		{"unknown key", "region:", "regoin:", "regoin"},
		{"invalid address", `"10.0.0.1:1"`, `"10.0.0.1"`, "callers"},
		{"zero bound", "drain: 3000ms", "drain: 0s", "bounds.drain"},
		{"invalid duration", "grace: 6s", "grace: soon", "bounds.grace"},
		{"missing store URL", `url: "http://10.0.0.9:1"`, `url: ""`, "store.url"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			text := render(t)
			changed := strings.Replace(text, test.from, test.to, 1)
			if changed == text {
				t.Fatalf("settings do not contain %q", test.from)
			}
			_, err := LoadSettings(writeSettings(t, changed))
			var refused *settings.Error
			if !errors.As(err, &refused) || refused.Key != test.key || refused.Line == 0 {
				t.Errorf("error %#v", err)
			}
		})
	}
}

func TestReload(t *testing.T) {
	latest := Settings{Node: "n", Bounds: BoundsSettings{RetryRatio: 0.1, Grace: time.Second}}
	var failure error
	node := &Node{settings: latest, reload: func() (Settings, error) { return latest, failure }}
	node.current.Store(&Settings{Node: "n", Bounds: BoundsSettings{RetryRatio: 0.5}})
	var log strings.Builder
	node.logger = textLogger(&log)
	node.Reload()
	if got := node.current.Load().Bounds; got.RetryRatio != 0.1 || got.Grace != time.Second {
		t.Errorf("bounds %+v", got)
	}
	latest.Node = "another"
	node.Reload()
	if got := node.current.Load().Node; got != "n" || !strings.Contains(log.String(), "waits_for_restart=true") {
		t.Errorf("node %s, log %s", got, log.String())
	}
	failure = &settings.Error{Source: "file", Reason: "bad"}
	latest.Bounds.RetryRatio = 0.9
	node.Reload()
	if got := node.current.Load().Bounds.RetryRatio; got != 0.1 || !strings.Contains(log.String(), "settings refused") {
		t.Errorf("ratio %g after refused settings, log %s", got, log.String())
	}
}

func TestBudgetDividedAmongNodes(t *testing.T) {
	board := &testBoard{}
	bounds := BoundsSettings{RetryRatio: 0.2, RetrySlack: 60}
	budgets := newBudgets(board.withNodes(6), func() BoundsSettings { return bounds }, time.Now)
	first := 0
	for budgets.forGroup("g").Withdraw() {
		first++
	}
	if limit := 2; first == 0 || first > limit {
		t.Errorf("%d initial retries of a new node", first)
	}
	fill(budgets.forGroup("g"))
	taken := 0
	for budgets.forGroup("g").Withdraw() {
		taken++
	}
	if limit := 10; taken == 0 || taken > limit {
		t.Errorf("burst of %d retries, with a slack of 60 for 6 nodes", taken)
	}
	for range 100 {
		budgets.forGroup("g").Deposit()
	}
	earned := 0
	for budgets.forGroup("g").Withdraw() {
		earned++
	}
	if earned == 0 || earned > 20 {
		t.Errorf("100 requests earned %d retries at a ratio of 0.2", earned)
	}
	fill(budgets.forGroup("another"))
	burst := 0
	for budgets.forGroup("another").Withdraw() {
		burst++
	}
	if burst != taken || budgets.forGroup("g").Withdraw() {
		t.Error("groups share a budget")
	}
}

// fill fills a budget by deposits.
func fill(budget decision.Budget) {
	for range 1000 {
		budget.Deposit()
	}
}

// Standby nodes get a small share of the slack, and all shares together must not exceed it.
func TestStandbyBudget(t *testing.T) {
	nodes := &topology.Nodes{Nodes: make([]topology.Node, 10), BudgetShares: 4}
	for i := range nodes.Nodes {
		nodes.Nodes[i].ID = fmt.Sprint("n", i)
	}
	nodes.EntryNodes = nodes.Nodes[:4]
	granted := func(self int) int {
		own := *nodes
		own.Self = nodes.Nodes[self]
		board := &testBoard{}
		board.board.Nodes.Publish(&own)
		budgets := newBudgets(&board.board, func() BoundsSettings { return BoundsSettings{RetryRatio: 0.2, RetrySlack: 60} }, time.Now)
		fill(budgets.forGroup("g"))
		taken := 0
		for budgets.forGroup("g").Withdraw() {
			taken++
		}
		return taken
	}
	entry, standby := granted(0), granted(9)
	if entry <= 2*standby || standby == 0 {
		t.Errorf("burst of %d retries on an entry node, %d on a standby node", entry, standby)
	}
	if all := 4*entry + 6*standby; all > 60 {
		t.Errorf("total burst of %d retries, with a slack of 60", all)
	}
}
