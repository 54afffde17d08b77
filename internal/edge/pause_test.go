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

// pauseProcess stops this process for some time, from outside: nodes, store, replicas and
// callers stand still together, as they do on a machine that is suspended or overloaded.
func pauseProcess(t *testing.T, lasting time.Duration) {
	t.Helper()
	script := `kill -STOP "$0" && sleep "$1"; kill -CONT "$0"`
	seconds := strconv.FormatFloat(lasting.Seconds(), 'f', 3, 64)
	if err := exec.Command("sh", "-c", script, strconv.Itoa(os.Getpid()), seconds).Run(); err != nil {
		t.Error(err)
	}
}

// TestAPauseAtTheEndOfAStopCutsNothingOff: a node that stops answers what it cannot wait for
// and ends its connections a little later. A process that stood still over both moments did
// both at once, and callers saw their connection end (EOF) in place of the answer: with marks
// at 0.87 and 0.94 of the grace time, 2 of 17 plays of the listed test with a pause of 1 s.
// The end has to follow the answers, not a mark of the clock.
func TestAPauseAtTheEndOfAStopCutsNothingOff(t *testing.T) {
	const (
		grace   = 3 * time.Second
		callers = 24
	)
	for _, pausedAfter := range []time.Duration{2300 * time.Millisecond, 2500 * time.Millisecond, 2600 * time.Millisecond} {
		t.Run(pausedAfter.String(), func(t *testing.T) {
			shape := standin.Shape{Zones: zones, Shards: shards, Work: work, Timeout: 4 * grace}
			s := startShape(t, shape, func(*standin.Deployment) {}, func(settings *edge.Settings) { settings.Bounds.Grace = grace })
			for _, replica := range s.Replicas {
				replica.Pause()
			}
			ended := s.sendAll(callers, 4*grace)
			s.eventually("the requests have arrived", func() bool {
				return slices.ContainsFunc(s.Replicas, func(r *standin.Replica) bool { return r.Working() > 0 })
			})
			time.AfterFunc(pausedAfter, func() { pauseProcess(t, 700*time.Millisecond) })
			if err := s.nodes[0].Stop(); err != nil {
				t.Error(err)
			}
			for err := range ended {
				t.Error(err)
			}
		})
	}
}

// sendAll sends requests to the first node at once, from callers that each have a connection
// of their own, and hands over the errors of those that have no answer; the channel is closed
// when all have ended.
func (s *system) sendAll(callers int, wait time.Duration) <-chan error {
	ended := make(chan error, callers)
	var sending sync.WaitGroup
	for number := range callers {
		caller := &standin.Client{HTTP: &http.Client{Transport: &http.Transport{}}, Method: http.MethodPost}
		caller.StayWith(s.nodes[0].Addresses().Callers)
		path := []string{standin.ScatteredPath, standin.PlainPath, standin.OncePath}[number%3]
		sending.Go(func() {
			if _, err := caller.Send(context.Background(), fmt.Sprint("p", number), path, wait); err != nil {
				ended <- err
			}
		})
	}
	go func() {
		sending.Wait()
		close(ended)
	}()
	return ended
}

// TestAConfigurationIsInForceAfterAPause: the watches of the store tell nothing, so that a
// configuration is found out by asking, which takes up to 0.85 of the time to apply. A pause of
// which the process knew nothing came on top: beside the listed test, stopped for 1.4 s, requests
// were answered by a configuration replaced 3 s before they were sent (q1 has 4 parts), and where
// the pause was noticed they were refused. A node that cannot know whether it is in time has to
// ask before it answers, and the request can wait for that.
func TestAConfigurationIsInForceAfterAPause(t *testing.T) {
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
