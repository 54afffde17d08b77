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

// A request that its replicas hold for longer than the grace period must be answered before the
// node exits.
func TestShutdownAnswersPendingRequests(t *testing.T) {
	for _, path := range []string{standin.ScatteredPath, standin.PlainPath, standin.NonIdempotentPath} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel() // each waits for most of the grace period
			testShutdownAnswers(t, path)
		})
	}
}

// gracePeriod leaves over a second between the last answers and the exit, enough for a busy machine.
const gracePeriod = 10 * time.Second

func testShutdownAnswers(t *testing.T, path string) {
	shape := standin.Options{Zones: zones, Shards: shards, ProcessingTime: work, Timeout: 4 * gracePeriod}
	s := startShape(t, shape, func(*standin.Deployment) {}, func(settings *edge.Settings) { settings.Bounds.Grace = gracePeriod })
	for _, replica := range s.Replicas {
		replica.Pause()
	}
	node := s.nodes[0]
	caller := &standin.Client{HTTP: &http.Client{}, Method: http.MethodPost}
	caller.Pin(node.Addresses().Callers)
	errs, answeredAt := make(chan error, 1), time.Time{}
	go func() {
		response, err := caller.Send(context.Background(), "r"+path, path, 4*gracePeriod)
		answeredAt = time.Now()
		if err == nil && response.Status != http.StatusGatewayTimeout {
			err = fmt.Errorf("status %d", response.Status)
		}
		errs <- err
	}()
	s.eventually("the request has arrived at a replica", func() bool {
		return slices.ContainsFunc(s.Replicas, func(r *standin.Replica) bool { return r.InFlight() > 0 })
	})
	began := time.Now()
	if err := node.Stop(); err != nil {
		t.Error(err)
	}
	if err := <-errs; err != nil {
		t.Error(err)
	}
	if took := answeredAt.Sub(began); took < gracePeriod/2 {
		t.Errorf("answered %v after the shutdown began, not at its end", took)
	}
}

// Callers must notice no errors while a node of their zone shuts down, and the node must leave
// the directory at once.
func TestShutdownWithoutErrors(t *testing.T) {
	s := startSystem(t, nil)
	var sending sync.WaitGroup
	done := make(chan struct{})
	var answered, failed atomic.Int64
	for range 4 {
		caller := &standin.Client{
			Region: "region-a", Zone: "a", Directories: s.caller.Directories, HTTP: &http.Client{Transport: &http.Transport{}},
		}
		sending.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
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
	s.eventually("the stopping node is unready", func() bool {
		return s.get(s.nodes[0].Addresses().Readiness, standin.ReadyPath) != http.StatusOK
	})
	s.eventually("the stopping node is not in the directory", func() bool {
		fresh := &standin.Client{Region: "region-a", Zone: "a", Directories: s.caller.Directories[1:], HTTP: s.caller.HTTP}
		addresses, err := fresh.Resolve(t.Context())
		return err == nil && len(addresses) == 1
	})
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	time.Sleep(200 * time.Millisecond)
	close(done)
	sending.Wait()
	if answered.Load() < 50 {
		t.Errorf("%d answered, %d failed", answered.Load(), failed.Load())
	}
}
