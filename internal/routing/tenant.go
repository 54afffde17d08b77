package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Tenant is a customer whose callers share API keys, a priority and a rate limit.
type Tenant struct {
	Name string
	// Rank is the configured priority; 0 is the highest. Requests are ordered by the ranks of
	// their tenants first, and by those of their routes among tenants of equal rank.
	Rank  int
	Limit RateLimit
	// Regions are the regions whose replicas may receive the tenant's requests; empty means
	// all. They apply in addition to those of the route.
	Regions []string
}

// RateLimit limits the requests of a tenant at all nodes together: Burst requests, refilled at
// PerSecond requests per second. It is unlimited if PerSecond is 0.
type RateLimit struct {
	PerSecond, Burst float64
}

// Unlimited reports whether the limit admits every request.
func (l RateLimit) Unlimited() bool { return l.PerSecond <= 0 }

// TenantSpec is the configuration of a tenant.
type TenantSpec struct {
	Tenant
	Keys []string
}

// keyDigest identifies an API key. Looking up digests instead of keys keeps the duration of a
// lookup independent of how much of a key is correct.
type keyDigest [sha256.Size]byte

// keyLabelBytes is the length of the part of a digest that names a key in logs.
const keyLabelBytes = 4

// KeyLabel returns a label that identifies an API key in logs without revealing it: the first 8
// hexadecimal digits of its SHA-256 digest.
func KeyLabel(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:keyLabelBytes])
}

// tenantIndex finds tenants by key and by name.
type tenantIndex struct {
	byKey  map[keyDigest]*Tenant
	byName map[string]*Tenant
	// conflicts are the labels of keys that several tenants hold, the names that several
	// tenants have, and the names that cannot be sent, quoted.
	conflicts []string
}

// WithTenants returns a copy of the table with the given tenants. Of several tenants with the
// same name or key, the first one has it. Empty names and keys are ignored, and so are tenants
// whose names cannot be sent. If specs is not empty, callers must authenticate even if none of
// the tenants is usable: a faulty list of tenants must not open the routes to everyone.
func (t *Table) WithTenants(specs []TenantSpec) *Table {
	table := *t
	table.tenants = nil
	if len(specs) == 0 {
		return &table
	}
	index := &tenantIndex{byKey: make(map[keyDigest]*Tenant), byName: make(map[string]*Tenant, len(specs))}
	for i := range specs {
		index.add(&specs[i])
	}
	table.tenants = index
	return &table
}

func (x *tenantIndex) add(spec *TenantSpec) {
	if spec.Name == "" {
		return
	}
	if !isFieldValue(spec.Name) {
		x.conflicts = append(x.conflicts, strconv.Quote(spec.Name))
		return
	}
	if x.byName[spec.Name] != nil {
		x.conflicts = append(x.conflicts, spec.Name)
		return
	}
	tenant := spec.Tenant
	x.byName[spec.Name] = &tenant
	for _, key := range spec.Keys {
		if key == "" {
			continue
		}
		digest := keyDigest(sha256.Sum256([]byte(key)))
		if holder := x.byKey[digest]; holder != nil && holder != &tenant {
			x.conflicts = append(x.conflicts, KeyLabel(key))
			continue
		}
		x.byKey[digest] = &tenant
	}
}

// isFieldValue reports whether a name is sent unchanged as the value of a header field. Line breaks
// are sent as blanks and outer blanks are dropped, so that a replica could take the name for that of
// another tenant; other control characters make a message invalid (RFC 9110, section 5.5).
func isFieldValue(name string) bool {
	isControl := func(c rune) bool { return c < ' ' || c == 0x7f }
	return strings.Trim(name, " ") == name && strings.IndexFunc(name, isControl) < 0
}

// HasTenants reports whether the configuration has tenants, so that callers must authenticate.
func (t *Table) HasTenants() bool { return t.tenants != nil }

// Authenticate returns the tenant that holds an API key, or nil.
func (t *Table) Authenticate(key string) *Tenant {
	if t.tenants == nil || key == "" {
		return nil
	}
	return t.tenants.byKey[sha256.Sum256([]byte(key))]
}

// Tenant returns the tenant with a name, or nil.
func (t *Table) Tenant(name string) *Tenant {
	if t.tenants == nil {
		return nil
	}
	return t.tenants.byName[name]
}

// Tenants returns all tenants, in no particular order.
func (t *Table) Tenants() iter.Seq[*Tenant] {
	if t.tenants == nil {
		return func(func(*Tenant) bool) {}
	}
	return maps.Values(t.tenants.byName)
}

// TenantCount returns the number of tenants.
func (t *Table) TenantCount() int {
	if t.tenants == nil {
		return 0
	}
	return len(t.tenants.byName)
}

// KeyCount returns the number of API keys that tenants hold.
func (t *Table) KeyCount() int {
	if t.tenants == nil {
		return 0
	}
	return len(t.tenants.byKey)
}

// TenantConflicts returns the labels of keys that several tenants hold, the names that several
// tenants have, and the names that cannot be sent, quoted.
func (t *Table) TenantConflicts() []string {
	if t.tenants == nil {
		return nil
	}
	return t.tenants.conflicts
}

// TenantChanges counts the differences between the tenants of two tables.
type TenantChanges struct {
	Added, Removed int
	// KeysMoved counts the keys whose tenant has another name than before.
	KeysAdded, KeysRevoked, KeysMoved int
}

// CompareTenants returns the differences between the tenants of two tables. before may be nil.
func CompareTenants(before, after *Table) TenantChanges {
	var changes TenantChanges
	previous, current := before.tenantsOrNone(), after.tenantsOrNone()
	for name := range current.byName {
		if previous.byName[name] == nil {
			changes.Added++
		}
	}
	for name := range previous.byName {
		if current.byName[name] == nil {
			changes.Removed++
		}
	}
	for digest, tenant := range current.byKey {
		switch holder := previous.byKey[digest]; {
		case holder == nil:
			changes.KeysAdded++
		case holder.Name != tenant.Name:
			changes.KeysMoved++
		}
	}
	for digest := range previous.byKey {
		if current.byKey[digest] == nil {
			changes.KeysRevoked++
		}
	}
	return changes
}

func (t *Table) tenantsOrNone() *tenantIndex {
	if t == nil || t.tenants == nil {
		return &tenantIndex{}
	}
	return t.tenants
}

// RegionsFor returns the regions whose replicas may receive a tenant's requests on the route;
// empty means all. It returns false if the regions of the route and those of the tenant have
// none in common. The tenant may be nil.
func (r *Route) RegionsFor(tenant *Tenant) (regions []string, ok bool) {
	if tenant == nil || len(tenant.Regions) == 0 {
		return r.Regions, true
	}
	if len(r.Regions) == 0 {
		return tenant.Regions, true
	}
	for _, region := range r.Regions {
		if slices.Contains(tenant.Regions, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}
