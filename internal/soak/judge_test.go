package soak

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/soak/process"
	"github.com/doorpond/doorpond/platform/standin"
)

const nodeAddress = "127.0.0.1:1"

// newTestCluster returns a cluster without node processes but with real replicas,
// to which tests send requests.
func newTestCluster(t *testing.T) *cluster {
	t.Helper()
	w := &cluster{leaving: make(map[*standin.Replica]time.Time), allowed: map[int]bool{shards: true}}
	var err error
	w.deployment, err = standin.Start(standin.Options{Zones: zones, Shards: shards, Advertise: w.link})
	if err != nil {
		t.Fatal(err)
	}
	settings := w.deployment.NodeSettings("n0", zones[0])
	settings.Callers = nodeAddress
	w.nodes = []*node{{process: process.New(process.Config{}), settings: settings}}
	w.began = time.Now()
	t.Cleanup(func() {
		w.deployment.Close()
		for _, link := range w.links {
			link.Close()
		}
	})
	return w
}

// sendArrival sends a request to a replica through its proxy.
func sendArrival(t *testing.T, w *cluster, replica int, id string) {
	t.Helper()
	sendTo(t, w, replica, id, "")
}

// sendMisdirected sends a request addressed to another process.
func sendMisdirected(t *testing.T, w *cluster, replica int, id string) {
	t.Helper()
	sendTo(t, w, replica, id, "another")
}

func sendTo(t *testing.T, w *cluster, replica int, id, process string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+w.links[replica].Addr().String()+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Request-Id", id)
	if process != "" {
		request.Header.Set("Target-Instance", process)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// plainReplica is the index of the plain service's first replica.
const plainReplica = shards * 3

func answered(id string, asked path, status int) observation {
	return observation{id: id, path: asked, sent: time.Now(), ended: time.Now(), response: standin.Response{Node: nodeAddress, Status: status, Header: http.Header{}}}
}

func plainAnswer(id string) observation {
	seen := answered(id, plain, http.StatusOK)
	seen.response = standin.PlainResponse(id)
	return seen
}

func broken(id string, asked path) observation {
	seen := answered(id, asked, 0)
	seen.err = errors.New("connection closed")
	return seen
}

// TestCheckerFindings checks that each violation is found, and nothing else.
func TestCheckerFindings(t *testing.T) {
	cases := []struct {
		name   string
		happen func(w *cluster, j *checker)
		want   string // substring of the only finding; empty if none is expected
	}{
		{"matching answer", func(_ *cluster, j *checker) { j.record(plainAnswer("r")) }, ""},
		{"answer of another request", func(_ *cluster, j *checker) {
			seen := plainAnswer("other")
			seen.id = "r"
			j.record(seen)
		}, `got response "answer of fetch to other"`},
		{"shard count never configured", func(_ *cluster, j *checker) {
			seen := answered("r", scattered, http.StatusOK)
			seen.response.Missing = shards + 1
			j.record(seen)
		}, "which no configuration names"},
		{"records not from the parts", func(_ *cluster, j *checker) {
			seen := answered("r", scattered, http.StatusOK)
			seen.response.Parts, seen.response.Missing = []string{"shard-0.r"}, shards-1
			j.record(seen)
		}, "does not hold the greatest records"},
		{"duplicate part", func(_ *cluster, j *checker) {
			seen := answered("r", scattered, http.StatusOK)
			seen.response.Parts, seen.response.Missing = []string{"shard-0.r", "shard-0.r"}, shards-2
			j.record(seen)
		}, "part \"shard-0.r\""},
		{"non-idempotent request executed twice", func(w *cluster, j *checker) {
			sendArrival(t, w, plainReplica, "r")
			sendArrival(t, w, plainReplica+1, "r")
			j.record(answered("r", nonIdempotent, http.StatusBadGateway))
		}, "ran 2 times"},
		{"regional request inside its region", func(w *cluster, j *checker) {
			sendArrival(t, w, 0, "r")
			j.record(answered("r", regional, http.StatusBadGateway))
		}, ""},
		{"regional request outside its region", func(w *cluster, j *checker) {
			sendArrival(t, w, 1, "r")
			j.record(answered("r", regional, http.StatusBadGateway))
		}, "is bound to region-a"},
		{"refused request executed", func(w *cluster, j *checker) {
			sendArrival(t, w, plainReplica, "r")
			j.record(answered("r", nonIdempotent, http.StatusServiceUnavailable))
		}, "was refused with 503 and ran"},
		{"forwarded request without response", func(w *cluster, j *checker) {
			sendArrival(t, w, plainReplica, "r")
			j.record(broken("r", plain))
		}, "got no answer"},
		{"forwarded request without response, node stopped", func(w *cluster, j *checker) {
			defer w.recordFault(StopNode, w.nodes[0])()
			sendArrival(t, w, plainReplica, "r")
			j.record(broken("r", plain))
		}, "got no answer"},
		{"forwarded request without response, node killed", func(w *cluster, j *checker) {
			defer w.recordFault(KillNode, w.nodes[0])()
			sendArrival(t, w, plainReplica, "r")
			j.record(broken("r", plain))
		}, ""},
		{"unforwarded request without response", func(_ *cluster, j *checker) { j.record(broken("r", plain)) }, ""},
		{"failure after recovery", func(_ *cluster, j *checker) {
			j.expectHealthyFrom(time.Now().Add(-time.Second))
			j.record(answered("r", plain, http.StatusBadGateway))
		}, "in the calm"},
		{"failure before recovery", func(_ *cluster, j *checker) {
			j.expectHealthyFrom(time.Now().Add(time.Second))
			j.record(answered("r", plain, http.StatusBadGateway))
		}, ""},
		{"request to drained replica", func(w *cluster, j *checker) {
			w.recordChange(storeChange{at: time.Now().Add(-drainTime), replica: w.deployment.Replicas[plainReplica]})
			sendArrival(t, w, plainReplica, "r")
		}, "after it was due to receive nothing"},
		{"request to drained replica, store updates delayed", func(w *cluster, j *checker) {
			defer w.recordFault(StoreFreezeWatches, nil)()
			w.recordChange(storeChange{at: time.Now().Add(-drainTime), replica: w.deployment.Replicas[plainReplica]})
			sendArrival(t, w, plainReplica, "r")
		}, ""},
		{"configuration applied late", func(w *cluster, j *checker) {
			w.recordChange(storeChange{at: time.Now().Add(-applyTime - time.Second), shards: 2})
			seen := answered("r", scattered, http.StatusOK)
			seen.response.Missing = shards
			j.record(seen)
		}, "after a configuration of 2 was due"},
		{"failure after recovery, machine stalled", func(w *cluster, j *checker) {
			w.stalls.recordProbe(time.Now().Add(-time.Second), time.Now())
			j.expectHealthyFrom(time.Now().Add(-time.Second))
			j.record(answered("r", plain, http.StatusBadGateway))
		}, ""},
		{"non-idempotent request executed twice, machine stalled", func(w *cluster, j *checker) {
			w.stalls.recordProbe(time.Now().Add(-time.Second), time.Now())
			sendArrival(t, w, plainReplica, "r")
			sendArrival(t, w, plainReplica+1, "r")
			j.record(answered("r", nonIdempotent, http.StatusBadGateway))
		}, "ran 2 times"},
		{"retries beyond the budget", func(w *cluster, j *checker) {
			for range int(w.nodes[0].settings.Bounds.RetrySlack) + 2 {
				sendArrival(t, w, plainReplica, "r")
			}
		}, "arrivals past the first"},
		{"retries within the budget", func(w *cluster, j *checker) {
			for range int(w.nodes[0].settings.Bounds.RetrySlack) + 1 {
				sendArrival(t, w, plainReplica, "r")
			}
		}, ""},
		{"misdirected retries beyond the budget", func(w *cluster, j *checker) {
			for i := range int(w.nodes[0].settings.Bounds.RetrySlack) + 1 {
				id := fmt.Sprint("r", i)
				sendArrival(t, w, plainReplica, id)
				sendMisdirected(t, w, plainReplica+1, id)
			}
		}, "arrivals past the first"},
		{"misdirected request to drained replica", func(w *cluster, j *checker) {
			w.recordChange(storeChange{at: time.Now().Add(-drainTime), replica: w.deployment.Replicas[plainReplica]})
			sendMisdirected(t, w, plainReplica, "r")
		}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			w := newTestCluster(t)
			j := newChecker(w)
			test.happen(w, j)
			report := j.finish()
			switch {
			case test.want == "" && len(report.Findings) > 0:
				t.Errorf("findings %q", report.Findings)
			case test.want != "" && (len(report.Findings) != 1 || !strings.Contains(report.Findings[0], test.want)):
				t.Errorf("findings %q, want one with %q", report.Findings, test.want)
			}
		})
	}
}

func TestCheckerReportsUnexpectedExit(t *testing.T) {
	w := newTestCluster(t)
	if err := w.nodes[0].startOnce(t); err != nil {
		t.Fatal(err)
	}
	report := newChecker(w).finish()
	if len(report.Findings) != 1 || !strings.Contains(report.Findings[0], "ended by itself") {
		t.Errorf("findings %q", report.Findings)
	}
}

// startOnce runs a program that exits at once.
func (n *node) startOnce(t *testing.T) error {
	n.process = process.New(process.Config{Program: "true"})
	if err := n.process.Start(); err != nil {
		return err
	}
	return n.process.Wait(t.Context())
}

func TestCheckerReportsLateCrashAttempts(t *testing.T) {
	for _, test := range []struct{ lateAttempts, want int }{{maxLateAttempts, 0}, {maxLateAttempts + 1, 1}} {
		w := newTestCluster(t)
		j := newChecker(w)
		for replica := range 3 {
			sendPath(t, w, replica, fmt.Sprintf("%s1-%d", crashPrefix, replica), "/x"+standin.CrashSuffix)
		}
		third := w.replicas()[2]
		if by, _ := third.CrashedBy(); by == "" {
			t.Fatal("replica did not crash")
		}
		run := j.crashRuns()[crashPrefix+"1"]
		if run == nil || len(run.crashes) != 3 || run.lateAttempts() != 0 {
			t.Fatalf("unexpected crash run %+v", run)
		}
		for try := range test.lateAttempts {
			run.firstArrivals[fmt.Sprint("late", try)] = run.crashes[2].Add(quarantineDelay + time.Second)
		}
		j.checkCrashRun("e1", run)
		if len(j.report.Findings) != test.want || j.report.Crashed != 3 {
			t.Errorf("%d late attempts: findings %v, %d crashed replicas", test.lateAttempts, j.report.Findings, j.report.Crashed)
		}
	}
}

// sendPath sends a request that may crash the replica.
func sendPath(t *testing.T, w *cluster, replica int, id, path string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+w.links[replica].Addr().String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Request-Id", id)
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
