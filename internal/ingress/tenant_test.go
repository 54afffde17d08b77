package ingress

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/routing"
)

// newTenantHandler returns a handler of a configuration with a public and a protected route.
func newTenantHandler(forwarder *fakeForwarder, quota Quota) http.Handler {
	return newTestHandler(forwarder, func(o *Options) {
		routes := []routing.Route{{Name: "r", Host: "h.example", PathPrefix: "/p/"}, {Name: "open", Host: "h.example", PathPrefix: "/open/", Public: true}}
		tenant := routing.Tenant{Name: "acme", Limit: routing.RateLimit{PerSecond: 1, Burst: 1}}
		o.Board.Routes.Publish(routing.NewTable(4, routes, nil, routing.Limits{}).WithTenants(
			[]routing.TenantSpec{{Tenant: tenant, Keys: []string{"k1"}}}))
		o.Quota = quota
	})
}

// Guards against serving callers without a valid key, against passing keys or forged tenants on
// to replicas, and against requiring keys on public routes.
func TestAuthentication(t *testing.T) {
	cases := []struct {
		name, target, key string
		status            int
		tenant            string
	}{
		{"valid key", "/p/", "k1", 200, "acme"},
		{"unknown key", "/p/", "k2", 401, ""},
		{"no key", "/p/", "", 401, ""},
		{"public route, valid key", "/open/", "k1", 200, "acme"},
		{"public route, unknown key", "/open/", "k2", 200, ""},
		{"public route, no key", "/open/", "", 200, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			forwarder := &fakeForwarder{answer: query.ForwardResult{Records: []byte("x")}}
			r := newRequest(http.MethodGet, test.target, "")
			r.Header.Set("Tenant", "forged")
			if test.key != "" {
				r.Header.Set("Key", test.key)
			}
			got := serveOne(newTenantHandler(forwarder, nil), r)
			if got.Code != test.status || (got.Header().Get("Challenge") != "") != (test.status == 401) {
				t.Fatalf("status %d, header %v", got.Code, got.Header())
			}
			if (forwarder.received != nil) != (test.status == 200) {
				t.Fatalf("forwarded: %v", forwarder.received != nil)
			}
			if forwarder.received == nil {
				return
			}
			if message := forwarder.received.Message; message.Tenant != test.tenant || len(message.Header) != 0 {
				t.Errorf("forwarded with tenant %q and header %v", message.Tenant, message.Header)
			}
		})
	}
}

// Guards against changing headers where the configuration has no tenants.
func TestHeadersPassWithoutTenants(t *testing.T) {
	forwarder := &fakeForwarder{}
	r := newRequest(http.MethodGet, "/p/", "")
	r.Header.Set("Key", "k1")
	r.Header.Set("Tenant", "own")
	serveOne(newTestHandler(forwarder, nil), r)
	want := http.Header{"Key": {"k1"}, "Tenant": {"own"}}
	if diff := cmp.Diff(want, forwarder.received.Message.Header); diff != "" || forwarder.received.Message.Tenant != "" {
		t.Errorf("tenant %q, header (-want +got):\n%s", forwarder.received.Message.Tenant, diff)
	}
}

// fakeQuota admits a number of requests.
type fakeQuota struct{ tokens int }

func (q *fakeQuota) Admit(context.Context, *routing.Tenant) (func(), error) {
	if q.tokens == 0 {
		return nil, failure.New(failure.QuotaExceeded, "x")
	}
	q.tokens--
	return func() { q.tokens++ }, nil
}

// Guards against running requests over the limit, and against counting those that did not run.
func TestQuota(t *testing.T) {
	cases := []struct {
		name   string
		tokens int
		err    error
		status int
		left   int
	}{
		{"within the limit", 1, nil, 200, 0},
		{"over the limit", 0, nil, 429, 0},
		{"not run", 1, failure.New(failure.NoReplica, "x"), 503, 1},
		{"may have run", 1, failure.New(failure.DeadlineExceeded, "x"), 504, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			quota := &fakeQuota{tokens: test.tokens}
			r := newRequest(http.MethodGet, "/p/", "")
			r.Header.Set("Key", "k1")
			got := serveOne(newTenantHandler(&fakeForwarder{answer: query.ForwardResult{Records: []byte("x")}, err: test.err}, quota), r)
			if got.Code != test.status || quota.tokens != test.left {
				t.Errorf("status %d, %d tokens left", got.Code, quota.tokens)
			}
		})
	}
}

// publishTenants replaces the configuration of a handler's blackboard by one with a public and a
// protected route and the given keys and tenants.
func publishTenants(board *blackboard.Board, keys map[string]string) {
	routes := []routing.Route{{Name: "r", Host: "h.example", PathPrefix: "/p/"}, {Name: "open", Host: "h.example", PathPrefix: "/open/", Public: true}}
	var specs []routing.TenantSpec
	for key, name := range keys {
		tenant := routing.Tenant{Name: name, Limit: routing.RateLimit{PerSecond: 1, Burst: 1}}
		specs = append(specs, routing.TenantSpec{Tenant: tenant, Keys: []string{key}})
	}
	board.Routes.Publish(routing.NewTable(5, routes, nil, routing.Limits{}).WithTenants(specs))
}

// changingBody publishes another configuration while it is read.
type changingBody struct {
	io.Reader
	change func()
}

func (b *changingBody) Read(buffer []byte) (int, error) {
	b.change()
	return b.Reader.Read(buffer)
}

// confirmingForwarder changes the configuration as a queue would, and then confirms the request.
type confirmingForwarder struct {
	change    func()
	forwarded *query.ForwardRequest
}

func (f *confirmingForwarder) Forward(ctx context.Context, request *query.ForwardRequest) (query.ForwardResult, error) {
	f.change()
	if err := request.Confirm(ctx); err != nil {
		return query.ForwardResult{}, err
	}
	f.forwarded = request
	return query.ForwardResult{Records: []byte("x")}, nil
}

// tenantQuota counts the requests of each tenant.
type tenantQuota struct {
	counts map[string]int
	refuse string
}

func (q *tenantQuota) Admit(_ context.Context, tenant *routing.Tenant) (func(), error) {
	if tenant.Name == q.refuse {
		return nil, failure.New(failure.QuotaExceeded, "x")
	}
	q.counts[tenant.Name]++
	return func() { q.counts[tenant.Name]-- }, nil
}

// Guards against running a request with a key that was revoked, or as a tenant that no longer holds
// the key, when the configuration changed while the body was read or the request was queued.
func TestConfigurationChangesWhileRequestWaits(t *testing.T) {
	cases := []struct {
		name, target string
		after        map[string]string // tenants by key; nil leaves no tenants
		refuse       string
		status       int
		tenant       string
		counts       map[string]int
	}{
		{"same tenant", "/p/", map[string]string{"k1": "acme"}, "", 200, "acme", map[string]int{"acme": 1}},
		{"revoked", "/p/", map[string]string{"k2": "acme"}, "", 401, "", map[string]int{"acme": 0}},
		{"revoked, public route", "/open/", map[string]string{"k2": "acme"}, "", 200, "", map[string]int{"acme": 0}},
		{"moved", "/p/", map[string]string{"k1": "other"}, "", 200, "other", map[string]int{"acme": 0, "other": 1}},
		{"moved to a tenant over its limit", "/p/", map[string]string{"k1": "other"}, "other", 429, "", map[string]int{"acme": 0}},
		{"tenants removed", "/p/", nil, "", 200, "", map[string]int{"acme": 0}},
	}
	for _, test := range cases {
		for _, during := range []string{"body", "queue"} {
			t.Run(test.name+" during "+during, func(t *testing.T) {
				var board *blackboard.Board
				change := func() { publishTenants(board, test.after) }
				forwarder, quota := &confirmingForwarder{change: func() {}}, &tenantQuota{counts: map[string]int{}, refuse: test.refuse}
				handler := newTestHandler(nil, func(o *Options) { board, o.Forwarder, o.Quota = o.Board, forwarder, quota })
				publishTenants(board, map[string]string{"k1": "acme"})
				r := newRequest(http.MethodPost, test.target, "body")
				r.Header.Set("Key", "k1")
				if during == "body" {
					r.Body = io.NopCloser(&changingBody{Reader: r.Body, change: change})
				} else {
					forwarder.change = change
				}
				got := serveOne(handler, r)
				if got.Code != test.status || (forwarder.forwarded != nil) != (test.status == 200) {
					t.Fatalf("status %d, forwarded %v", got.Code, forwarder.forwarded != nil)
				}
				if test.status == 200 {
					message := forwarder.forwarded.Message
					if message.Tenant != test.tenant || (forwarder.forwarded.Tenant != nil) != (test.tenant != "") || len(message.Header) != 0 {
						t.Errorf("forwarded as tenant %q with header %v", message.Tenant, message.Header)
					}
				}
				for name, count := range quota.counts {
					if count != test.counts[name] {
						t.Errorf("%d requests of %s count, want %d", count, name, test.counts[name])
					}
				}
			})
		}
	}
}

// Guards against a key that reaches a replica because tenants were configured while the request
// waited.
func TestFirstTenantsWhileRequestWaits(t *testing.T) {
	var board *blackboard.Board
	forwarder := &confirmingForwarder{}
	handler := newTestHandler(nil, func(o *Options) { board, o.Forwarder = o.Board, forwarder })
	forwarder.change = func() { publishTenants(board, map[string]string{"k1": "acme"}) }
	r := newRequest(http.MethodGet, "/p/", "")
	r.Header.Set("Key", "k1")
	r.Header.Set("Tenant", "forged")
	got := serveOne(handler, r)
	if message := forwarder.forwarded.Message; got.Code != 200 || message.Tenant != "acme" || len(message.Header) != 0 {
		t.Errorf("status %d, tenant %q, header %v", got.Code, message.Tenant, message.Header)
	}
}

// Guards against answering 401 where no table or only an old one is known, which callers take for
// final.
func TestNoUsableTable(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"none":  func(o *Options) { o.Board = &blackboard.Board{} },
		"stale": func(o *Options) { o.WaitFresh = func(context.Context) bool { return false } },
	} {
		t.Run(name, func(t *testing.T) {
			forwarder := &fakeForwarder{}
			handler := newTestHandler(forwarder, func(o *Options) {
				publishTenants(o.Board, map[string]string{"k1": "acme"})
				change(o)
			})
			for _, key := range []string{"", "k1", "k2"} {
				r := newRequest(http.MethodGet, "/p/", "")
				r.Header.Set("Key", key)
				if got := serveOne(handler, r); got.Code != 503 || got.Header().Get("Challenge") != "" || forwarder.received != nil {
					t.Errorf("key %q: status %d, header %v, forwarded %v", key, got.Code, got.Header(), forwarder.received != nil)
				}
			}
		})
	}
}

// Guards against keys in log lines and metrics, and against lines and metrics that do not tell who
// was refused and why.
func TestIdentityInLogAndMetrics(t *testing.T) {
	const secret = "wq9zkey"
	var output bytes.Buffer
	registry := prometheus.NewRegistry()
	handler := newTestHandler(&fakeForwarder{}, func(o *Options) {
		publishTenants(o.Board, map[string]string{"k1": "acme"})
		o.Logger, o.Registerer = slog.New(slog.NewJSONHandler(&output, nil)), registry
	})
	for _, key := range []string{"k1", "", secret} {
		r := newRequest(http.MethodGet, "/p/", "")
		r.Header.Set("Key", key)
		serveOne(handler, r)
	}
	for _, part := range []string{`"tenant":"acme"`, `"reason":"unauthenticated: the request has no API key"`, `"unknown_key":"` + routing.KeyLabel(secret) + `"`} {
		if !strings.Contains(output.String(), part) {
			t.Errorf("%s is missing in %s", part, output.String())
		}
	}
	if strings.Contains(output.String(), secret) {
		t.Errorf("key in %s", output.String())
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			name := family.GetName()
			for _, label := range metric.GetLabel() {
				name += " " + label.GetValue()
			}
			got[name] = metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	want := map[string]float64{
		"doorpondd_requests_unauthenticated_total no_key":  1,
		"doorpondd_requests_refused_total unauthenticated": 2, "doorpondd_requests_unauthenticated_total unknown_key": 1,
		"doorpondd_tenants": 1, "doorpondd_tenant_keys": 1, "doorpondd_tenant_conflicts": 0,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("metrics (-want +got):\n%s", diff)
	}
}
