package daemon

import (
	"context"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/settings"
	"github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/internal/standin/platform"
)

const operationDuration = 500 * time.Millisecond

// slowRefundService slows down the refund service and returns its replicas.
func slowRefundService(running *platform.Platform) []*backend.Replica {
	var replicas []*backend.Replica
	for _, server := range running.Backends() {
		if server.Replica.Options().Group == platform.RefundService {
			server.Replica.SetTiming(backend.Timing{Base: operationDuration})
			replicas = append(replicas, server.Replica)
		}
	}
	return replicas
}

// forward forwards an operation to a daemon as a peer does.
func forward(ctx context.Context, peers *peer.Client, daemon *Daemon, key string) error {
	const timeout = 20 * time.Second
	_, err := peers.Forward(ctx, daemon.Addresses().Peers, peer.ForwardRequest{
		Group: platform.RefundService, TimeoutMilliseconds: timeout.Milliseconds(),
		Call: &backendapi.CallRequest{
			Key: key, Operation: "credit", TimeoutMilliseconds: timeout.Milliseconds(),
			NotAfterUnixMilliseconds: time.Now().Add(timeout).UnixMilli(),
		},
	})
	return err
}

func TestShutdownCompletesForwardedCalls(t *testing.T) {
	t.Parallel()
	const before, during = 16, 40
	running := startPlatform(t)
	replicas := slowRefundService(running)
	daemon, shutdown := startDaemon(t, running, nil, unchanged)
	peers := peer.NewClient(peer.ClientOptions{})
	defer peers.Close()
	var inFlight errgroup.Group
	for i := range before {
		inFlight.Go(func() error { return forward(t.Context(), peers, daemon, "before-"+strconv.Itoa(i)) })
	}
	eventually(t, "operations are running", func() bool { return len(running.Executions()) == before })
	var late errgroup.Group
	late.Go(func() error { return forwardDuringShutdown(t, peers, daemon, running, during) })
	shutdown()
	if err := inFlight.Wait(); err != nil {
		t.Errorf("forwarded operation failed: %v", err)
	}
	if err := late.Wait(); err != nil {
		t.Error(err)
	}
	for _, replica := range replicas {
		for key, count := range replica.Executions() {
			if count > 1 {
				t.Errorf("%s ran %d times", key, count)
			}
		}
	}
}

// forwardDuringShutdown forwards operations while the daemon shuts down. Each must succeed,
// or fail as not run without having run.
func forwardDuringShutdown(t *testing.T, peers *peer.Client, daemon *Daemon, running *platform.Platform, count int) error {
	var group errgroup.Group
	for i := range count {
		key := "during-" + strconv.Itoa(i)
		group.Go(func() error {
			err := forward(t.Context(), peers, daemon, key)
			if err == nil {
				return nil
			}
			if known := failure.From(err); !known.NotRun || running.Executions()[key] > 0 {
				return err
			}
			return nil
		})
		time.Sleep(operationDuration / 50)
	}
	return group.Wait()
}

// TestShutdownWithSilentStore guards against timeouts of store requests that never expire because
// the meter that they use has stopped first.
func TestShutdownWithSilentStore(t *testing.T) {
	t.Parallel()
	// The request to the store outlasts the drain.
	const storeTimeout, stopTimeout = 3 * time.Second, time.Second
	running := startPlatform(t)
	daemon, shutdown := startDaemon(t, running, nil, func(config *settings.Settings) {
		config.Store.Timeout, config.Stop.Timeout = storeTimeout, stopTimeout
	})
	if err := running.Store.SetFaults(kv.Faults{LatencyMilliseconds: time.Hour.Milliseconds()}); err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := client.New("http://"+daemon.Addresses().Callers, nil).Call(t.Context(), client.Call{
			Group: "gate", Key: "silent", Service: platform.RefundService, Operation: "credit",
		})
		result <- err
	}()
	eventually(t, "the store has received the request for a lease", func() bool {
		return running.Store.Counters()["/v3/lease/grant"].Requests > 0
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		shutdown()
	}()
	select {
	case <-stopped:
	case <-time.After(time.Minute):
		t.Fatal("daemon has not stopped within a minute")
	}
	if err := <-result; err == nil {
		t.Error("call ran without a claim")
	}
}
