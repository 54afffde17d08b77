package edge_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/edge"
	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/platform/standin"
)

const (
	shards = 4
	work   = 2 * time.Millisecond
)

var zones = []string{"a", "b"}

// system is a deployment with edge nodes and a caller.
type system struct {
	*standin.Deployment
	t      *testing.T
	nodes  []*standin.Node
	caller *standin.Client
	serial atomic.Int64
}

func startSystem(t *testing.T, change func(*edge.Settings)) *system {
	t.Helper()
	return startSystemWithHook(t, func(*standin.Deployment) {}, change)
}

// startSystemWithLongObjective starts a system whose routes have an objective long enough for complete
// answers on a busy machine.
func startSystemWithLongObjective(t *testing.T) *system {
	t.Helper()
	return startShape(t, standin.Options{Zones: zones, Shards: shards, ProcessingTime: work, Objective: 2 * time.Second}, func(*standin.Deployment) {}, nil)
}

// startSystemWithHook starts a system and calls started with the deployment before the nodes start.
func startSystemWithHook(t *testing.T, started func(*standin.Deployment), change func(*edge.Settings)) *system {
	t.Helper()
	return startShape(t, standin.Options{Zones: zones, Shards: shards, ProcessingTime: work}, started, change)
}

// startShape starts a system with a deployment of the given shape and three nodes in two zones.
func startShape(t *testing.T, shape standin.Options, started func(*standin.Deployment), change func(*edge.Settings)) *system {
	t.Helper()
	deployment, err := standin.Start(shape)
	if err != nil {
		t.Fatal(err)
	}
	started(deployment)
	made := &system{Deployment: deployment, t: t}
	t.Cleanup(deployment.Close)
	made.caller = &standin.Client{Region: "region-a", Zone: "a", HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	t.Cleanup(made.stop)
	made.startNodes(change)
	return made
}

// startNodes starts three nodes in two zones.
func (s *system) startNodes(change func(*edge.Settings)) {
	s.t.Helper()
	for i, zone := range []string{"a", "a", "b"} {
		settings := s.NodeSettings(fmt.Sprint("n", i), zone)
		if change != nil {
			change(&settings)
		}
		node, err := s.StartNode(settings, nil)
		if err != nil {
			s.t.Fatal(err)
		}
		s.nodes = append(s.nodes, node)
		s.caller.Directories = append(s.caller.Directories, node.Addresses().Directory)
	}
	s.eventually("all nodes are ready and listed", func() bool {
		for _, node := range s.nodes {
			if s.get(node.Addresses().Readiness, standin.ReadyPath) != http.StatusOK {
				return false
			}
		}
		addresses, err := s.caller.Resolve(s.t.Context())
		return err == nil && len(addresses) == 2
	})
}

// stop stops all nodes in parallel.
func (s *system) stop() {
	var stopping sync.WaitGroup
	for _, node := range s.nodes {
		stopping.Go(func() {
			if err := node.Stop(); err != nil {
				s.t.Error(err)
			}
		})
	}
	stopping.Wait()
}

// eventually waits until a condition holds. The limit is generous, so that it does not depend on
// the speed of the machine.
func (s *system) eventually(what string, holds func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *system) get(address, path string) int {
	response, err := s.caller.HTTP.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (s *system) send(path string) (string, standin.Response, error) {
	id := fmt.Sprint("q", s.serial.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	response, err := s.caller.Send(ctx, id, path+"x", 4*time.Second)
	return id, response, err
}

// sendComplete sends a scattered request that must be answered by all shards.
func (s *system) sendComplete() {
	s.t.Helper()
	id, response, err := s.send(standin.ScatteredPath)
	if err != nil || response.Status != http.StatusOK || response.Missing != 0 {
		s.t.Fatalf("status %d, %d shards missing, error %v", response.Status, response.Missing, err)
	}
	if err := standin.CheckScattered(id, shards, response); err != nil {
		s.t.Error(err)
	}
}

func TestForwarding(t *testing.T) {
	s := startSystemWithLongObjective(t)
	for range 20 {
		s.sendComplete()
	}
	id, response, err := s.send(standin.PlainPath)
	want := "answer of " + standin.PlainService + " to " + id
	if err != nil || string(response.Body) != want || response.Signature() != standin.PlainService+"."+id {
		t.Errorf("response %q %v, error %v", response.Body, response.Header, err)
	}
	if _, response, _ := s.send("/nowhere/"); response.Status != http.StatusNotFound {
		t.Errorf("status %d for a path without a route", response.Status)
	}
}

func TestMetricsEndpoint(t *testing.T) {
	s := startSystemWithLongObjective(t)
	s.sendComplete()
	found := ""
	for _, node := range s.nodes {
		response, err := http.Get("http://" + node.Addresses().Metrics + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		found += string(text)
	}
	for _, name := range []string{`doorpondd_queries_total{kind="answered"} 1`, "doorpondd_query_duration_seconds_bucket", `doorpondd_subrequests_total{outcome="success"}`} {
		if !strings.Contains(found, name) {
			t.Errorf("metrics lack %s", name)
		}
	}
}

// A hedge to the other zone replaces the answer of a paused replica.
func TestHedgeCoversPausedReplica(t *testing.T) {
	s := startSystem(t, nil)
	for range 30 {
		s.sendComplete() // establishes the latency baseline
	}
	s.ReplicasOf(standin.ShardService(1))[0].Pause()
	for range 5 {
		s.sendComplete()
	}
}

func TestFailedShardIsReportedMissing(t *testing.T) {
	s := startSystem(t, nil)
	for _, replica := range s.ReplicasOf(standin.ShardService(2)) {
		replica.AbortResponses(true)
	}
	id, response, err := s.send(standin.ScatteredPath)
	if err != nil || response.Status != http.StatusOK || response.Missing != 1 {
		t.Fatalf("status %d, %d shards missing, error %v", response.Status, response.Missing, err)
	}
	if err := standin.CheckScattered(id, shards, response); err != nil {
		t.Error(err)
	}
}

// Two of four shards are below the minimum coverage of 0.7. The error must not claim that the
// request did not run.
func TestTooFewShards(t *testing.T) {
	s := startSystem(t, nil)
	for _, shard := range []int{1, 2} {
		for _, replica := range s.ReplicasOf(standin.ShardService(shard)) {
			replica.AbortResponses(true)
		}
	}
	if _, response, err := s.send(standin.ScatteredPath); err != nil || response.Status != http.StatusBadGateway {
		t.Errorf("status %d, error %v", response.Status, err)
	}
}

// A non-repeatable request must be retried only after a refusal; if its replica breaks off, its
// outcome is unknown.
func TestNonRepeatableRequestRunsAtMostOnce(t *testing.T) {
	s := startSystemWithLongObjective(t)
	replicas := s.ReplicasOf(standin.PlainService)
	replicas[0].Refuse(true)
	for range 10 {
		id, response, err := s.send(standin.NonIdempotentPath)
		if err != nil || response.Status != http.StatusOK || replicas[1].Executions(id) != 1 {
			t.Errorf("status %d, ran %d times, error %v", response.Status, replicas[1].Executions(id), err)
		}
	}
	replicas[0].Refuse(false)
	for _, replica := range replicas {
		replica.AbortResponses(true)
	}
	for range 10 {
		id, response, err := s.send(standin.NonIdempotentPath)
		if ran := replicas[0].Executions(id) + replicas[1].Executions(id); err != nil || response.Status != http.StatusBadGateway || ran != 1 {
			t.Errorf("status %d, ran %d times, error %v", response.Status, ran, err)
		}
	}
	for _, replica := range replicas {
		replica.AbortResponses(false)
		replica.Refuse(true)
	}
	id, response, err := s.send(standin.NonIdempotentPath)
	if ran := replicas[0].Executions(id) + replicas[1].Executions(id); err != nil || response.Status != http.StatusServiceUnavailable ||
		response.Header.Get("Retry-After") == "" || ran != 0 {
		t.Errorf("status %d, header %v, ran %d times, error %v", response.Status, response.Header, ran, err)
	}
}

func TestLeavingReplicaReceivesNoRequests(t *testing.T) {
	for name, leave := range map[string]func(*standin.Replica) error{
		"draining": (*standin.Replica).Drain, "entry removed": (*standin.Replica).Deregister,
	} {
		t.Run(name, func(t *testing.T) {
			s := startSystemWithLongObjective(t)
			leaving := s.ReplicasOf(standin.ShardService(0))[0]
			s.sendComplete()
			if err := leave(leaving); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Second) // the Drain bound
			before := leaving.Arrivals()
			for range 20 {
				s.sendComplete()
			}
			if after := leaving.Arrivals(); after != before {
				t.Errorf("%d requests arrived after the drain time", after-before)
			}
		})
	}
}

func TestCallerCancellationReachesReplicas(t *testing.T) {
	s := startSystem(t, nil)
	replicas := s.ReplicasOf(standin.PlainService)
	for _, replica := range replicas {
		replica.Pause()
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for replicas[0].Arrivals()+replicas[1].Arrivals() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := s.caller.Send(ctx, "gone", standin.PlainPath, 4*time.Second)
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v", err)
	}
	s.eventually("no replica works on the request", func() bool { return replicas[0].InFlight()+replicas[1].InFlight() == 0 })
}

// Every node reports the state of the whole system to operators.
func TestSystemState(t *testing.T) {
	s := startSystemWithLongObjective(t)
	s.sendComplete()
	var seen inspect.System
	s.eventually("all nodes are reported with the current configuration", func() bool {
		response, err := s.caller.HTTP.Get("http://" + s.nodes[2].Addresses().State + "/v1/system")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		err = json.NewDecoder(response.Body).Decode(&seen)
		return err == nil && len(seen.Nodes) == len(s.nodes) && seen.Version > 0 && len(seen.Lagging) == 0
	})
	if len(seen.Routes) != 4 || seen.Replicas != (shards+1)*len(zones) || len(seen.Unreachable) != 0 {
		t.Errorf("%d routes, %d replicas, unreachable %v", len(seen.Routes), seen.Replicas, seen.Unreachable)
	}
}
