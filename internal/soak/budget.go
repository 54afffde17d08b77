package soak

import (
	"slices"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// budgetWindow is the window over which a service's retry budget is checked.
const budgetWindow = 10 * time.Second

// serviceLoad holds a service's traffic, each list sorted by time.
type serviceLoad struct {
	// requests are the send times of the service's requests; repeats are the
	// arrivals after the first of each request.
	requests, repeats []time.Time
}

// checkBudgets checks that in each window the repeated arrivals stay within the
// nodes' retry ratio and slack.
func (c *checker) checkBudgets() {
	bounds := c.cluster.nodes[0].settings.Bounds
	for name, load := range c.load() {
		for _, from := range load.repeats {
			repeats, requests := within(load.repeats, from), load.maxRequests(from)
			if allowed := bounds.RetryRatio*float64(requests) + bounds.RetrySlack; float64(repeats) > allowed {
				c.addFinding("%s received %d arrivals past the first in the %v from %.2f s on, for %d requests; %.0f are allowed",
					name, repeats, budgetWindow, from.Sub(c.cluster.began).Seconds(), requests, allowed)
				break
			}
		}
	}
}

// maxRequests returns the highest request count among the window at from, the
// preceding window, and the one half a window earlier.
func (l *serviceLoad) maxRequests(from time.Time) int {
	most := 0
	for _, earlier := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
		most = max(most, within(l.requests, from.Add(-earlier)))
	}
	return most
}

// within counts the times in the window that starts at from.
func within(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, from.Add(budgetWindow), time.Time.Compare)
	return last - first
}

func (c *checker) load() map[string]*serviceLoad {
	loads := make(map[string]*serviceLoad)
	of := func(name string) *serviceLoad {
		if loads[name] == nil {
			loads[name] = &serviceLoad{}
		}
		return loads[name]
	}
	for i := range c.seen {
		obs := &c.seen[i]
		for _, service := range obs.services() {
			of(service).requests = append(of(service).requests, obs.sent)
		}
	}
	for service, arrivals := range c.arrivals() {
		arrived := make(map[string]bool)
		for _, arrival := range arrivals {
			if arrived[arrival.ID] {
				of(service).repeats = append(of(service).repeats, arrival.At)
			}
			arrived[arrival.ID] = true
		}
	}
	for _, load := range loads {
		slices.SortFunc(load.requests, time.Time.Compare)
	}
	return loads
}

// arrivals returns each service's arrivals sorted by time, including misdirected
// ones.
func (c *checker) arrivals() map[string][]standin.Arrival {
	arrivals := make(map[string][]standin.Arrival)
	for _, replica := range c.cluster.replicas() {
		arrivals[replica.Service()] = append(arrivals[replica.Service()], replica.ArrivalLog()...)
	}
	for _, arrived := range arrivals {
		slices.SortFunc(arrived, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	}
	return arrivals
}

// services returns the services that the request was for; all shards if the
// response does not tell their number.
func (o *observation) services() []string {
	if !o.path.isScattered() {
		return []string{standin.PlainService}
	}
	count := len(o.response.Parts) + o.response.Missing
	if count == 0 {
		count = shards
	}
	var services []string
	for shard := range count {
		services = append(services, standin.ShardService(shard))
	}
	return services
}
