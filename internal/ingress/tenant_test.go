package ingress

import (
	"context"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

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
