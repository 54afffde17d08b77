package soak

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/soak/tenantcheck"
	"github.com/doorpond/doorpond/platform/standin"
)

// steady is the tenant of the requests that check other guarantees. It has no limit, and its key
// stays.
const steady = "steady"

// tenantsByCaller lists the tenants of a zone's callers. Each caller sends some 5 requests per
// second.
var tenantsByCaller = []string{steady, "alder", "alder", "birch", "cedar", "dogwood", "alder", "birch"}

// limits are those of the first configuration, in requests per second: above the usual rates.
var limits = []struct {
	tenant string
	rate   float64
}{{"alder", 70}, {"birch", 50}, {"cedar", 30}, {"dogwood", 30}}

// Parameters of the changes of tenants.
const (
	// droppedRate and droppedBurst are a limit far below the usual rates, raisedFactor is that
	// of a higher one.
	droppedRate, droppedBurst = 4, 2
	raisedFactor              = 2
	// surgeFactor is the rate of a surge as a multiple of the first limit. maxSurgeRate keeps
	// a surge below the capacity of this machine.
	surgeFactor  = 5
	maxSurgeRate = 200
	// surgeClients is the number of callers of a surge.
	surgeClients = 6
)

// keyBook holds the tenants of the newest configuration and the history of their changes.
type keyBook struct {
	mu      sync.Mutex
	tenants []standin.Tenant
	retired []string
	// writes are the changes so far.
	writes []tenantWrite
}

// tenantWrite is a written version of the tenants.
type tenantWrite struct {
	began, acknowledged time.Time // zero for the first version
	tenants             []standin.Tenant
}

// newKey returns a key that no configuration holds.
func newKey() string { return strings.ToLower(crand.Text()) }

func newKeyBook() *keyBook {
	tenants := []standin.Tenant{{Name: steady, Keys: []string{newKey()}}}
	for i, limit := range limits {
		tenant := standin.Tenant{
			Name: limit.tenant, Keys: []string{newKey(), newKey()}, Priority: i % 3, Rate: limit.rate, Burst: limit.rate,
		}
		tenants = append(tenants, tenant)
	}
	// the regions of this tenant include that of the regional route
	tenants[len(tenants)-1].Regions = []string{"region-a", "region-b"}
	return &keyBook{tenants: tenants, writes: []tenantWrite{{tenants: tenants}}}
}

// keysOf returns the keys of a tenant in the newest configuration.
func (b *keyBook) keysOf(name string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.tenants {
		if b.tenants[i].Name == name {
			return b.tenants[i].Keys
		}
	}
	return nil
}

// retiredKey returns a random key that was revoked or moved, or "" if there is none.
func (b *keyBook) retiredKey() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.retired) == 0 {
		return ""
	}
	return b.retired[rand.IntN(len(b.retired))]
}

// steadyKey returns the key of the steady tenant, or "" if the run has no tenants.
func (c *cluster) steadyKey() string {
	if c.keys == nil {
		return ""
	}
	return c.keys.keysOf(steady)[0]
}

// change writes a version of the configuration and records it.
func (c *cluster) change(retired []string, write func() error) error {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	began := time.Now()
	if err := write(); err != nil {
		return err
	}
	acknowledged, tenants := time.Now(), c.deployment.Tenants
	c.keys.mu.Lock()
	defer c.keys.mu.Unlock()
	c.keys.tenants = tenants
	c.keys.retired = append(c.keys.retired, retired...)
	c.keys.writes = append(c.keys.writes, tenantWrite{began, acknowledged, tenants})
	return nil
}

// changeTenants applies a fault of a tenant.
func (c *cluster) changeTenants(ctx context.Context, fault Fault) error {
	defer c.recordFault(fault.Kind, nil)()
	limit := limits[fault.Target%len(limits)]
	other := limits[(fault.Target+1)%len(limits)].tenant
	keys := c.keys.keysOf(limit.tenant)
	key := ""
	if len(keys) > 0 {
		key = keys[fault.Target/len(limits)%len(keys)]
	}
	switch fault.Kind {
	case TenantKeyAdd:
		return c.change(nil, func() error { return c.deployment.AddKey(limit.tenant, newKey()) })
	case TenantKeyRevoke:
		if len(keys) < 2 {
			return c.lockOut(fault, limit.tenant)
		}
		return c.change([]string{key}, func() error { return c.deployment.RevokeKey(key) })
	case TenantKeyMove:
		if len(keys) < 2 {
			return c.change(nil, func() error { return c.deployment.AddKey(limit.tenant, newKey()) })
		}
		return c.change([]string{key}, func() error { return c.deployment.MoveKey(key, other) })
	case TenantLockout:
		return c.lockOut(fault, limit.tenant)
	case TenantLimitDrop:
		return c.change(nil, func() error { return c.deployment.SetLimit(limit.tenant, droppedRate, droppedBurst) })
	case TenantLimitRise:
		rate := raisedFactor * limit.rate
		return c.change(nil, func() error { return c.deployment.SetLimit(limit.tenant, rate, rate) })
	default:
		c.surge(ctx, fault, limit.tenant, min(surgeFactor*limit.rate, maxSurgeRate))
		return nil
	}
}

// lockOut revokes all keys of a tenant and gives it a new one after the fault.
func (c *cluster) lockOut(fault Fault, tenant string) error {
	err := c.change(c.keys.keysOf(tenant), func() error { return c.deployment.RevokeKeys(tenant) })
	if err != nil {
		return err
	}
	time.Sleep(max(fault.For, lockoutLength))
	return c.change(nil, func() error { return c.deployment.AddKey(tenant, newKey()) })
}

// surge sends requests of a tenant at a rate, through all entry nodes or, by the fault's target,
// through one node.
func (c *cluster) surge(ctx context.Context, fault Fault, tenant string, rate float64) {
	run := c.surges.Add(1)
	var clients []*caller
	for number := range surgeClients {
		client := newClient(c, number)
		client.HTTP, client.Sticky = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: surgeClients}}, false
		if fault.Target/len(limits)%2 == 1 {
			client.Pin(c.nodes[fault.Target%len(c.nodes)].settings.Callers)
		}
		clients = append(clients, &caller{client: client, keys: c.keys, tenant: tenant})
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	end := time.Now().Add(fault.For)
	for serial := 0; time.Now().Before(end) && ctx.Err() == nil; serial++ {
		base := clients[serial%len(clients)]
		resolve(ctx, base.client)
		sender := base.fork()
		running.Go(func() { c.record(sender.send(fmt.Sprintf("s%d-%d", run, serial))) })
		<-ticker.C
	}
}

// resolve looks up the nodes once for all forks of a client.
func resolve(ctx context.Context, client *standin.Client) {
	bounded, cancel := context.WithTimeout(ctx, time.Second/2)
	defer cancel()
	_, _ = client.Resolve(bounded) // the forks try again if this fails
}

// caller sends requests of a tenant, or of none if keys is nil.
type caller struct {
	client *standin.Client
	keys   *keyBook
	tenant string
	key    string
	// lostAt is the time at which the tenant lost the key.
	lostAt time.Time
}

// staleKeyTime is how long a caller uses a key that its tenant has lost.
const staleKeyTime = applyTime + 2*time.Second

// Shares of requests with unusual identities.
const (
	noKeyShare      = 0.02
	unknownKeyShare = 0.02
	retiredKeyShare = 0.03
	switchShare     = 0.05
	forgedShare     = 0.1
)

// fork returns a caller with the same client and its own key.
func (s *caller) fork() *caller {
	copied := *s
	copied.client = s.client.Fork()
	return &copied
}

// nextKey returns the key of the next request.
func (s *caller) nextKey() string {
	s.renewKey()
	draw := rand.Float64()
	switch {
	case draw < noKeyShare:
		return ""
	case draw < noKeyShare+unknownKeyShare:
		return newKey()
	case draw < noKeyShare+unknownKeyShare+retiredKeyShare:
		return s.keys.retiredKey()
	default:
		return s.key
	}
}

// renewKey replaces the caller's key some time after its tenant has lost it, and sometimes before.
func (s *caller) renewKey() {
	held := s.keys.keysOf(s.tenant)
	switch {
	case len(held) == 0:
		return
	case slices.Contains(held, s.key):
		s.lostAt = time.Time{}
		if rand.Float64() >= switchShare {
			return
		}
	case s.key == "":
	case s.lostAt.IsZero():
		s.lostAt = time.Now()
		return
	case time.Since(s.lostAt) < staleKeyTime:
		return
	}
	s.key, s.lostAt = held[rand.IntN(len(held))], time.Time{}
}

// send sends a request and returns what the caller observed.
func (s *caller) send(id string) observation {
	if s.keys == nil {
		return request(s.client, id, choosePath())
	}
	s.client.Key, s.client.Scheme = s.nextKey(), []string{"Bearer", "bearer", "BEARER"}[rand.IntN(3)]
	s.client.Header = nil
	if rand.Float64() < forgedShare {
		s.client.Header = standin.ForgedTenant(rand.IntN(len(tenantsByCaller)), steady, s.tenant)
	}
	chosen := choosePath()
	if rand.Float64() < publicShare {
		chosen = public
	}
	return request(s.client, id, chosen)
}

// publicShare is the share of requests on the public route.
const publicShare = 0.1

// names returns the nodes' names by the addresses that callers use.
func (c *cluster) names() map[string]string {
	names := make(map[string]string)
	for _, n := range c.nodes {
		names[n.settings.Callers] = n.settings.Node
	}
	return names
}

// checkTenants checks what callers and replicas observed of tenants.
func (c *checker) checkTenants() {
	if c.cluster.keys == nil {
		return
	}
	c.report.Tenants = true
	c.report.Identity = tenantcheck.Check(c.tenantBounds(), c.tenantRecord())
	for _, finding := range c.report.Identity.Findings {
		c.addFinding("%s", finding)
	}
}

// lostShare is the share of a tenant's requests below its limit that may be refused.
const lostShare = 0.03

// tenantBounds returns the bounds that the nodes have to keep, by their settings.
func (c *checker) tenantBounds() tenantcheck.Bounds {
	bounds := c.cluster.nodes[0].settings.Bounds
	return tenantcheck.Bounds{
		Apply: applyTime, Contact: contactTime, LostShare: lostShare,
		Window: bounds.QuotaWindow, Overage: bounds.QuotaOverage, Slack: bounds.QuotaSlack,
	}
}

// tenantRecord returns what was observed of tenants.
func (c *checker) tenantRecord() tenantcheck.Record {
	names := c.cluster.names()
	record := tenantcheck.Record{Versions: c.tenantVersions()}
	arrivals := c.arrivalsByID()
	for i := range c.seen {
		obs := &c.seen[i]
		record.Requests = append(record.Requests, tenantcheck.Request{
			ID: obs.id, Node: names[obs.response.Node], Sent: c.offset(obs.sent), Ended: c.offset(obs.ended),
			Key: obs.key, Public: obs.path == public, Status: obs.response.Status,
			Challenged: obs.response.Challenged(), Arrivals: arrivals[obs.id],
		})
	}
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	for _, e := range c.cluster.events {
		c.addSpans(&record, e)
	}
	for _, s := range c.cluster.stalls.all() {
		span := tenantcheck.Span{From: c.offset(s.from), Until: c.offset(s.until) + stallEffect}
		record.Disturbances, record.Unsettled = append(record.Disturbances, span), append(record.Unsettled, span)
	}
	return record
}

func (c *checker) offset(at time.Time) time.Duration { return at.Sub(c.cluster.began) }

func (c *checker) tenantVersions() []tenantcheck.Version {
	c.cluster.keys.mu.Lock()
	defer c.cluster.keys.mu.Unlock()
	var versions []tenantcheck.Version
	for i, write := range c.cluster.keys.writes {
		version := tenantcheck.Version{Began: c.offset(write.began), Acknowledged: c.offset(write.acknowledged)}
		if i == 0 { // before the nodes were started
			version.Began, version.Acknowledged = -time.Hour, -time.Hour
		}
		for _, tenant := range write.tenants {
			version.Tenants = append(version.Tenants, tenantcheck.Tenant{
				Name: tenant.Name, Keys: tenant.Keys, Rate: tenant.Rate, Burst: tenant.Burst, Regions: tenant.Regions,
			})
		}
		versions = append(versions, version)
	}
	return versions
}

// arrivalsByID returns the arrivals of each request in the order of time, without those at another
// process than the one addressed.
func (c *checker) arrivalsByID() map[string][]tenantcheck.Arrival {
	arrivals := make(map[string][]tenantcheck.Arrival)
	for _, replica := range c.cluster.observedReplicas() {
		for _, arrival := range replica.ArrivalLog() {
			if arrival.Misdirected {
				continue
			}
			arrivals[arrival.ID] = append(arrivals[arrival.ID], tenantcheck.Arrival{
				At: c.offset(arrival.At), Region: replica.Region(), Executed: arrival.Executed,
				Tenants: arrival.Tenants(), Credentials: len(arrival.Credentials()),
			})
		}
	}
	for _, list := range arrivals {
		slices.SortFunc(list, func(a, b tenantcheck.Arrival) int { return int(a.At - b.At) })
	}
	return arrivals
}

// addSpans adds the times of a fault to a record.
func (c *checker) addSpans(record *tenantcheck.Record, e event) {
	if e.kind >= firstTenantKind || e.kind == Configure || e.kind == HangUpNode {
		return
	}
	span := tenantcheck.Span{From: c.offset(e.from), Until: c.offset(e.until)}
	if e.until.IsZero() {
		span.Until = c.offset(time.Now())
	}
	record.Unsettled = append(record.Unsettled, span)
	if e.node != nil {
		span.Node = e.node.settings.Node
	}
	if e.kind.delaysStoreUpdates() || e.kind == PauseStop || e.kind == PauseDuringChange {
		record.Disturbances = append(record.Disturbances, span)
	}
}
