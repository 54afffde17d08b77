package soak

import (
	"slices"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// budgetWindow is the length of the windows in which the retry budget of a service holds.
const budgetWindow = 10 * time.Second

// serviceLoad is what a service and its callers did, each in the order of time.
type serviceLoad struct {
	// requests are the times of the requests for the service, repeats those of arrivals
	// past the first of a request.
	requests, repeats []time.Time
}

// checkBudgets: in each window, the arrivals past the first of each request are
// within a share of the service's requests and a slack, which are those of the nodes.
func (j *judge) checkBudgets() {
	bounds := j.world.nodes[0].settings.Bounds
	for name, load := range j.load() {
		for _, from := range load.repeats {
			repeats, requests := within(load.repeats, from), load.mostRequests(from)
			if allowed := bounds.RetryRatio*float64(requests) + bounds.RetrySlack; float64(repeats) > allowed {
				j.found("%s received %d arrivals past the first in the %v from %.2f s on, for %d requests; %.0f are allowed",
					name, repeats, budgetWindow, from.Sub(j.world.began).Seconds(), requests, allowed)
				break
			}
		}
	}
}

// mostRequests returns the requests in the window from a time on, in the one before, or in
// the one half a window earlier, whichever has the most.
func (l *serviceLoad) mostRequests(from time.Time) int {
	most := 0
	for _, earlier := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
		most = max(most, within(l.requests, from.Add(-earlier)))
	}
	return most
}

// within counts the times of a sorted list in the window from a time on.
func within(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, from.Add(budgetWindow), time.Time.Compare)
	return last - first
}

// load gathers each service's requests and repeats.
func (j *judge) load() map[string]*serviceLoad {
	loads := make(map[string]*serviceLoad)
	of := func(name string) *serviceLoad {
		if loads[name] == nil {
			loads[name] = &serviceLoad{}
		}
		return loads[name]
	}
	for i := range j.seen {
		one := &j.seen[i]
		for _, service := range one.services() {
			of(service).requests = append(of(service).requests, one.sent)
		}
	}
	for service, arrivals := range j.arrivals() {
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

// arrivals returns what arrived at all replicas of each service, in the order of time,
// also what was meant for another process.
func (j *judge) arrivals() map[string][]standin.Arrival {
	arrivals := make(map[string][]standin.Arrival)
	for _, replica := range j.world.replicas() {
		arrivals[replica.Service()] = append(arrivals[replica.Service()], replica.ArrivalLog()...)
	}
	for _, arrived := range arrivals {
		slices.SortFunc(arrived, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	}
	return arrivals
}

// services returns those that a request was for: where its answer does not tell the number
// of shards, all of them.
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
