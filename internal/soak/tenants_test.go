package soak

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// newTenantCluster returns a cluster without node processes, but with tenants.
func newTenantCluster(t *testing.T) *cluster {
	t.Helper()
	c := newTestCluster(t)
	c.keys = newKeyBook()
	for _, tenant := range c.keys.tenants {
		if err := c.deployment.AddTenant(tenant); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// tenantHeader returns a header that names a tenant.
func tenantHeader(tenant string) http.Header { return standin.ForgedTenant(1, tenant) }

func withKey(seen observation, key string) observation {
	seen.key = key
	return seen
}

// Guards against identities, faults and changes that the soak observes but does not pass on to
// the check of tenants.
func TestCheckerFindsTenants(t *testing.T) {
	cases := []struct {
		name string
		act  func(t *testing.T, c *cluster, checker *checker)
		want string // substring of the only finding; empty if none is expected
	}{
		{"holder of the key", func(t *testing.T, c *cluster, checker *checker) {
			sent := answered("r", plain, http.StatusBadGateway)
			sendWith(t, c, plainReplica, "r", "", tenantHeader("alder"))
			checker.record(withKey(sent, c.keys.keysOf("alder")[0]))
		}, ""},
		{"another tenant", func(t *testing.T, c *cluster, checker *checker) {
			sent := answered("r", plain, http.StatusBadGateway)
			sendWith(t, c, plainReplica, "r", "", tenantHeader("birch"))
			checker.record(withKey(sent, c.keys.keysOf("alder")[0]))
		}, `r at `},
		{"public route without a key", func(t *testing.T, c *cluster, checker *checker) {
			sent := answered("r", public, http.StatusBadGateway)
			sendArrival(t, c, plainReplica, "r")
			checker.record(sent)
		}, ""},
		{"401 without a challenge", func(_ *testing.T, _ *cluster, checker *checker) {
			checker.record(answered("r", plain, http.StatusUnauthorized))
		}, "without a challenge"},
		{"401 in the calm", func(_ *testing.T, _ *cluster, checker *checker) {
			checker.expectHealthyFrom(time.Now().Add(-time.Second))
			seen := answered("r", plain, http.StatusUnauthorized)
			seen.response.Header.Set("Www-Authenticate", "Bearer")
			checker.record(seen)
		}, ""},
		{"revoked key", func(t *testing.T, c *cluster, checker *checker) {
			sendRevoked(t, c, checker)
		}, `passed on by n0 for tenant "alder"`},
		{"revoked key, node paused", func(t *testing.T, c *cluster, checker *checker) {
			c.recordFault(PauseNode, c.nodes[0])()
			sendRevoked(t, c, checker)
		}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newTenantCluster(t)
			checker := newChecker(c)
			test.act(t, c, checker)
			report := checker.finish()
			switch {
			case test.want == "" && len(report.Findings) > 0:
				t.Errorf("findings %q", report.Findings)
			case test.want != "" && (len(report.Findings) != 1 || !strings.Contains(report.Findings[0], test.want)):
				t.Errorf("findings %q, want one with %q", report.Findings, test.want)
			}
		})
	}
}

// sendRevoked runs a request with a key that was revoked longer ago than the bound.
func sendRevoked(t *testing.T, c *cluster, checker *checker) {
	t.Helper()
	key := c.keys.keysOf("alder")[0]
	if err := c.change([]string{key}, func() error { return c.deployment.RevokeKey(key) }); err != nil {
		t.Fatal(err)
	}
	write := &c.keys.writes[len(c.keys.writes)-1]
	write.began, write.acknowledged = write.began.Add(-applyTime), write.acknowledged.Add(-applyTime)
	sent := answered("r", plain, http.StatusBadGateway)
	sendWith(t, c, plainReplica, "r", "", tenantHeader("alder"))
	checker.record(withKey(sent, key))
}

// Guards against callers that give up a key before nodes have had to refuse it, or never.
func TestCallerRenewsKey(t *testing.T) {
	c := newTenantCluster(t)
	sender := &caller{keys: c.keys, tenant: "alder"}
	sender.renewKey()
	first := sender.key
	if !slices.Contains(c.keys.keysOf("alder"), first) {
		t.Fatal("the first key is not the tenant's")
	}
	if err := c.change([]string{first}, func() error { return c.deployment.RevokeKey(first) }); err != nil {
		t.Fatal(err)
	}
	sender.renewKey()
	if sender.key != first {
		t.Error("the caller gave up its key at once")
	}
	sender.lostAt = sender.lostAt.Add(-staleKeyTime)
	sender.renewKey()
	if sender.key == first || !slices.Contains(c.keys.keysOf("alder"), sender.key) {
		t.Error("the caller kept a key that its tenant has lost")
	}
	if c.keys.retiredKey() != first {
		t.Error("the revoked key is not used any more")
	}
}

// Guards against faults that do not change what they name.
func TestTenantFaults(t *testing.T) {
	const target = 0 // alder, its first key; moved to birch
	c := newTenantCluster(t)
	before := c.keys.keysOf("alder")
	apply := func(kind Kind) {
		t.Helper()
		if err := c.changeTenants(t.Context(), Fault{Kind: kind, Target: target}); err != nil {
			t.Fatal(err)
		}
	}
	apply(TenantKeyAdd)
	if held := c.keys.keysOf("alder"); len(held) != 3 {
		t.Errorf("%d keys after one was added to 2", len(held))
	}
	apply(TenantKeyMove)
	if !slices.Contains(c.keys.keysOf("birch"), before[0]) || slices.Contains(c.keys.keysOf("alder"), before[0]) {
		t.Error("a key was not moved")
	}
	apply(TenantKeyRevoke)
	if slices.Contains(c.keys.keysOf("alder"), before[1]) || len(c.keys.keysOf("alder")) != 1 {
		t.Error("a key was not revoked")
	}
	apply(TenantLimitDrop)
	if tenant := c.deployment.Tenants[1]; tenant.Rate != droppedRate || tenant.Burst != droppedBurst {
		t.Errorf("a dropped limit of %v and %v", tenant.Rate, tenant.Burst)
	}
	apply(TenantLimitRise)
	if tenant := c.deployment.Tenants[1]; tenant.Rate != raisedFactor*limits[0].rate {
		t.Errorf("a raised limit of %v", tenant.Rate)
	}
	if len(c.keys.writes) != 6 {
		t.Errorf("%d recorded versions of 6", len(c.keys.writes))
	}
}
