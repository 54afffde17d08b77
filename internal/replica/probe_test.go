package replica

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/topology"
)

// newTestProber lists one replica of incarnation "1" and gives a pool and a
// prober of it, and what was told of leaving replicas.
func newTestProber(t *testing.T, address string, registry *prometheus.Registry, change func(*PoolOptions)) (prober *Prober, handle *Handle, told *[]string) {
	t.Helper()
	board := &blackboard.Board{}
	tracker := NewTracker(TrackerOptions{Board: board, Lister: &fakeLister{replicas: []topology.Replica{
		{Address: address, Incarnation: "1", Group: testGroup, Slots: 4, ConnectionLimit: 2},
	}}})
	told = &[]string{}
	tracker.OnLeaving(func(_, incarnation string) { *told = append(*told, incarnation) })
	tracker.Refresh(t.Context())
	pool := newTestPool(t, board, change)
	prober = NewProber(ProberOptions{Pool: pool, Tracker: tracker, RandomSeed: 1, Registerer: registry})
	probed := pool.current().probed
	if len(probed) != 1 {
		t.Fatalf("%d replicas to probe", len(probed))
	}
	return prober, probed[0], told
}

// probeCount reads the counter of an outcome.
func probeCount(t *testing.T, registry *prometheus.Registry, outcome ProbeOutcome) int {
	t.Helper()
	families, err := registry.Gather()
	if err != nil || len(families) != 1 || families[0].GetName() != "doorpondd_probes_total" {
		t.Fatalf("%v %v", families, err)
	}
	for _, metric := range families[0].GetMetric() {
		if metric.GetLabel()[0].GetValue() == probeOutcomeNames[outcome] {
			return int(metric.GetCounter().GetValue())
		}
	}
	t.Fatalf("no outcome %q", probeOutcomeNames[outcome])
	return 0
}

func respondStatus(incarnation string, state backendapi.State) http.HandlerFunc {
	return respondJSON(http.StatusOK, backendapi.Status{Incarnation: incarnation, State: state, Snapshots: []uint64{7}})
}

// startProbed serves a protocol with a handler; without one nobody listens.
func startProbed(t *testing.T, protocol Protocol, handler http.HandlerFunc) string {
	t.Helper()
	if handler == nil {
		return unusedAddress(t)
	}
	return startBackend(t, protocol, handler).address()
}

func TestProbeOutcomes(t *testing.T) {
	giveUp := new(context.CancelFunc)
	silent := func(_ http.ResponseWriter, r *http.Request) {
		(*giveUp)()
		<-r.Context().Done()
	}
	draining := `{"incarnation":"1","state":"draining"}`
	cases := []struct {
		name    string
		handler http.HandlerFunc // nil: nobody listens
		want    ProbeOutcome
		told    []string
	}{
		{"draining", respondStatus("1", backendapi.StateDraining), ProbeDraining, []string{"1"}},
		{"serving, which may lag or lie", respondStatus("1", backendapi.StateServing), ProbeServing, nil},
		{"cold", respondStatus("1", backendapi.StateCold), ProbeServing, nil},
		{"another incarnation serves", respondStatus("2", backendapi.StateServing), ProbeOtherProcess, nil},
		{"another incarnation drains", respondStatus("2", backendapi.StateDraining), ProbeDraining, []string{"2"}},
		{"no incarnation", respondStatus("", backendapi.StateDraining), ProbeInvalid, nil},
		{"huge incarnation", respondStatus(strings.Repeat("1", maxIncarnationBytes+1), backendapi.StateDraining), ProbeInvalid, nil},
		{"unknown state", respondStatus("1", "leaving"), ProbeInvalid, nil},
		{"garbage", respondText("draining"), ProbeInvalid, nil},
		{"empty body", respondText(""), ProbeInvalid, nil},
		{"half of the JSON", respondText(draining[:len(draining)/2]), ProbeInvalid, nil},
		{"status doubled", respondText(draining + draining), ProbeInvalid, nil},
		{"huge body", respondText(draining + strings.Repeat(" ", maxStatusBytes)), ProbeFailed, nil},
		{"cut body", truncate, ProbeFailed, nil},
		{"connection broken", abort, ProbeFailed, nil},
		{"server error that says draining", respondJSON(http.StatusInternalServerError, backendapi.Status{Incarnation: "1", State: backendapi.StateDraining}), ProbeFailed, nil},
		{"connection refused", nil, ProbeFailed, nil},
		{"no answer in time", silent, ProbeFailed, nil},
	}
	for _, protocol := range []Protocol{ProtocolHTTP1, ProtocolH2C} {
		for _, test := range cases {
			t.Run(string(protocol)+"/"+test.name, func(t *testing.T) {
				registry := prometheus.NewRegistry()
				prober, handle, told := newTestProber(t, startProbed(t, protocol, test.handler), registry, func(o *PoolOptions) { o.Protocol = protocol })
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				*giveUp = cancel
				outcome := prober.Probe(ctx, handle)
				if outcome != test.want || !slices.Equal(*told, test.told) {
					t.Errorf("outcome %s, told %v; want %s, %v", probeOutcomeNames[outcome], *told, probeOutcomeNames[test.want], test.told)
				}
				if counted := probeCount(t, registry, test.want); counted != 1 {
					t.Errorf("counted %d", counted)
				}
				if still := len(prober.options.Pool.current().probed); (still == 0) != slices.Equal(test.told, []string{"1"}) {
					t.Errorf("%d replicas are probed after it", still)
				}
				if inFlight := handle.inFlight.Load(); inFlight != 0 {
					t.Errorf("%d in flight after it", inFlight)
				}
			})
		}
	}
}

func TestProbesKeepToTheConnectionBudget(t *testing.T) {
	var opened atomic.Int64
	backend := newBackend(t, respondStatus("1", backendapi.StateServing))
	prober, handle, _ := newTestProber(t, backend.address(), prometheus.NewRegistry(), func(options *PoolOptions) {
		options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			opened.Add(1)
			return dialTCP(ctx, network, address)
		}
	})
	for range 3 {
		if outcome := prober.Probe(t.Context(), handle); outcome != ProbeServing {
			t.Fatal(probeOutcomeNames[outcome])
		}
	}
	handle.Begin()
	if outcome := prober.Probe(t.Context(), handle); outcome != ProbeBusy {
		t.Errorf("%s while a request uses the budget of one connection", probeOutcomeNames[outcome])
	}
	handle.release()
	handle.setBudget(0)
	if outcome := prober.Probe(t.Context(), handle); outcome != ProbeBusy {
		t.Errorf("%s without a budget", probeOutcomeNames[outcome])
	}
	if sent := backend.requests.Load(); sent != 3 || opened.Load() != 1 {
		t.Errorf("%d probes over %d connections, want 3 over 1", sent, opened.Load())
	}
}

// A frozen replica costs a probe its timeout and holds up nothing else.
func TestProberRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var asked []time.Duration
		started := time.Now()
		registry := prometheus.NewRegistry()
		prober, _, _ := newTestProber(t, "192.0.2.1:1", registry, func(options *PoolOptions) {
			options.Post = func(ctx context.Context, _, _ string, _ []byte) PostResult {
				asked = append(asked, time.Since(started))
				<-ctx.Done()
				return PostResult{Err: ctx.Err()}
			}
		})
		ended := make(chan error)
		go func() { ended <- prober.Run(ctx) }()
		const watched = 20 * time.Second
		time.Sleep(watched)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		least := int(watched/(probePeriod*5/4+ProbeTick)) - 1
		if len(asked) < least || asked[0] > probePeriod+2*ProbeTick {
			t.Errorf("asked at %v, want %d times", asked, least)
		}
		if failed := probeCount(t, registry, ProbeFailed); failed != len(asked) {
			t.Errorf("%d failed of %d", failed, len(asked))
		}
	})
}

// countingListener counts the bytes that its connections carry.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConnection struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return countingConnection{accepted, &l.bytes}, err
}

func (c countingConnection) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.bytes.Add(int64(count))
	return count, err
}

func (c countingConnection) Write(data []byte) (int, error) {
	c.bytes.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// BenchmarkProbe is one probe over a kept connection, both its ends.
func BenchmarkProbe(b *testing.B) {
	server := httptest.NewUnstartedServer(respondJSON(http.StatusOK, backendapi.Status{
		Incarnation: "01JGZ8V0Q5K3M9T7XW2C4D6F8H", State: backendapi.StateServing,
		Load: backendapi.Load{Slots: 5, InFlight: 3, Queued: 12}, Snapshots: []uint64{1024, 1025},
	}))
	counted := &countingListener{Listener: server.Listener}
	server.Listener = counted
	server.Start()
	defer server.Close()
	board := &blackboard.Board{}
	publish(board, server.Listener.Addr().String())
	pool := NewPool(PoolOptions{Board: board})
	defer pool.Close()
	prober := NewProber(ProberOptions{Pool: pool})
	handle := pool.current().probed[0]
	for b.Loop() {
		if outcome := prober.Probe(b.Context(), handle); outcome != ProbeOtherProcess {
			b.Fatal(probeOutcomeNames[outcome])
		}
	}
	b.ReportMetric(float64(counted.bytes.Load())/float64(b.N), "wire-B/op")
}
