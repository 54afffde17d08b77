package routing

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func tenantTable(specs ...TenantSpec) *Table {
	return NewTable(1, nil, nil, Limits{}).WithTenants(specs)
}

// Guards against serving a caller as the wrong tenant, and against a configuration that is
// unusable because two tenants share a key or a name.
func TestAuthenticate(t *testing.T) {
	table := tenantTable(
		TenantSpec{Tenant: Tenant{Name: "a"}, Keys: []string{"a1", "a2", "shared", ""}},
		TenantSpec{Tenant: Tenant{Name: "b"}, Keys: []string{"b1", "shared"}},
		TenantSpec{Tenant: Tenant{Name: "a"}, Keys: []string{"a3"}},
		TenantSpec{Keys: []string{"nameless"}},
	)
	for key, want := range map[string]string{"a1": "a", "a2": "a", "b1": "b", "shared": "a", "a3": "", "nameless": "", "": "", "a": "", "A1": ""} {
		got := ""
		if tenant := table.Authenticate(key); tenant != nil {
			got = tenant.Name
		}
		if got != want {
			t.Errorf("key %q belongs to tenant %q, want %q", key, got, want)
		}
	}
	if diff := cmp.Diff([]string{KeyLabel("shared"), "a"}, table.TenantConflicts()); diff != "" {
		t.Errorf("conflicts (-want +got):\n%s", diff)
	}
	if table.TenantCount() != 2 || !table.HasTenants() || NewTable(1, nil, nil, Limits{}).HasTenants() {
		t.Errorf("%d tenants", table.TenantCount())
	}
}

// Guards against serving a tenant in a region that it or the route excludes.
func TestRegionsFor(t *testing.T) {
	cases := []struct {
		name          string
		route, tenant []string
		want          []string
		ok            bool
	}{
		{"no restriction", nil, nil, nil, true},
		{"route only", []string{"x"}, nil, []string{"x"}, true},
		{"tenant only", nil, []string{"x"}, []string{"x"}, true},
		{"both", []string{"x", "y"}, []string{"y", "z"}, []string{"y"}, true},
		{"none in common", []string{"x"}, []string{"z"}, nil, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got, ok := (&Route{Regions: test.route}).RegionsFor(&Tenant{Regions: test.tenant})
			if diff := cmp.Diff(test.want, got); diff != "" || ok != test.ok {
				t.Errorf("ok %v, regions (-want +got):\n%s", ok, diff)
			}
		})
	}
}
