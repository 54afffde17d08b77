package daemon

import (
	"context"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/standin/platform"
)

const operationTime = 500 * time.Millisecond

// slowService makes the refund service slow, and returns its replicas.
func slowService(running *platform.Platform) []*backend.Replica {
	var replicas []*backend.Replica
	for _, server := range running.Backends() {
		if server.Replica.Options().Group == platform.RefundService {
			server.Replica.SetTiming(backend.Timing{Base: operationTime})
			replicas = append(replicas, server.Replica)
		}
	}
	return replicas
}

// forward asks a daemon, as a peer does, to run an operation.
func forward(ctx context.Context, through *peer.Client, to *Daemon, key string) error {
	const timeout = 20 * time.Second
	_, err := through.Forward(ctx, to.Addresses().Peers, peer.ForwardRequest{
		Group: platform.RefundService, TimeoutMilliseconds: timeout.Milliseconds(),
		Call: &backendapi.CallRequest{
			Key: key, Operation: "credit", TimeoutMilliseconds: timeout.Milliseconds(),
			NotAfterUnixMilliseconds: time.Now().Add(timeout).UnixMilli(),
		},
	})
	return err
}

func TestPlannedStopFinishesWhatPeersForwarded(t *testing.T) {
	t.Parallel()
	const before, during = 16, 40
	running := startPlatform(t)
	replicas := slowService(running)
	stopping, stop := startDaemon(t, running, nil, unchanged)
	through := peer.NewClient(peer.ClientOptions{})
	defer through.Close()
	var inFlight errgroup.Group
	for number := range before {
		inFlight.Go(func() error { return forward(t.Context(), through, stopping, "before-"+strconv.Itoa(number)) })
	}
	eventually(t, "the operations run", func() bool { return len(running.Executions()) == before })
	var late errgroup.Group
	late.Go(func() error { return forwardUntilStopped(t, through, stopping, running, during) })
	stop()
	if err := inFlight.Wait(); err != nil {
		t.Errorf("an operation that a peer had forwarded was cut off: %v", err)
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

// forwardUntilStopped keeps forwarding while the daemon stops: each operation
// is answered, or refused as not run and has not run.
func forwardUntilStopped(t *testing.T, through *peer.Client, to *Daemon, running *platform.Platform, number int) error {
	var group errgroup.Group
	for i := range number {
		key := "during-" + strconv.Itoa(i)
		group.Go(func() error {
			err := forward(t.Context(), through, to, key)
			if err == nil {
				return nil
			}
			if known := failure.From(err); !known.NotRun || running.Executions()[key] > 0 {
				return err
			}
			return nil
		})
		time.Sleep(operationTime / 50)
	}
	return group.Wait()
}
