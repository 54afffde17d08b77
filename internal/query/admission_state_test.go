package query_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/upstream"
)

// TestAdmissionState guards against forwarded requests that do not count for their tenant, or that count
// after they have ended.
func TestAdmissionState(t *testing.T) {
	withVirtualService(t, 1, 2, func(_ *virtualNetwork, service *query.Service, route *routing.Route) virtualResult {
		request := &query.ForwardRequest{
			Message: &upstream.Request{ID: "q", Method: http.MethodGet, Target: "/", Host: "h"}, Route: route,
			Tenant: &routing.Tenant{Name: "a", Rank: 3},
		}
		inFlight := int64(-1)
		request.Confirm = func(context.Context) error {
			inFlight = service.AdmissionState()[0].InFlight
			return nil
		}
		if _, err := service.Forward(context.Background(), request); err != nil {
			t.Error(err)
		}
		state := service.AdmissionState()
		if inFlight != 1 || len(state) != 1 || state[0].InFlight != 0 || state[0].Waiting != 0 || state[0].TenantCount != 1 {
			t.Fatalf("%d in flight, then %+v, want 1, then none, of one tenant", inFlight, state)
		}
		if tenant := state[0].Tenants[0]; tenant.Name != "a" || tenant.Rank != 3 || tenant.InFlight != 0 || tenant.Use <= 0 {
			t.Errorf("tenant %+v, want a of rank 3 with recent use", tenant)
		}
		return virtualResult{}
	})
}
