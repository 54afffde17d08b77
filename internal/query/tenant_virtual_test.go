package query_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/upstream"
)

// TestForwardRestrictsToTenantRegions guards against sending a tenant's request to replicas of a
// region that the tenant or the route excludes, also if the key moves to another tenant while the
// request waits, and against sending anything if the request may not be sent.
func TestForwardRestrictsToTenantRegions(t *testing.T) {
	refused := failure.New(failure.Unauthenticated, "x")
	cases := []struct {
		name          string
		route, tenant []string
		confirm       func(*query.ForwardRequest) error
		region        string // where the request runs; empty if it is refused
		kind          failure.Kind
	}{
		{"tenant's region", nil, []string{"far-1"}, nil, "far-1", ""},
		{"common region", []string{"near", "far-2"}, []string{"far-1", "far-2"}, nil, "far-2", ""},
		{"none in common", []string{"near"}, []string{"far-1"}, nil, "", failure.NoReplica},
		{"no replica there", nil, []string{"nowhere"}, nil, "", failure.NoReplica},
		{"confirmed", nil, []string{"far-1"}, func(*query.ForwardRequest) error { return nil }, "far-1", ""},
		{"moved", nil, []string{"far-1"}, func(request *query.ForwardRequest) error {
			request.Tenant = &routing.Tenant{Name: "b", Regions: []string{"far-2"}}
			return nil
		}, "far-2", ""},
		{"moved to none in common", []string{"far-1"}, []string{"far-1"}, func(request *query.ForwardRequest) error {
			request.Tenant = &routing.Tenant{Name: "b", Regions: []string{"far-2"}}
			return nil
		}, "", failure.NoReplica},
		{"revoked", nil, []string{"far-1"}, func(*query.ForwardRequest) error { return refused }, "", failure.Unauthenticated},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withVirtualService(t, 1, 2, func(network *virtualNetwork, service *query.Service, route *routing.Route) virtualResult {
				route.Regions = test.route
				request := &query.ForwardRequest{
					Message: &upstream.Request{ID: "q", Method: http.MethodGet, Target: "/", Host: "h"}, Route: route,
					Tenant: &routing.Tenant{Name: "a", Regions: test.tenant},
				}
				if test.confirm != nil {
					request.Confirm = func(context.Context) error { return test.confirm(request) }
				}
				_, err := service.Forward(context.Background(), request)
				var known *failure.Error
				if (err == nil) != (test.kind == "") || (errors.As(err, &known) && (known.Kind != test.kind || !known.NotRun)) {
					t.Errorf("error %v, want kind %q", err, test.kind)
				}
				time.Sleep(time.Second) // lingering attempts end
				network.mutex.Lock()
				defer network.mutex.Unlock()
				for address := range network.received {
					if !strings.HasSuffix(address, "."+test.region) || test.region == "" {
						t.Errorf("%s received the request, want region %q only", address, test.region)
					}
				}
				return virtualResult{}
			})
		})
	}
}
