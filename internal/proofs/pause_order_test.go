package proofs

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/certificates"
	"github.com/doorpond/doorpond/internal/certificates/certificatestest"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/standin/kv"
)

// startSingle starts a cluster of one daemon, which only the store can tell about changes.
func startSingle(t *testing.T, arguments ...string) (context.Context, *Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), *limit)
	t.Cleanup(cancel)
	cluster, err := Start(ctx, ClusterOptions{Programs: programs, Directory: t.TempDir(), Daemons: 1, Arguments: arguments})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cluster.Close() })
	diagnoseFailure(t, cluster)
	return ctx, cluster
}

// checkPausedConfirmation pauses a daemon, holds the confirmation of its table back, lets queries
// wait for it, and pauses the daemon again. The store replies from the end of that pause.
func checkPausedConfirmation(t *testing.T, timeout, pause time.Duration) {
	const queries, firstPause, settleTime = 5, 2 * time.Second, 300 * time.Millisecond
	ctx, cluster := startSingle(t)
	setQueryTimeout(ctx, t, cluster, timeout)
	daemon := cluster.Alive()[0]
	setFaults := func(faults kv.Faults) {
		if err := cluster.Platform.Store.SetFaults(faults); err != nil {
			t.Error(err)
		}
	}
	setFaults(kv.Faults{LatencyMilliseconds: time.Minute.Milliseconds()})
	freezeFor(ctx, t, daemon, firstPause, func() {})
	results := startQueries(ctx, daemon, queries)
	sleep(ctx, settleTime) // the queries wait
	freezeFor(ctx, t, daemon, pause, func() { setFaults(kv.Faults{}) })
	for range queries {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// TestPausedAgainWhileConfirming guards against refusing queries because their daemon was paused
// again, for less than they may wait, while a confirmation of its table was under way.
func TestPausedAgainWhileConfirming(t *testing.T) {
	t.Parallel()
	checkPausedConfirmation(t, time.Minute, 3*time.Second)
}

// TestPausedBeyondWaitWhileConfirming guards against refusing queries because their daemon was
// paused again, for longer than they may wait, while a confirmation of its table was under way.
func TestPausedBeyondWaitWhileConfirming(t *testing.T) {
	t.Parallel()
	checkPausedConfirmation(t, 8*time.Second, 3*time.Second)
}

// TestPausedDaemonReadsBodies guards against rejecting requests because the daemon was paused for
// longer than its body timeout before it had read their header.
func TestPausedDaemonReadsBodies(t *testing.T) {
	t.Parallel()
	const connections, timeout, pause = 10, 3 * time.Second, 4 * time.Second
	ctx, cluster := startCluster(t, "--callers-header-timeout", timeout.String(), "--callers-body-timeout", timeout.String())
	daemon := cluster.Alive()[0]
	body, err := json.Marshal(searchQuery(1))
	if err != nil {
		t.Fatal(err)
	}
	parts := []string{
		"POST /v1/query HTTP/1.1\r\nHost: doorpond\r\n",
		fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body)),
		string(body),
	}
	var opened []net.Conn
	for range connections {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", daemon.Addresses.Callers)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		opened = append(opened, conn)
	}
	for i, part := range parts {
		for _, conn := range opened {
			if _, err := io.WriteString(conn, part); err != nil {
				t.Fatal(err)
			}
		}
		sleep(ctx, timeout/10) // the daemon reads the part
		if i == 0 {
			freezeFor(ctx, t, daemon, pause, func() {})
		}
	}
	for _, conn := range opened {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Error("no response: ", err)
			continue
		}
		content, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("status %d: %s", response.StatusCode, content)
		}
	}
}

// issueFiles issues TLS files.
func issueFiles(t *testing.T, authority *certificatestest.Authority) certificates.Files {
	t.Helper()
	files, err := authority.Write(t.TempDir(), net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// dialHTTP2 opens a connection of HTTP/2 and sends the preface.
func dialHTTP2(ctx context.Context, t *testing.T, address string, files certificates.Files) net.Conn {
	t.Helper()
	source, err := certificates.NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := certificates.DialTLS(source.ClientConfig(), (&net.Dialer{}).DialContext, "h2")(ctx, "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return conn
}

// The frames of HTTP/2 that the tests need.
var (
	http2Settings  = []byte{0, 0, 0, 4, 0, 0, 0, 0, 0}
	http2Ping      = []byte{0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8}
	http2PingReply = []byte{0, 0, 8, 6, 1}
)

// awaitPingReply reads frames.
func awaitPingReply(conn net.Conn) error {
	const headerLength, goAway = 9, 7
	reader, header := bufio.NewReader(conn), make([]byte, headerLength)
	for {
		if _, err := io.ReadFull(reader, header); err != nil {
			return err
		}
		if slices.Equal(header[:len(http2PingReply)], http2PingReply) {
			return nil
		}
		if header[3] == goAway {
			return errors.New("the daemon says goodbye")
		}
		if _, err := reader.Discard(int(header[0])<<16 | int(header[1])<<8 | int(header[2])); err != nil {
			return err
		}
	}
}

// TestPausedDaemonKeepsHTTP2Connections guards against closing new connections of HTTP/2 because
// the daemon was paused for longer than net/http waits for their settings.
func TestPausedDaemonKeepsHTTP2Connections(t *testing.T) {
	t.Parallel()
	const connections, pause, settleTime = 20, 3 * time.Second, 300 * time.Millisecond
	cases := []struct {
		name         string
		duringPause  bool
		settingsWait time.Duration
	}{
		{"settings sent during the pause", true, 0},
		{"settings sent after the pause", false, settleTime},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			authority, err := certificatestest.New()
			if err != nil {
				t.Fatal(err)
			}
			files := issueFiles(t, authority)
			ctx, cluster := startSingle(t, "--callers-tls-certificate", files.Certificate, "--callers-tls-key", files.Key, "--callers-tls-authority", files.Authority)
			daemon := cluster.Alive()[0]
			var opened []net.Conn
			for range connections {
				opened = append(opened, dialHTTP2(ctx, t, daemon.Addresses.Callers, issueFiles(t, authority)))
			}
			sendSettings := func() {
				for _, conn := range opened {
					if _, err := conn.Write(append(http2Settings[:len(http2Settings):len(http2Settings)], http2Ping...)); err != nil {
						t.Error(err)
					}
				}
			}
			sleep(ctx, settleTime) // the daemon reads the prefaces
			freezeFor(ctx, t, daemon, pause, func() {
				if test.duringPause {
					sendSettings()
				}
			})
			if !test.duringPause {
				sleep(ctx, test.settingsWait)
				sendSettings()
			}
			for _, conn := range opened {
				if err := awaitPingReply(conn); err != nil {
					t.Error("connection lost: ", err)
				}
			}
		})
	}
}

// checkPausedEdit changes the table while its daemon is paused repeatedly. Each request to the store
// takes less than the time between two pauses.
func checkPausedEdit(t *testing.T, pause time.Duration, pauses int) {
	const latency, between = 50 * time.Millisecond, 200 * time.Millisecond
	ctx, cluster := startSingle(t)
	if err := cluster.Platform.Store.SetFaults(kv.Faults{LatencyMilliseconds: latency.Milliseconds()}); err != nil {
		t.Fatal(err)
	}
	daemon := cluster.Alive()[0]
	result := make(chan error, 1)
	go func() {
		row := policy.DefaultRow(policyName)
		row.Wait.Timeout = policy.Duration(time.Minute)
		_, err := cluster.AdminClient(0).Edit(ctx, policytable.Edit{Author: author, SetPolicies: []policy.Row{row}}, 0)
		result <- err
	}()
	sleep(ctx, latency/2)
	for range pauses {
		freezeFor(ctx, t, daemon, pause, func() {})
		sleep(ctx, between)
	}
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// TestPausedDaemonCompletesEdit guards against failing an operator's change because the daemon was
// paused for longer than its store may take.
func TestPausedDaemonCompletesEdit(t *testing.T) {
	t.Parallel()
	for _, pauses := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d pauses", pauses), func(t *testing.T) {
			t.Parallel()
			checkPausedEdit(t, 5500*time.Millisecond, pauses)
		})
	}
}

// TestPausedBeyondChangeTimeout guards against failing an operator's change because the daemon was
// paused for longer than a change may take.
func TestPausedBeyondChangeTimeout(t *testing.T) {
	t.Parallel()
	checkPausedEdit(t, 16*time.Second, 1)
}

// TestDaemonPausedInGrace guards against closing the listener at once after a pause within the grace
// period of a shutdown: callers that still know the daemon are refused.
func TestDaemonPausedInGrace(t *testing.T) {
	t.Parallel()
	const grace, pause = 3 * time.Second, 4 * time.Second
	ctx, cluster := startCluster(t, "--stop-grace", grace.String())
	daemon := cluster.Alive()[0]
	if err := daemon.Stop(); err != nil {
		t.Fatal(err)
	}
	sleep(ctx, 500*time.Millisecond)
	freezeFor(ctx, t, daemon, pause, func() {})
	sleep(ctx, 300*time.Millisecond) // 0.8 s of the grace period have passed
	if err := <-startQueries(ctx, daemon, 1); err != nil {
		t.Errorf("0.8 s of active time into a grace period of %v: %v", grace, err)
	}
}
