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

// system is a deployment with nodes and a caller beside them.
type system struct {
	*standin.Deployment
	t      *testing.T
	nodes  []*standin.Node
	caller *standin.Client
	serial atomic.Int64
}

func startSystem(t *testing.T, change func(*edge.Settings)) *system {
	t.Helper()
	return startSystemOn(t, func(*standin.Deployment) {}, change)
}

// startPatientSystem is startSystem with routes whose objective lets an answer wait for all
// its shards on a machine that runs the nodes late.
func startPatientSystem(t *testing.T) *system {
	t.Helper()
	return startShape(t, standin.Shape{Zones: zones, Shards: shards, Work: work, Objective: 2 * time.Second}, func(*standin.Deployment) {}, nil)
}

// startSystemOn is startSystem, and tells of the deployment before the nodes
// start.
func startSystemOn(t *testing.T, started func(*standin.Deployment), change func(*edge.Settings)) *system {
	t.Helper()
	return startShape(t, standin.Shape{Zones: zones, Shards: shards, Work: work}, started, change)
}

// startShape starts a deployment of a shape, and three nodes in two zones.
func startShape(t *testing.T, shape standin.Shape, started func(*standin.Deployment), change func(*edge.Settings)) *system {
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
	s.eventually("all nodes are ready and known", func() bool {
		for _, node := range s.nodes {
			if s.get(node.Addresses().Readiness, standin.ReadyPath) != http.StatusOK {
				return false
			}
		}
		addresses, err := s.caller.Resolve(s.t.Context())
		return err == nil && len(addresses) == 2
	})
}

// stop stops all nodes at the same time.
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

// eventually looks until a condition holds; the limit is generous, so that the
// speed of the machine does not decide.
func (s *system) eventually(what string, holds func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatalf("not in time: %s", what)
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

// whole sends a scattered request that must be answered whole.
func (s *system) whole() {
	s.t.Helper()
	id, response, err := s.send(standin.ScatteredPath)
	if err != nil || response.Status != http.StatusOK || response.Missing != 0 {
		s.t.Fatalf("status %d, %d missing, error %v", response.Status, response.Missing, err)
	}
	if err := standin.CheckScattered(id, shards, response); err != nil {
		s.t.Error(err)
	}
}

func TestTheWholePath(t *testing.T) {
	s := startPatientSystem(t)
	for range 20 {
		s.whole()
	}
	id, response, err := s.send(standin.PlainPath)
	want := "answer of " + standin.PlainService + " to " + id
	if err != nil || string(response.Body) != want || response.Signature() != standin.PlainService+"."+id {
		t.Errorf("answer %q %v, error %v", response.Body, response.Header, err)
	}
	if _, response, _ := s.send("/nowhere/"); response.Status != http.StatusNotFound {
		t.Errorf("status %d without a route", response.Status)
	}
}

func TestMetricsAreServed(t *testing.T) {
	s := startPatientSystem(t)
	s.whole()
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
			t.Errorf("the metrics lack %s", name)
		}
	}
}

// TestAPausedReplicaCostsNoShard: a hedge goes to the other zone.
func TestAPausedReplicaCostsNoShard(t *testing.T) {
	s := startSystem(t, nil)
	for range 30 {
		s.whole() // what is usual is known now
	}
	s.Of(standin.ShardService(1))[0].Pause()
	for range 5 {
		s.whole()
	}
}

// TestAShardOutOfReachIsSaidToBeMissing: a true count, within the objective.
func TestAShardOutOfReachIsSaidToBeMissing(t *testing.T) {
	s := startSystem(t, nil)
	for _, replica := range s.Of(standin.ShardService(2)) {
		replica.Spoil(true)
	}
	id, response, err := s.send(standin.ScatteredPath)
	if err != nil || response.Status != http.StatusOK || response.Missing != 1 {
		t.Fatalf("status %d, %d missing, error %v", response.Status, response.Missing, err)
	}
	if err := standin.CheckScattered(id, shards, response); err != nil {
		t.Error(err)
	}
}

// TestTooFewShards: two of four are under the least share of 0.7, and the
// failure does not promise that nothing ran.
func TestTooFewShards(t *testing.T) {
	s := startSystem(t, nil)
	for _, shard := range []int{1, 2} {
		for _, replica := range s.Of(standin.ShardService(shard)) {
			replica.Spoil(true)
		}
	}
	if _, response, err := s.send(standin.ScatteredPath); err != nil || response.Status != http.StatusBadGateway {
		t.Errorf("status %d, error %v", response.Status, err)
	}
}

// TestOnceRunsAtMostOnce: a request that may not be repeated ends unclear when
// its replica breaks off, and moves on only after a refusal.
func TestOnceRunsAtMostOnce(t *testing.T) {
	s := startPatientSystem(t)
	replicas := s.Of(standin.PlainService)
	replicas[0].Refuse(true)
	for range 10 {
		id, response, err := s.send(standin.OncePath)
		if err != nil || response.Status != http.StatusOK || replicas[1].Ran(id) != 1 {
			t.Errorf("status %d, ran %d times, error %v", response.Status, replicas[1].Ran(id), err)
		}
	}
	replicas[0].Refuse(false)
	for _, replica := range replicas {
		replica.Spoil(true)
	}
	for range 10 {
		id, response, err := s.send(standin.OncePath)
		if ran := replicas[0].Ran(id) + replicas[1].Ran(id); err != nil || response.Status != http.StatusBadGateway || ran != 1 {
			t.Errorf("status %d, ran %d times, error %v", response.Status, ran, err)
		}
	}
	for _, replica := range replicas {
		replica.Spoil(false)
		replica.Refuse(true)
	}
	id, response, err := s.send(standin.OncePath)
	if ran := replicas[0].Ran(id) + replicas[1].Ran(id); err != nil || response.Status != http.StatusServiceUnavailable ||
		response.Header.Get("Retry-After") == "" || ran != 0 {
		t.Errorf("status %d, header %v, ran %d times, error %v", response.Status, response.Header, ran, err)
	}
}

// TestALeavingReplicaReceivesNothing: whether it says so or its entry is gone.
func TestALeavingReplicaReceivesNothing(t *testing.T) {
	for name, leave := range map[string]func(*standin.Replica) error{
		"draining": (*standin.Replica).Drain, "gone": (*standin.Replica).Vanish,
	} {
		t.Run(name, func(t *testing.T) {
			s := startPatientSystem(t)
			leaving := s.Of(standin.ShardService(0))[0]
			s.whole()
			if err := leave(leaving); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Second) // the drain time of the settings
			before := leaving.Arrivals()
			for range 20 {
				s.whole()
			}
			if after := leaving.Arrivals(); after != before {
				t.Errorf("%d requests arrived after the drain time", after-before)
			}
		})
	}
}

// TestACallersEndReachesTheReplicas: within half a second.
func TestACallersEndReachesTheReplicas(t *testing.T) {
	s := startSystem(t, nil)
	replicas := s.Of(standin.PlainService)
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
	s.eventually("no replica works on it", func() bool { return replicas[0].Working()+replicas[1].Working() == 0 })
}

// TestOperatorsSeeTheSystem: any node answers for all.
func TestOperatorsSeeTheSystem(t *testing.T) {
	s := startPatientSystem(t)
	s.whole()
	var seen inspect.System
	s.eventually("all nodes are seen with the configuration in force", func() bool {
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
