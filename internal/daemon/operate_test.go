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

func TestOperatorsWorkOnTwoDaemons(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	first, _ := startDaemon(t, running, nil, unchanged)
	second, endSecond := startDaemon(t, running, []*Daemon{first}, unchanged)
	awaitMembers(t, 2, first, second)

	expect(t, first, operator.ExitUnavailable, "no_table", editorsQuery)
	expect(t, first, operator.ExitOK, "in force on all 2 daemons", "policy set fast wait.timeout=900ms --author ama --wait 30s")
	expect(t, second, operator.ExitOK, "in force on all 2 daemons", "policy set careful completeness.target=1 --author kofi --wait 30s")
	expect(t, second, operator.ExitOK, "in force on all 2 daemons", "assign editors fast=50 careful=50 --author kofi --wait 30s")
	expect(t, first, operator.ExitOK, "nothing would change", "policy set fast wait.timeout=900ms --dry-run --author ama")
	expect(t, first, operator.ExitOK, "kofi", "policy history")

	for range 10 {
		expect(t, first, operator.ExitOK, "shards answered", editorsQuery, "--caller", "ama")
		expect(t, second, operator.ExitOK, "shards answered", editorsQuery, "--caller", "kofi")
	}
	compared := expect(t, first, operator.ExitOK, "2 daemons", "compare fast careful --group editors")
	if !regexp.MustCompile(`(?m)^queries +\d+ +\d+ *$`).MatchString(compared.text) {
		t.Errorf("no counts of queries:\n%s", compared.text)
	}
	expect(t, first, operator.ExitOK, "too few", "compare fast careful")
	expect(t, first, operator.ExitFailure, "there is no policy", "compare fast none")

	leaving := running.Backends()[0].Address
	if err := running.DrainReplica(leaving); err != nil {
		t.Fatal(err)
	}
	eventually(t, "both daemons see the replica leave", func() bool {
		status := operate(t, second, "status")
		return regexp.MustCompile(regexp.QuoteMeta(leaving) + `.* leaving +2 of 2`).MatchString(status.text)
	})
	endSecond()
	eventually(t, "status shows one daemon", func() bool {
		return regexp.MustCompile(`\b1 daemons answer, 0 lag, 0 do not answer`).MatchString(operate(t, first, "status").text)
	})
}

func TestAnEditConflictNamesTheOtherChange(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	first, _ := startDaemon(t, running, nil, unchanged)
	expect(t, first, operator.ExitOK, "revision 1", "policy set fast retry.attempts=2 --author ama")
	// kofi's edit is made while ama's command line has read the table but not
	// sent its own: the watch of the daemon is held back meanwhile.
	second, _ := startDaemon(t, running, nil, unchanged)
	eventually(t, "the second daemon has the table", func() bool { return second.board.PolicyTable.Load() != nil })
	if err := running.Store.SetFaults(kv.Faults{FreezeWatches: true}); err != nil {
		t.Fatal(err)
	}
	expect(t, second, operator.ExitOK, "revision 2", "policy set fast retry.attempts=3 --author kofi")
	if first.board.PolicyTable.Load().Table.Revision != 1 {
		t.Fatal("the first daemon has heard of the change already")
	}
	conflict := expect(t, first, operator.ExitConflict, "changed by kofi at revision 2", "policy set fast retry.attempts=4 --author ama")
	if !regexp.MustCompile(`on \d{4}-\d\d-\d\dT.*retry\.attempts`).MatchString(conflict.text) {
		t.Errorf("the conflict names no time and change:\n%s", conflict.text)
	}
}

func TestChangesNeedTheToken(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	guarded, _ := startDaemon(t, running, nil, func(s *settings.Settings) { s.Administration.TokenFile = path })
	expect(t, guarded, operator.ExitFailure, "unauthorized", "policy set fast priority=high --author ama")
	expect(t, guarded, operator.ExitOK, "revision 1", "--token secret policy set fast priority=high --author ama")
	if metrics := read(t, guarded, "/metrics"); !regexp.MustCompile(`(?m)^doorpondd_admin_refused_requests_total 1$`).MatchString(metrics) {
		t.Error("the refusal was not counted")
	}
}

func TestStatusTellsSinceWhenTheStoreIsOut(t *testing.T) {
	t.Parallel()
	running := startPlatform(t)
	first, _ := startDaemon(t, running, nil, unchanged)
	expect(t, first, operator.ExitOK, "revision 1", "policy set fast priority=high --author ama")
	if err := running.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "status shows the outage", func() bool {
		return regexp.MustCompile(`the store has been out of reach since \d{4}-`).MatchString(operate(t, first, "status").text)
	})
	expect(t, first, operator.ExitUnavailable, "Nothing was run or changed", "policy set fast priority=normal --author ama")
}
