package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/edge"
	"github.com/doorpond/doorpond/platform/standin"
)

// TestAPlannedStopAnswersWhatItCannotWaitFor: a request whose replicas hold it for longer
// than the grace time has an answer before the node ends.
func TestAPlannedStopAnswersWhatItCannotWaitFor(t *testing.T) {
	for _, path := range []string{standin.ScatteredPath, standin.PlainPath, standin.OncePath} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel() // they wait for most of the grace time
			testStopAnswers(t, path)
		})
	}
}

// stopGrace leaves over a second between the answers of a stop and its end, so that a
// machine that runs the node late cuts none of them off.
const stopGrace = 10 * time.Second

func testStopAnswers(t *testing.T, path string) {
	shape := standin.Shape{Zones: zones, Shards: shards, Work: work, Timeout: 4 * stopGrace}
	s := startShape(t, shape, func(*standin.Deployment) {}, func(settings *edge.Settings) { settings.Bounds.Grace = stopGrace })
	for _, replica := range s.Replicas {
		replica.Pause()
	}
	node := s.nodes[0]
	caller := &standin.Client{HTTP: &http.Client{}, Method: http.MethodPost}
	caller.StayWith(node.Addresses().Callers)
	ended, answeredAt := make(chan error, 1), time.Time{}
	go func() {
		response, err := caller.Send(context.Background(), "r"+path, path, 4*stopGrace)
		answeredAt = time.Now()
		if err == nil && response.Status != http.StatusGatewayTimeout {
			err = fmt.Errorf("status %d", response.Status)
		}
		ended <- err
	}()
	s.eventually("the request has arrived", func() bool {
		return slices.ContainsFunc(s.Replicas, func(r *standin.Replica) bool { return r.Working() > 0 })
	})
	began := time.Now()
	if err := node.Stop(); err != nil {
		t.Error(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took := answeredAt.Sub(began); took < stopGrace/2 {
		t.Errorf("answered %v after the stop began, not at its end", took)
	}
}

// TestAPlannedStopCutsNothingOff: callers go on while a node of their zone is
// stopped; it is not ready and not named at once.
func TestAPlannedStopCutsNothingOff(t *testing.T) {
	s := startSystem(t, nil)
	var sending sync.WaitGroup
	over := make(chan struct{})
	var answered, failed atomic.Int64
	for range 4 {
		caller := &standin.Client{
			Region: "region-a", Zone: "a", Directories: s.caller.Directories, HTTP: &http.Client{Transport: &http.Transport{}},
		}
		sending.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				default:
				}
				id := fmt.Sprint("s", s.serial.Add(1))
				response, err := caller.Send(context.Background(), id, standin.ScatteredPath, 4*time.Second)
				if err != nil || response.Status != http.StatusOK {
					failed.Add(1)
					t.Errorf("status %d, error %v", response.Status, err)
					return
				}
				answered.Add(1)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- s.nodes[0].Stop() }()
	s.eventually("the stopping node is not ready", func() bool {
		return s.get(s.nodes[0].Addresses().Readiness, standin.ReadyPath) != http.StatusOK
	})
	s.eventually("the stopping node is not named", func() bool {
		fresh := &standin.Client{Region: "region-a", Zone: "a", Directories: s.caller.Directories[1:], HTTP: s.caller.HTTP}
		addresses, err := fresh.Resolve(t.Context())
		return err == nil && len(addresses) == 1
	})
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	time.Sleep(200 * time.Millisecond)
	close(over)
	sending.Wait()
	if answered.Load() < 50 {
		t.Errorf("%d answered, %d failed", answered.Load(), failed.Load())
	}
}
