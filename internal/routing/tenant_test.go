package routing

import (
	"fmt"
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

// Guards against a faulty list of tenants that leaves the routes open to everyone.
func TestUnusableTenantsStillRequireKeys(t *testing.T) {
	table := tenantTable(TenantSpec{Keys: []string{"k1"}})
	if !table.HasTenants() || table.Authenticate("k1") != nil || table.TenantCount() != 0 {
		t.Errorf("tenants required %v, %d tenants", table.HasTenants(), table.TenantCount())
	}
	if tenantTable().HasTenants() || table.WithTenants(nil).HasTenants() {
		t.Error("an empty list requires keys")
	}
}

// Guards against a tenant that replicas take for another one, as its name is altered when sent.
func TestNamesThatCannotBeSent(t *testing.T) {
	for name, usable := range map[string]bool{
		"a": true, "a b": true, "Ünïcode": true, "a\nb": false, "a\rb": false, "\x00": false, "a\tb": false, "\x7f": false, " a": false, "a ": false,
	} {
		table := tenantTable(TenantSpec{Tenant: Tenant{Name: name}, Keys: []string{"k1"}})
		if got := table.Authenticate("k1") != nil; got != usable || (len(table.TenantConflicts()) == 0) != usable {
			t.Errorf("name %q: usable %v, conflicts %q", name, got, table.TenantConflicts())
		}
	}
}

// Guards against revocations and moves of keys that no log line mentions.
func TestCompareTenants(t *testing.T) {
	a := TenantSpec{Tenant: Tenant{Name: "a"}, Keys: []string{"a1", "a2", "a3"}}
	cases := []struct {
		name          string
		before, after *Table
		want          TenantChanges
	}{
		{"first table", nil, tenantTable(a), TenantChanges{Added: 1, KeysAdded: 3}},
		{"none", nil, tenantTable(), TenantChanges{}},
		{"equal", tenantTable(a), tenantTable(a), TenantChanges{}},
		{"keys", tenantTable(a), tenantTable(
			TenantSpec{Tenant: Tenant{Name: "a"}, Keys: []string{"a1", "a4"}},
			TenantSpec{Tenant: Tenant{Name: "b"}, Keys: []string{"a2"}},
		), TenantChanges{Added: 1, KeysAdded: 1, KeysRevoked: 1, KeysMoved: 1}},
		{"all removed", tenantTable(a), tenantTable(), TenantChanges{Removed: 1, KeysRevoked: 3}},
	}
	for _, test := range cases {
		if got := CompareTenants(test.before, test.after); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

// manyTenants returns 10,000 tenants with two keys each.
func manyTenants() []TenantSpec {
	specs := make([]TenantSpec, 10_000)
	for i := range specs {
		specs[i] = TenantSpec{Tenant: Tenant{Name: fmt.Sprint("tenant-", i)}, Keys: []string{fmt.Sprint("first-key-of-", i), fmt.Sprint("second-key-of-", i)}}
	}
	return specs
}

// BenchmarkAuthenticate measures the lookup of a key among 20,000.
func BenchmarkAuthenticate(b *testing.B) {
	table := tenantTable(manyTenants()...)
	b.ReportAllocs()
	for b.Loop() {
		if table.Authenticate("second-key-of-7000") == nil {
			b.Fatal("key not found")
		}
	}
}

// BenchmarkWithTenants measures time and memory to index 10,000 tenants with 20,000 keys.
func BenchmarkWithTenants(b *testing.B) {
	specs := manyTenants()
	b.ReportAllocs()
	for b.Loop() {
		tenantTable(specs...)
	}
}

// BenchmarkCompareTenants measures the comparison of two tables of 10,000 tenants.
func BenchmarkCompareTenants(b *testing.B) {
	before, after := tenantTable(manyTenants()...), tenantTable(manyTenants()...)
	for b.Loop() {
		CompareTenants(before, after)
	}
}
