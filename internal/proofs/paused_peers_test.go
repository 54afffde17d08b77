package proofs

import (
	"context"
	"strings"
	"testing"
	"time"
)

// freezeFor suspends a daemon for the given time and calls meanwhile before it resumes.
func freezeFor(ctx context.Context, t *testing.T, daemon *Process, pause time.Duration, meanwhile func()) {
	t.Helper()
	if err := daemon.Freeze(); err != nil {
		t.Fatal(err)
	}
	sleep(ctx, pause)
	meanwhile()
	if err := daemon.Resume(); err != nil {
		t.Fatal(err)
	}
}

// checkPausedPeers pauses all daemons, resumes one of them and sends it queries. Only the store can
// confirm its table.
func checkPausedPeers(t *testing.T, membershipPeriod time.Duration) {
	const queries, timeout, pause = 5, 4 * time.Second, 3 * time.Second
	ctx, cluster := startCluster(t, "--membership-period", membershipPeriod.String())
	setQueryTimeout(ctx, t, cluster, timeout)
	daemons := cluster.Alive()
	freezeAll(t, daemons[1:])
	freezeFor(ctx, t, daemons[0], pause, func() {})
	results := startQueries(ctx, daemons[0], queries)
	for range queries {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if log := daemons[0].Log(); strings.Contains(log, "using it unconfirmed") {
		t.Error("the table was used unconfirmed though the store answers")
	}
	resumeAll(t, daemons[1:])
}

// TestPausedDaemonAsksStoreBesideFailedPeers guards against refusing queries because all peers are
// still paused, which the daemon notices soon.
func TestPausedDaemonAsksStoreBesideFailedPeers(t *testing.T) {
	t.Parallel()
	checkPausedPeers(t, 200*time.Millisecond)
}

// TestPausedDaemonAsksStoreBesidePausedPeers guards against refusing queries because all peers are
// still paused, whose timeouts use up the time for asking the store, with the default period.
func TestPausedDaemonAsksStoreBesidePausedPeers(t *testing.T) {
	t.Parallel()
	checkPausedPeers(t, time.Second)
}
