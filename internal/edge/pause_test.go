package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/edge"
	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/platform/standin"
)

// pauseProcess suspends this process with SIGSTOP: nodes, store, replicas and callers pause
// together, as on a machine that is suspended or overloaded.
func pauseProcess(t *testing.T, duration time.Duration) {
	t.Helper()
	script := `kill -STOP "$0" && sleep "$1"; kill -CONT "$0"`
	seconds := strconv.FormatFloat(duration.Seconds(), 'f', 3, 64)
	if err := exec.Command("sh", "-c", script, strconv.Itoa(os.Getpid()), seconds).Run(); err != nil {
		t.Error(err)
	}
}

// A node that is suspended while it shuts down must still write the answers of pending requests
// before it closes their connections.
func TestShutdownAnswersPendingRequestsAfterPause(t *testing.T) {
	const (
		grace   = 3 * time.Second
		callers = 24
	)
	for _, pausedAfter := range []time.Duration{2300 * time.Millisecond, 2500 * time.Millisecond, 2600 * time.Millisecond} {
		t.Run(pausedAfter.String(), func(t *testing.T) {
			shape := standin.Options{Zones: zones, Shards: shards, ProcessingTime: work, Timeout: 4 * grace}
			s := startShape(t, shape, func(*standin.Deployment) {}, func(settings *edge.Settings) { settings.Bounds.Grace = grace })
			for _, replica := range s.Replicas {
				replica.Pause()
			}
			errs := s.sendAll(callers, 4*grace)
			s.eventually("requests have arrived", func() bool {
				return slices.ContainsFunc(s.Replicas, func(r *standin.Replica) bool { return r.InFlight() > 0 })
			})
			time.AfterFunc(pausedAfter, func() { pauseProcess(t, 700*time.Millisecond) })
			if err := s.nodes[0].Stop(); err != nil {
				t.Error(err)
			}
			for err := range errs {
				t.Error(err)
			}
		})
	}
}

// sendAll sends requests to the first node in parallel, each on its own connection. It delivers
// the errors of requests without a response, and closes the channel when all have finished.
func (s *system) sendAll(callers int, wait time.Duration) <-chan error {
	errs := make(chan error, callers)
	var sending sync.WaitGroup
	for number := range callers {
		caller := &standin.Client{HTTP: &http.Client{Transport: &http.Transport{}}, Method: http.MethodPost}
		caller.Pin(s.nodes[0].Addresses().Callers)
		path := []string{standin.ScatteredPath, standin.PlainPath, standin.NonIdempotentPath}[number%3]
		sending.Go(func() {
			if _, err := caller.Send(context.Background(), fmt.Sprint("p", number), path, wait); err != nil {
				errs <- err
			}
		})
	}
	go func() {
		sending.Wait()
		close(errs)
	}()
	return errs
}

// With frozen watches, a node learns of a configuration by polling, which takes most of the Apply
// bound. After a pause it must poll the store before it answers, and must not refuse the request.
func TestConfigurationInForceAfterPause(t *testing.T) {
	const (
		apply = 3 * time.Second
		pause = 1400 * time.Millisecond
	)
	for _, pausedAfter := range []time.Duration{900 * time.Millisecond, 1200 * time.Millisecond, apply - pause - 20*time.Millisecond, 2 * time.Second} {
		t.Run(pausedAfter.String(), func(t *testing.T) {
			s := startSystem(t, nil)
			if err := s.Store.SetFaults(kv.Faults{FreezeWatches: true}); err != nil {
				t.Fatal(err)
			}
			if err := s.Configure(shards - 1); err != nil {
				t.Fatal(err)
			}
			inForce := time.Now().Add(apply)
			time.Sleep(pausedAfter)
			pauseProcess(t, pause)
			time.Sleep(time.Until(inForce))
			for range 20 {
				id, response, err := s.send(standin.ScatteredPath)
				if err != nil || len(response.Parts) != shards-1 {
					t.Fatalf("request %s: status %d, %d parts, error %v", id, response.Status, len(response.Parts), err)
				}
			}
		})
	}
}

// A process that is paused again while requests wait for the store's answer must handle them with
// what the answer says: the answer and the timeout of the call are due at once when it resumes.
func TestConfigurationInForceAfterPauseDuringCheck(t *testing.T) {
	const (
		apply        = 3 * time.Second
		storeLatency = 100 * time.Millisecond
		requests     = 8
	)
	for _, again := range []time.Duration{400 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(again.String(), func(t *testing.T) {
			s := startSystem(t, nil)
			if err := s.Store.SetFaults(kv.Faults{FreezeWatches: true, LatencyMilliseconds: storeLatency.Milliseconds()}); err != nil {
				t.Fatal(err)
			}
			if err := s.Configure(shards - 1); err != nil {
				t.Fatal(err)
			}
			pauseProcess(t, apply)
			var sending sync.WaitGroup
			for range requests {
				sending.Go(func() {
					id, response, err := s.send(standin.ScatteredPath)
					if err != nil || len(response.Parts) != shards-1 {
						t.Errorf("request %s: status %d, %d parts, error %v", id, response.Status, len(response.Parts), err)
					}
				})
			}
			time.Sleep(storeLatency / 3)
			pauseProcess(t, again)
			sending.Wait()
		})
	}
}

// A node whose process was paused while it watched another node must not suspect that node, whose
// answer lies ready: the directory would leave it out for seconds.
func TestRelayNotSuspectedAfterPause(t *testing.T) {
	s := startSystem(t, nil)
	directory := s.caller.Directories[1] // of the node that watches the zone's other one
	resolved := func() int {
		client := &standin.Client{Directories: []string{directory}, Region: "region-a", Zone: "a", HTTP: s.caller.HTTP}
		addresses, err := client.Resolve(t.Context())
		if err != nil {
			t.Error(err)
		}
		return len(addresses)
	}
	time.Sleep(2 * time.Second) // until the node watches the other one
	for _, lasting := range []time.Duration{2 * time.Second, 3 * time.Second, 1700 * time.Millisecond} {
		pauseProcess(t, lasting)
		for began := time.Now(); time.Since(began) < time.Second; time.Sleep(20 * time.Millisecond) {
			if got := resolved(); got != 2 {
				t.Fatalf("%d addresses %v after a pause of %v, want 2", got, time.Since(began), lasting)
			}
		}
	}
}
