package proofs

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/standin/kv"
)

// TestPausedDaemonAnswersWaitingRequests guards against closing connections of callers that were
// paused together with the daemon, for longer than its header timeout.
func TestPausedDaemonAnswersWaitingRequests(t *testing.T) {
	t.Parallel()
	const connections, headerTimeout, pause = 20, 3 * time.Second, 4 * time.Second
	ctx, cluster := startCluster(t, "--callers-header-timeout", headerTimeout.String())
	daemon := cluster.Alive()[0]
	body, err := json.Marshal(searchQuery(1))
	if err != nil {
		t.Fatal(err)
	}
	start := "POST /v1/query HTTP/1.1\r\nHost: doorpond\r\n"
	rest := fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	var opened []net.Conn
	for range connections {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", daemon.Addresses.Callers)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := conn.Write([]byte(start)); err != nil {
			t.Fatal(err)
		}
		opened = append(opened, conn)
	}
	sleep(ctx, headerTimeout/10) // the daemon accepts the connections
	if err := daemon.Freeze(); err != nil {
		t.Fatal(err)
	}
	sleep(ctx, pause)
	if err := daemon.Resume(); err != nil {
		t.Fatal(err)
	}
	sleep(ctx, headerTimeout/10) // the daemon's timers expire
	for _, conn := range opened {
		if _, err := conn.Write([]byte(rest)); err != nil {
			t.Error(err)
		}
	}
	for _, conn := range opened {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Error("no response: ", err)
			continue
		}
		response.Body.Close()
	}
}

// TestPausedDaemonConfirmsTableBeforeAnswering guards against refusing queries after a pause
// although they have time for the daemon to confirm its policy table.
func TestPausedDaemonConfirmsTableBeforeAnswering(t *testing.T) {
	t.Parallel()
	const queries, pause = 20, 3 * time.Second
	ctx, cluster := startCluster(t)
	setQueryTimeout(ctx, t, cluster, time.Minute)
	daemon := cluster.Alive()[0]
	if err := daemon.Freeze(); err != nil {
		t.Fatal(err)
	}
	results := startQueries(ctx, daemon, queries)
	sleep(ctx, pause)
	if err := daemon.Resume(); err != nil {
		t.Fatal(err)
	}
	for range queries {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// TestPauseDuringConfirmation guards against refusing queries that wait for the policy table to be
// confirmed, with time to spare, as the daemon is paused again before it gets an answer.
func TestPauseDuringConfirmation(t *testing.T) {
	t.Parallel()
	const (
		queries      = 20
		queryTimeout = 8 * time.Second
		firstPause   = 2 * time.Second
		secondPause  = 3 * time.Second // longer than a query may wait
		// confirming is how long the daemon runs between the pauses.
		confirming = 300 * time.Millisecond
	)
	ctx, cluster := startCluster(t)
	setQueryTimeout(ctx, t, cluster, queryTimeout)
	daemon, peers := cluster.Alive()[0], cluster.Alive()[1:]
	if err := daemon.Freeze(); err != nil {
		t.Fatal(err)
	}
	results := startQueries(ctx, daemon, queries)
	sleep(ctx, firstPause)
	freezeAll(t, peers) // they do not answer until the daemon is paused again
	if err := daemon.Resume(); err != nil {
		t.Fatal(err)
	}
	sleep(ctx, confirming)
	if err := daemon.Freeze(); err != nil {
		t.Fatal(err)
	}
	resumeAll(t, peers)
	sleep(ctx, secondPause)
	if err := daemon.Resume(); err != nil {
		t.Fatal(err)
	}
	for range queries {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// TestPausedDaemonsDoNotConfirmEachOther guards against answering queries by a policy table that was
// replaced during a pause, as a peer that was paused as well has confirmed it.
func TestPausedDaemonsDoNotConfirmEachOther(t *testing.T) {
	t.Parallel()
	const rounds, pause = 4, 2 * time.Second
	ctx, cluster := startCluster(t)
	setQueryTimeout(ctx, t, cluster, time.Minute)
	if err := cluster.Platform.Store.SetFaults(kv.Faults{FreezeWatches: true}); err != nil {
		t.Fatal(err) // daemons learn of changes from each other only
	}
	paused, running := cluster.Alive()[1:], cluster.Alive()[0]
	for round := range rounds {
		freezeAll(t, paused)
		sleep(ctx, pause)
		revision := editPolicy(ctx, t, cluster, time.Minute+time.Duration(round+1)*time.Second)
		freezeAll(t, []*Process{running}) // only the paused daemons and the store can be asked
		resumeAll(t, paused)
		for _, daemon := range paused {
			answer, err := client.New(daemon.callersURL(), http.DefaultClient).Query(ctx, searchQuery(1))
			if err != nil || answer.TableRevision < revision {
				t.Errorf("answered by revision %d, error %v, want revision %d", answer.TableRevision, err, revision)
			}
		}
		resumeAll(t, []*Process{running})
		if err := cluster.awaitServing(ctx, revision); err != nil {
			t.Fatal(err)
		}
	}
}

// startQueries sends queries to a daemon at the same time, each on a connection of its own, and
// returns the channel of their results.
func startQueries(ctx context.Context, daemon *Process, count int) <-chan error {
	results := make(chan error, count)
	for number := range count {
		go func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			_, err := client.New(daemon.callersURL(), &http.Client{Transport: transport}).Query(ctx, searchQuery(number))
			results <- err
		}()
	}
	return results
}

// setQueryTimeout sets the timeout of the policy of the callers.
func setQueryTimeout(ctx context.Context, t *testing.T, cluster *Cluster, timeout time.Duration) {
	t.Helper()
	if err := cluster.awaitServing(ctx, editPolicy(ctx, t, cluster, timeout)); err != nil {
		t.Fatal(err)
	}
}

// editPolicy sets the timeout of the policy of the callers at the first daemon, and returns the
// revision of the table.
func editPolicy(ctx context.Context, t *testing.T, cluster *Cluster, timeout time.Duration) uint64 {
	t.Helper()
	row := policy.DefaultRow(policyName)
	row.Wait.Timeout = policy.Duration(timeout)
	result, err := cluster.AdminClient(0).Edit(ctx, policytable.Edit{Author: author, SetPolicies: []policy.Row{row}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return result.Change.Revision
}

func freezeAll(t *testing.T, daemons []*Process) {
	t.Helper()
	for _, daemon := range daemons {
		if err := daemon.Freeze(); err != nil {
			t.Fatal(err)
		}
	}
}

func resumeAll(t *testing.T, daemons []*Process) {
	t.Helper()
	for _, daemon := range daemons {
		if err := daemon.Resume(); err != nil {
			t.Fatal(err)
		}
	}
}
