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

// newTestProber returns a prober for one replica with incarnation "1", the
// replica's handle, and the list of incarnations reported as leaving.
func newTestProber(t *testing.T, address string, registry *prometheus.Registry, modify func(*PoolOptions)) (prober *Prober, handle *Handle, leaving *[]string) {
	t.Helper()
	board := &blackboard.Board{}
	tracker := NewTracker(TrackerOptions{Board: board, Lister: &fakeLister{replicas: []topology.Replica{
		{Address: address, Incarnation: "1", Group: testGroup, Slots: 4, ConnectionLimit: 2},
	}}})
	leaving = &[]string{}
	tracker.OnLeaving(func(_, incarnation string) { *leaving = append(*leaving, incarnation) })
	tracker.Refresh(t.Context())
	pool := newTestPool(t, board, modify)
	prober = NewProber(ProberOptions{Pool: pool, Tracker: tracker, RandomSeed: 1, Registerer: registry})
	probed := pool.current().probed
	if len(probed) != 1 {
		t.Fatalf("%d replicas to probe, want 1", len(probed))
	}
	return prober, probed[0], leaving
}

// probeCount returns the value of the counter for an outcome.
func probeCount(t *testing.T, registry *prometheus.Registry, outcome ProbeOutcome) int {
	t.Helper()
	families, err := registry.Gather()
	if err != nil || len(families) != 1 || families[0].GetName() != "doorpondd_probes_total" {
		t.Fatalf("gathered %v, error %v", families, err)
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

// startProbed starts a backend and returns its address. If handler is nil,
// nothing listens there.
func startProbed(t *testing.T, protocol Protocol, handler http.HandlerFunc) string {
	t.Helper()
	if handler == nil {
		return unusedAddress(t)
	}
	return startBackend(t, protocol, handler).address()
}

func TestProbeOutcomes(t *testing.T) {
	cancelProbe := new(context.CancelFunc)
	unresponsive := func(_ http.ResponseWriter, r *http.Request) {
		(*cancelProbe)()
		<-r.Context().Done()
	}
	draining := `{"incarnation":"1","state":"draining"}`
	cases := []struct {
		name    string
		handler http.HandlerFunc // nil if nothing listens
		want    ProbeOutcome
		leaving []string
	}{
		{"draining", respondStatus("1", backendapi.StateDraining), ProbeDraining, []string{"1"}},
		{"serving", respondStatus("1", backendapi.StateServing), ProbeServing, nil},
		{"cold", respondStatus("1", backendapi.StateCold), ProbeServing, nil},
		{"other incarnation serving", respondStatus("2", backendapi.StateServing), ProbeOtherProcess, nil},
		{"other incarnation draining", respondStatus("2", backendapi.StateDraining), ProbeDraining, []string{"2"}},
		{"no incarnation", respondStatus("", backendapi.StateDraining), ProbeInvalid, nil},
		{"oversized incarnation", respondStatus(strings.Repeat("1", maxIncarnationBytes+1), backendapi.StateDraining), ProbeInvalid, nil},
		{"unknown state", respondStatus("1", "leaving"), ProbeInvalid, nil},
		{"malformed body", respondText("draining"), ProbeInvalid, nil},
		{"empty body", respondText(""), ProbeInvalid, nil},
		{"truncated JSON", respondText(draining[:len(draining)/2]), ProbeInvalid, nil},
		{"status sent twice", respondText(draining + draining), ProbeInvalid, nil},
		{"oversized body", respondText(draining + strings.Repeat(" ", maxStatusBytes)), ProbeFailed, nil},
		{"truncated body", truncate, ProbeFailed, nil},
		{"connection aborted", abort, ProbeFailed, nil},
		{"server error with draining status", respondJSON(http.StatusInternalServerError, backendapi.Status{Incarnation: "1", State: backendapi.StateDraining}), ProbeFailed, nil},
		{"connection refused", nil, ProbeFailed, nil},
		{"timeout", unresponsive, ProbeFailed, nil},
	}
	for _, protocol := range []Protocol{ProtocolHTTP1, ProtocolH2C} {
		for _, test := range cases {
			t.Run(string(protocol)+"/"+test.name, func(t *testing.T) {
				registry := prometheus.NewRegistry()
				prober, handle, leaving := newTestProber(t, startProbed(t, protocol, test.handler), registry, func(o *PoolOptions) { o.Protocol = protocol })
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				*cancelProbe = cancel
				outcome := prober.Probe(ctx, handle)
				if outcome != test.want || !slices.Equal(*leaving, test.leaving) {
					t.Errorf("outcome %s, leaving %v; want %s, %v", probeOutcomeNames[outcome], *leaving, probeOutcomeNames[test.want], test.leaving)
				}
				if counted := probeCount(t, registry, test.want); counted != 1 {
					t.Errorf("counter is %d, want 1", counted)
				}
				if remaining := len(prober.options.Pool.current().probed); (remaining == 0) != slices.Equal(test.leaving, []string{"1"}) {
					t.Errorf("%d replicas are still probed", remaining)
				}
				if inFlight := handle.inFlight.Load(); inFlight != 0 {
					t.Errorf("%d requests still in flight", inFlight)
				}
			})
		}
	}
}

func TestProbeRespectsConnectionBudget(t *testing.T) {
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
		t.Errorf("%s while a request uses the only connection", probeOutcomeNames[outcome])
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

// An unresponsive replica must cost a probe only its timeout and not delay others.
func TestProberRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var probedAt []time.Duration
		started := time.Now()
		registry := prometheus.NewRegistry()
		prober, _, _ := newTestProber(t, "192.0.2.1:1", registry, func(options *PoolOptions) {
			options.Post = func(ctx context.Context, _, _ string, _ []byte) PostResult {
				probedAt = append(probedAt, time.Since(started))
				<-ctx.Done()
				return PostResult{Err: ctx.Err()}
			}
		})
		ended := make(chan error)
		go func() { ended <- prober.Run(ctx) }()
		const period = 20 * time.Second
		time.Sleep(period)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		least := int(period/(probePeriod*5/4+ProbeTick)) - 1
		if len(probedAt) < least || probedAt[0] > probePeriod+2*ProbeTick {
			t.Errorf("probed at %v, want at least %d probes", probedAt, least)
		}
		if failed := probeCount(t, registry, ProbeFailed); failed != len(probedAt) {
			t.Errorf("%d of %d probes counted as failed", failed, len(probedAt))
		}
	})
}

// countingListener counts the bytes transferred on its connections.
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

// BenchmarkProbe measures one probe over a kept-alive connection, including the
// server side.
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
