package ingress

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/routing"
)

func requestWithKey(key string) *http.Request {
	r := newRequest(http.MethodGet, "/p/", "")
	if key != "" {
		r.Header.Set("Key", key)
	}
	return r
}

// Guards against refusals that operators cannot attribute to a tenant and a reason.
func TestRefusalsByTenantAndKind(t *testing.T) {
	forwarder := &fakeForwarder{}
	handler := newTenantHandler(forwarder, &fakeQuota{tokens: 2}).(*Handler)
	serveOne(handler, requestWithKey("k1"))
	forwarder.err = failure.New(failure.DeadlineExceeded, "may have run")
	serveOne(handler, requestWithKey("k1"))
	for _, key := range []string{"k1", "k1", "", "k2", "k3"} {
		serveOne(handler, requestWithKey(key))
	}
	want := []Refusal{{Kind: failure.Unauthenticated, Count: 3}, {Tenant: "acme", Kind: failure.QuotaExceeded, Count: 2}}
	if diff := cmp.Diff(want, handler.Refusals(), cmpopts.IgnoreFields(Refusal{}, "LastAgoMilliseconds")); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// Guards against a metric that does not count refusals, or counts requests that may have run.
func TestRefusalMetric(t *testing.T) {
	registry := prometheus.NewRegistry()
	counts := newRefusals(registry)
	counts.add("", failure.New(failure.Unauthenticated, "x"))
	counts.add("", failure.New(failure.DeadlineExceeded, "x"))
	counts.add("", nil)
	families, err := registry.Gather()
	if err != nil || len(families) != 1 || len(families[0].GetMetric()) != 1 {
		t.Fatalf("%v, error %v", families, err)
	}
	metric := families[0].GetMetric()[0]
	if metric.GetCounter().GetValue() != 1 || metric.GetLabel()[0].GetValue() != string(failure.Unauthenticated) {
		t.Errorf("got %v", metric)
	}
}

// Guards against counts that grow with the tenants that were ever refused.
func TestRefusalsAreBounded(t *testing.T) {
	counts := newRefusals(nil)
	for i := range maxRefusalCounts + 10 {
		counts.add(fmt.Sprint("t", i), failure.New(failure.QuotaExceeded, "x"))
	}
	if len(counts.counts) != maxRefusalCounts || len(counts.list()) != maxListedRefusals {
		t.Errorf("%d counts, %d of them listed", len(counts.counts), len(counts.list()))
	}
}

// Guards against log lines that do not tell whose request was refused, or that reveal a key.
func TestLogLineIdentity(t *testing.T) {
	const secret = "by256b5cwa32q6qynkki"
	for _, test := range []struct{ name, key, want string }{
		{"tenant over its limit", "k1", `"tenant":"acme"`},
		{"no key", "", `has no API key`},
		{"unknown key", secret, `"unknown_key":"` + routing.KeyLabel(secret) + `"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			var output bytes.Buffer
			handler := newTenantHandler(&fakeForwarder{}, &fakeQuota{}).(*Handler)
			handler.options.Logger = slog.New(slog.NewJSONHandler(&output, nil))
			handler.log = newRequestLog(&handler.options)
			serveOne(handler, requestWithKey(test.key))
			if line := output.String(); !strings.Contains(line, test.want) || strings.Contains(line, secret) {
				t.Errorf("line %s", line)
			}
		})
	}
}
