package tenantcheck

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"
)

// execution is a request of a tenant that ran.
type execution struct {
	sent, began time.Duration
	node        string
}

// executions returns the requests that ran, by tenant and in the order in which they were sent.
func (c *checker) executions() map[string][]execution {
	found := make(map[string][]execution)
	for i := range c.record.Requests {
		request := &c.record.Requests[i]
		first := slices.IndexFunc(request.Arrivals, func(a Arrival) bool { return a.Executed })
		if first < 0 || request.Arrivals[first].tenant() == "" {
			continue
		}
		name := request.Arrivals[first].tenant()
		found[name] = append(found[name], execution{request.Sent, request.Arrivals[first].At, request.Node})
	}
	for _, list := range found {
		slices.SortFunc(list, func(a, b execution) int { return cmp.Compare(a.sent, b.sent) })
	}
	return found
}

// checkWindows checks that in no window more requests of a tenant are both sent and run than the
// bound allows. A window that breaks the bound also breaks it when it starts with a request. Of a
// tenant's windows over the bound, which overlap, only the fullest is a finding.
func (c *checker) checkWindows() {
	for name, list := range c.executions() {
		var worst window
		for i, first := range list {
			w := window{from: first.sent, nodes: make(map[string]int)}
			end := first.sent + c.bounds.Window
			for _, each := range list[i:] {
				if each.sent > end {
					break
				}
				if each.began <= end {
					w.count++
					w.nodes[each.node]++
				}
			}
			w.allowed = c.allowed(name, first.sent, end)
			if w.share() > worst.share() {
				worst = w
			}
		}
		c.result.Fullest = max(c.result.Fullest, worst.share())
		if worst.share() > 1 {
			c.addFinding("%d requests of %q ran in the %v from %v on, of %.0f allowed: %s",
				worst.count, name, c.bounds.Window, worst.from, worst.allowed, formatNodes(worst.nodes))
		}
	}
}

// window holds the requests of a tenant that ran in one window.
type window struct {
	from    time.Duration
	count   int
	nodes   map[string]int
	allowed float64
}

// share returns the requests as a share of what is allowed.
func (w window) share() float64 {
	if w.count == 0 {
		return 0
	}
	return float64(w.count) / w.allowed
}

// allowed returns the number of a tenant's requests that may run in a window: by the highest limit
// of the versions that may be in force. A replaced version counts until one window after the next
// one is in force on all nodes. Requests of a tenant that no version has are findings of their own.
func (c *checker) allowed(name string, from, until time.Duration) float64 {
	most := 0.0
	for i := range c.record.Versions {
		version := &c.record.Versions[i]
		if version.Began > until {
			break
		}
		if i+1 < len(c.record.Versions) && c.inForceEverywhere(i+1)+c.bounds.Window <= from {
			continue
		}
		tenant := version.tenant(name)
		if tenant == nil {
			continue
		}
		if tenant.Rate <= 0 {
			return math.Inf(1)
		}
		most = max(most, (tenant.Rate*c.bounds.Window.Seconds()+tenant.Burst)*(1+c.bounds.Overage)+c.bounds.Slack)
	}
	if most == 0 {
		return math.Inf(1)
	}
	return most
}

// inForceEverywhere returns the time at which a version, or a later one, must be in force on all
// nodes. Disturbances prolong it until the nodes have been in contact again.
func (c *checker) inForceEverywhere(number int) time.Duration {
	written := c.record.Versions[number].Acknowledged
	due := written + c.bounds.Apply
	for extended := true; extended; {
		extended = false
		for i := range c.record.Disturbances {
			span := &c.record.Disturbances[i]
			if again := span.Until + c.bounds.Contact; span.overlaps(written-c.bounds.Contact, due) && again > due {
				due, extended = again, true
			}
		}
	}
	return due
}

// account is the exact token bucket of a tenant, charged at the times at which requests are sent.
type account struct {
	tokens  float64
	updated time.Duration
	started bool
}

// refill brings the balance up to date by the limit that is in force. It may be negative, when
// more was admitted than is owed.
func (a *account) refill(at time.Duration, rate, burst float64) {
	if !a.started || math.IsInf(rate, 1) {
		*a = account{tokens: burst, updated: at, started: true}
		return
	}
	a.tokens = min(burst, a.tokens+rate*max(0, at-a.updated).Seconds())
	a.updated = max(a.updated, at)
}

// checkRefusals checks that few requests are refused with 429 while the exact token bucket of
// their tenant has a token. Each token counts once: it is taken by the request that is admitted or
// by the one that is wrongly refused, so that it does not matter which of several simultaneous
// requests of a tenant at its limit is admitted.
func (c *checker) checkRefusals() {
	accounts := make(map[string]*account)
	requests := slices.Clone(c.record.Requests)
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.Sent, b.Sent) })
	lost, owed := make(map[string]*lostRequests), make(map[string]int)
	for i := range requests {
		request := &requests[i]
		versions := c.possible(request.Node, request.Sent, request.Ended)
		name, judged := chargedTenant(request, holders(versions, request.Key))
		if name == "" {
			continue
		}
		rate, burst := lowestLimit(versions, name)
		if accounts[name] == nil {
			accounts[name] = &account{}
		}
		accounts[name].refill(request.Sent, rate, burst)
		refused := request.Status == http.StatusTooManyRequests
		if refused && !math.IsInf(rate, 1) {
			c.result.Limited++
		}
		if refused && accounts[name].tokens < 1 {
			continue
		}
		accounts[name].tokens--
		if !judged || !c.settled(request) {
			continue
		}
		owed[name]++
		if lost[name] == nil {
			lost[name] = &lostRequests{nodes: make(map[string]int)}
		}
		if refused {
			lost[name].add(request)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(owed)) {
		count := lost[name].count
		c.result.Owed, c.result.Lost = c.result.Owed+owed[name], c.result.Lost+count
		if float64(count) > c.bounds.LostShare*float64(owed[name]) {
			c.addFinding("%d of the %d requests of %q that were below its limit got 429: %v", count, owed[name], name, lost[name])
		}
	}
}

// lostRequests are the requests of a tenant that were wrongly refused.
type lostRequests struct {
	count       int
	first, last time.Duration
	nodes       map[string]int
}

// add adds a request. Requests are added in the order in which they were sent.
func (l *lostRequests) add(request *Request) {
	if l.count == 0 {
		l.first = request.Sent
	}
	l.count, l.last = l.count+1, request.Sent
	l.nodes[request.Node]++
}

// String returns when the requests were sent, and how many to which node.
func (l *lostRequests) String() string {
	return fmt.Sprintf("sent from %v to %v, %s", l.first, l.last, formatNodes(l.nodes))
}

// formatNodes returns the number of requests that were sent to each node.
func formatNodes(counts map[string]int) string {
	var nodes []string
	for _, node := range slices.Sorted(maps.Keys(counts)) {
		nodes = append(nodes, fmt.Sprintf("%s %d", node, counts[node]))
	}
	return strings.Join(nodes, ", ")
}

// chargedTenant returns the tenant that a request was charged to, or "" if that cannot be told. While
// a key changes its holder, it is told by the tenant that the replica was named; whether that is one
// of the possible holders is checked elsewhere. judged is false for such requests.
func chargedTenant(request *Request, possible []string) (name string, judged bool) {
	switch {
	case !chargeable(request):
		return "", false
	case len(possible) == 1:
		return possible[0], true
	}
	ran := slices.IndexFunc(request.Arrivals, func(a Arrival) bool { return a.Executed })
	if ran < 0 {
		return "", false
	}
	return request.Arrivals[ran].tenant(), false
}

// chargeable reports whether a request was admitted or refused because of a limit, as far as its
// caller can tell. 401 and 503 come before, or give the token back.
func chargeable(request *Request) bool {
	return request.Status != http.StatusUnauthorized && request.Status != http.StatusServiceUnavailable &&
		(request.Status != 0 || len(request.Arrivals) > 0)
}

// lowestLimit returns the lowest limit of a tenant in some versions; infinite if it has none.
func lowestLimit(versions []*Version, name string) (rate, burst float64) {
	rate, burst = math.Inf(1), math.Inf(1)
	for _, version := range versions {
		if tenant := version.tenant(name); tenant != nil && tenant.Rate > 0 {
			rate, burst = min(rate, tenant.Rate), min(burst, tenant.Burst)
		}
	}
	return rate, burst
}

// settled reports whether the refusal of a request is judged.
func (c *checker) settled(request *Request) bool {
	return !slices.ContainsFunc(c.record.Unsettled, func(s Span) bool {
		return s.overlaps(request.Sent-c.bounds.Contact, request.Ended)
	})
}
