package soak

import (
	"errors"
	"fmt"
	"maps"
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
	c := &cluster{leaving: make(map[*standin.Replica]time.Time), allowed: map[int]bool{shards: true}}
	var err error
	c.deployment, err = standin.Start(standin.Options{Zones: zones, Shards: shards, Advertise: c.link})
	if err != nil {
		t.Fatal(err)
	}
	settings := c.deployment.NodeSettings("n0", zones[0])
	settings.Callers = nodeAddress
	c.nodes = []*node{{process: process.New(process.Config{}), settings: settings}}
	c.began = time.Now()
	t.Cleanup(func() {
		c.deployment.Close()
		for _, link := range c.links {
			link.Close()
		}
	})
	return c
}

// sendArrival sends a request to a replica through its proxy.
func sendArrival(t *testing.T, c *cluster, replica int, id string) {
	t.Helper()
	sendTo(t, c, replica, id, "")
}

// sendMisdirected sends a request addressed to another process.
func sendMisdirected(t *testing.T, c *cluster, replica int, id string) {
	t.Helper()
	sendTo(t, c, replica, id, "another")
}

func sendTo(t *testing.T, c *cluster, replica int, id, process string) {
	t.Helper()
	sendWith(t, c, replica, id, process, nil)
}

// sendWith sends a request with further header fields.
func sendWith(t *testing.T, c *cluster, replica int, id, process string, header http.Header) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+c.links[replica].Addr().String()+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	maps.Copy(request.Header, header)
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
	seen.response = standin.PlainResponse(standin.PlainService, id)
	return seen
}

func unanswered(id string, asked path) observation {
	seen := answered(id, asked, 0)
	seen.err = errors.New("connection closed")
	return seen
}

// TestCheckerFindings checks that each violation is found, and nothing else.
func TestCheckerFindings(t *testing.T) {
	cases := []struct {
		name string
		act  func(c *cluster, checker *checker)
		want string // substring of the only finding; empty if none is expected
	}{
		{"matching answer", func(_ *cluster, checker *checker) { checker.record(plainAnswer("r")) }, ""},
		{"answer of another request", func(_ *cluster, checker *checker) {
			seen := plainAnswer("other")
			seen.id = "r"
			checker.record(seen)
		}, `got response "answer of fetch to other"`},
		{"shard count never configured", func(_ *cluster, checker *checker) {
			seen := answered("r", scattered, http.StatusOK)
			seen.response.Missing = shards + 1
			checker.record(seen)
		}, "which no configuration names"},
		{"records not from the parts", func(_ *cluster, checker *checker) {
			seen := answered("r", scattered, http.StatusOK)
			seen.response.Parts, seen.response.Missing = []string{"shard-0.r"}, shards-1
			checker.record(seen)
		}, "does not hold the greatest records"},
		{"duplicate part", func(_ *cluster, checker *checker) {
			seen := answered("r", scattered, http.StatusOK)
			seen.response.Parts, seen.response.Missing = []string{"shard-0.r", "shard-0.r"}, shards-2
			checker.record(seen)
		}, "part \"shard-0.r\""},
		{"non-idempotent request executed twice", func(c *cluster, checker *checker) {
			sendArrival(t, c, plainReplica, "r")
			sendArrival(t, c, plainReplica+1, "r")
			checker.record(answered("r", nonIdempotent, http.StatusBadGateway))
		}, "ran 2 times"},
		{"non-idempotent request refused by a replica that then executes it", func(c *cluster, checker *checker) {
			c.deployment.Replicas[plainReplica].Refuse(true)
			sendArrival(t, c, plainReplica, "r")
			c.deployment.Replicas[plainReplica].Refuse(false)
			sendArrival(t, c, plainReplica, "r")
			checker.record(answered("r", nonIdempotent, http.StatusBadGateway))
		}, ""},
		{"regional request inside its region", func(c *cluster, checker *checker) {
			sendArrival(t, c, 0, "r")
			checker.record(answered("r", regional, http.StatusBadGateway))
		}, ""},
		{"regional request outside its region", func(c *cluster, checker *checker) {
			sendArrival(t, c, 1, "r")
			checker.record(answered("r", regional, http.StatusBadGateway))
		}, "is bound to region-a"},
		{"refused request executed", func(c *cluster, checker *checker) {
			sendArrival(t, c, plainReplica, "r")
			checker.record(answered("r", nonIdempotent, http.StatusServiceUnavailable))
		}, "was refused with 503 and ran"},
		{"forwarded request without response", func(c *cluster, checker *checker) {
			sendArrival(t, c, plainReplica, "r")
			checker.record(unanswered("r", plain))
		}, "got no answer"},
		{"forwarded request without response, node stopped", func(c *cluster, checker *checker) {
			defer c.recordFault(StopNode, c.nodes[0])()
			sendArrival(t, c, plainReplica, "r")
			checker.record(unanswered("r", plain))
		}, "got no answer"},
		{"forwarded request without response, node killed", func(c *cluster, checker *checker) {
			defer c.recordFault(KillNode, c.nodes[0])()
			sendArrival(t, c, plainReplica, "r")
			checker.record(unanswered("r", plain))
		}, ""},
		{"unforwarded request without response", func(_ *cluster, checker *checker) { checker.record(unanswered("r", plain)) }, ""},
		{"failure after recovery", func(_ *cluster, checker *checker) {
			checker.expectHealthyFrom(time.Now().Add(-time.Second))
			checker.record(answered("r", plain, http.StatusBadGateway))
		}, "in the calm"},
		{"failure before recovery", func(_ *cluster, checker *checker) {
			checker.expectHealthyFrom(time.Now().Add(time.Second))
			checker.record(answered("r", plain, http.StatusBadGateway))
		}, ""},
		{"request to drained replica", func(c *cluster, checker *checker) {
			c.recordChange(storeChange{at: time.Now().Add(-drainTime), replica: c.deployment.Replicas[plainReplica]})
			sendArrival(t, c, plainReplica, "r")
		}, "after it was due to receive nothing"},
		{"request to drained replica, store updates delayed", func(c *cluster, checker *checker) {
			defer c.recordFault(StoreFreezeWatches, nil)()
			c.recordChange(storeChange{at: time.Now().Add(-drainTime), replica: c.deployment.Replicas[plainReplica]})
			sendArrival(t, c, plainReplica, "r")
		}, ""},
		{"configuration applied late", func(c *cluster, checker *checker) {
			c.recordChange(storeChange{at: time.Now().Add(-applyTime - time.Second), shards: 2})
			seen := answered("r", scattered, http.StatusOK)
			seen.response.Missing = shards
			checker.record(seen)
		}, "after a configuration of 2 was due"},
		{"failure after recovery, machine stalled", func(c *cluster, checker *checker) {
			c.stalls.recordProbe(time.Now().Add(-time.Second), time.Now())
			checker.expectHealthyFrom(time.Now().Add(-time.Second))
			checker.record(answered("r", plain, http.StatusBadGateway))
		}, ""},
		{"non-idempotent request executed twice, machine stalled", func(c *cluster, checker *checker) {
			c.stalls.recordProbe(time.Now().Add(-time.Second), time.Now())
			sendArrival(t, c, plainReplica, "r")
			sendArrival(t, c, plainReplica+1, "r")
			checker.record(answered("r", nonIdempotent, http.StatusBadGateway))
		}, "ran 2 times"},
		{"retries beyond the budget", func(c *cluster, checker *checker) {
			for range int(c.nodes[0].settings.Bounds.RetrySlack) + 2 {
				sendArrival(t, c, plainReplica, "r")
			}
		}, "arrivals past the first"},
		{"retries within the budget", func(c *cluster, checker *checker) {
			for range int(c.nodes[0].settings.Bounds.RetrySlack) + 1 {
				sendArrival(t, c, plainReplica, "r")
			}
		}, ""},
		{"misdirected retries beyond the budget", func(c *cluster, checker *checker) {
			for i := range int(c.nodes[0].settings.Bounds.RetrySlack) + 1 {
				id := fmt.Sprint("r", i)
				sendArrival(t, c, plainReplica, id)
				sendMisdirected(t, c, plainReplica+1, id)
			}
		}, "arrivals past the first"},
		{"misdirected request to drained replica", func(c *cluster, checker *checker) {
			c.recordChange(storeChange{at: time.Now().Add(-drainTime), replica: c.deployment.Replicas[plainReplica]})
			sendMisdirected(t, c, plainReplica, "r")
		}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newTestCluster(t)
			checker := newChecker(c)
			test.act(c, checker)
			report := checker.finish()
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
	c := newTestCluster(t)
	if err := c.nodes[0].startOnce(t); err != nil {
		t.Fatal(err)
	}
	report := newChecker(c).finish()
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
		c := newTestCluster(t)
		checker := newChecker(c)
		for replica := range 3 {
			sendPath(t, c, replica, fmt.Sprintf("%s1-%d", crashPrefix, replica), "/x"+standin.CrashSuffix)
		}
		third := c.replicas()[2]
		if by, _ := third.CrashedBy(); by == "" {
			t.Fatal("replica did not crash")
		}
		run := checker.crashRuns()[crashPrefix+"1"]
		if run == nil || len(run.crashes) != 3 || run.lateAttempts() != 0 {
			t.Fatalf("unexpected crash run %+v", run)
		}
		for try := range test.lateAttempts {
			run.firstArrivals[fmt.Sprint("late", try)] = run.crashes[2].Add(quarantineDelay + time.Second)
		}
		checker.checkCrashRun("e1", run)
		if len(checker.report.Findings) != test.want || checker.report.Crashed != 3 {
			t.Errorf("%d late attempts: findings %v, %d crashed replicas", test.lateAttempts, checker.report.Findings, checker.report.Crashed)
		}
	}
}

// sendPath sends a request that may crash the replica.
func sendPath(t *testing.T, c *cluster, replica int, id, path string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+c.links[replica].Addr().String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Request-Id", id)
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
