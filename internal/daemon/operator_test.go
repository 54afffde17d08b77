package daemon

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/doorpond/doorpond/internal/operator"
	"github.com/doorpond/doorpond/internal/settings"
	"github.com/doorpond/doorpond/internal/standin/kv"
)

const editorsQuery = "query --group editors --corpus cues good"

func TestOperatorCommandsOnTwoDaemons(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	first, _ := startDaemon(t, running, nil, unchanged)
	second, shutDownSecond := startDaemon(t, running, []*Daemon{first}, unchanged)
	waitForMembers(t, 2, first, second)

	expectCommand(t, first, operator.ExitUnavailable, "no_table", editorsQuery)
	expectCommand(t, first, operator.ExitOK, "in force on all 2 daemons", "policy set fast wait.timeout=900ms --author ama --wait 30s")
	expectCommand(t, second, operator.ExitOK, "in force on all 2 daemons", "policy set careful completeness.target=1 --author kofi --wait 30s")
	expectCommand(t, second, operator.ExitOK, "in force on all 2 daemons", "assign editors fast=50 careful=50 --author kofi --wait 30s")
	expectCommand(t, first, operator.ExitOK, "nothing would change", "policy set fast wait.timeout=900ms --dry-run --author ama")
	expectCommand(t, first, operator.ExitOK, "kofi", "policy history")

	for range 10 {
		expectCommand(t, first, operator.ExitOK, "shards answered", editorsQuery, "--caller", "ama")
		expectCommand(t, second, operator.ExitOK, "shards answered", editorsQuery, "--caller", "kofi")
	}
	comparison := expectCommand(t, first, operator.ExitOK, "2 daemons", "compare fast careful --group editors")
	if !regexp.MustCompile(`(?m)^queries +\d+ +\d+ *$`).MatchString(comparison.text) {
		t.Errorf("no query counts in output:\n%s", comparison.text)
	}
	expectCommand(t, first, operator.ExitOK, "too few", "compare fast careful")
	expectCommand(t, first, operator.ExitFailure, `no such policy: "none"`, "compare fast none")

	leaving := running.Backends()[0].Address
	if err := running.DrainReplica(leaving); err != nil {
		t.Fatal(err)
	}
	eventually(t, "both daemons list the replica as leaving", func() bool {
		status := runCommand(t, second, "status")
		return regexp.MustCompile(regexp.QuoteMeta(leaving) + `.* leaving +2 of 2`).MatchString(status.text)
	})
	shutDownSecond()
	eventually(t, "status lists one daemon", func() bool {
		return regexp.MustCompile(`\b1 daemons answer, 0 lag, 0 do not answer`).MatchString(runCommand(t, first, "status").text)
	})
}

func TestEditConflictDescribesOtherChange(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	first, _ := startDaemon(t, running, nil, unchanged)
	expectCommand(t, first, operator.ExitOK, "revision 1", "policy set fast retry.attempts=2 --author ama")
	// watches are frozen so that ama's edit is based on the table before kofi's edit
	second, _ := startDaemon(t, running, nil, unchanged)
	eventually(t, "second daemon has the policy table", func() bool { return second.board.PolicyTable.Load() != nil })
	if err := running.Store.SetFaults(kv.Faults{FreezeWatches: true}); err != nil {
		t.Fatal(err)
	}
	expectCommand(t, second, operator.ExitOK, "revision 2", "policy set fast retry.attempts=3 --author kofi")
	if first.board.PolicyTable.Load().Table.Revision != 1 {
		t.Fatal("first daemon already has the change")
	}
	conflict := expectCommand(t, first, operator.ExitConflict, "changed by kofi at revision 2", "policy set fast retry.attempts=4 --author ama")
	if !regexp.MustCompile(`on \d{4}-\d\d-\d\dT.*retry\.attempts`).MatchString(conflict.text) {
		t.Errorf("no time or change in output:\n%s", conflict.text)
	}
}

func TestEditRequiresToken(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	daemon, _ := startDaemon(t, running, nil, func(s *settings.Settings) { s.Administration.TokenFile = path })
	expectCommand(t, daemon, operator.ExitFailure, "unauthorized", "policy set fast priority=high --author ama")
	expectCommand(t, daemon, operator.ExitOK, "revision 1", "--token secret policy set fast priority=high --author ama")
	if metrics := getPage(t, daemon, "/metrics"); !regexp.MustCompile(`(?m)^doorpondd_admin_refused_requests_total 1$`).MatchString(metrics) {
		t.Error("rejected request was not counted")
	}
}

func TestStatusShowsStoreOutage(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	first, _ := startDaemon(t, running, nil, unchanged)
	expectCommand(t, first, operator.ExitOK, "revision 1", "policy set fast priority=high --author ama")
	if err := running.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "status shows the outage", func() bool {
		return regexp.MustCompile(`the store has been out of reach since \d{4}-`).MatchString(runCommand(t, first, "status").text)
	})
	expectCommand(t, first, operator.ExitUnavailable, "Nothing was run or changed", "policy set fast priority=normal --author ama")
}
