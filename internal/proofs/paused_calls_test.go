package proofs

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/internal/standin/platform"
)

// TestPausedDaemonReadsStoreResponses guards against refusing calls because the daemon was paused
// for longer than the store timeout while the store responded.
func TestPausedDaemonReadsStoreResponses(t *testing.T) {
	t.Parallel()
	const (
		calls = 20
		// pause is longer than the default store timeout of 2 s, storeLatency shorter.
		pause        = 3 * time.Second
		storeLatency = time.Second
		deadline     = time.Minute
	)
	cases := []struct {
		name string
		// hasLease is set if the daemon needs no lease for its claims.
		hasLease bool
	}{
		{"granting a lease", false},
		{"claiming", true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cluster := startCluster(t)
			daemon := cluster.Alive()[0]
			send := func(key string) error {
				transport := &http.Transport{}
				defer transport.CloseIdleConnections()
				_, err := client.New(daemon.callersURL(), &http.Client{Transport: transport}).Call(ctx, client.Call{
					Group: callerGroup, Service: platform.RefundService, Operation: "credit", Key: key,
					DeadlineMilliseconds: deadline.Milliseconds(),
				})
				return err
			}
			if test.hasLease {
				if err := send("first"); err != nil {
					t.Fatal(err)
				}
			}
			if err := cluster.Platform.Store.SetFaults(kv.Faults{LatencyMilliseconds: storeLatency.Milliseconds()}); err != nil {
				t.Fatal(err)
			}
			results := make(chan error, calls)
			for number := range calls {
				go func() { results <- send(fmt.Sprint("key-", number)) }()
			}
			sleep(ctx, storeLatency/2) // the daemon sends the first request
			if err := daemon.Freeze(); err != nil {
				t.Fatal(err)
			}
			sleep(ctx, pause)
			if err := cluster.Platform.Store.SetFaults(kv.Faults{}); err != nil {
				t.Fatal(err)
			}
			if err := daemon.Resume(); err != nil {
				t.Fatal(err)
			}
			for range calls {
				if err := <-results; err != nil {
					t.Error(err)
				}
			}
			executions, err := cluster.replicas.executions(ctx)
			if err != nil {
				t.Fatal(err)
			}
			for key, count := range executions {
				if count > 1 {
					t.Errorf("call %s ran %d times", key, count)
				}
			}
		})
	}
}
