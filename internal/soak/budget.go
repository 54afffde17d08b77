package soak

import (
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// The retry budget of a service, which is that of the nodes' settings.
const (
	budgetWindow = 10
	budgetRatio  = 0.2
	budgetSlack  = 50
)

// second is what a service and its callers did in one second.
type second struct {
	requests, extra int
}

// checkBudgets: in each window, the arrivals past the first of each request are
// within a share of the service's requests and a slack.
func (j *judge) checkBudgets() {
	for name, seconds := range j.load() {
		for at := range seconds {
			extra, asked := 0, 0
			for i := at; i < min(at+budgetWindow, len(seconds)); i++ {
				extra += seconds[i].extra
			}
			// the window, the one before, or the one half a window earlier
			for _, earlier := range []int{0, budgetWindow / 2, budgetWindow} {
				sum := 0
				for i := max(0, at-earlier); i < min(at-earlier+budgetWindow, len(seconds)); i++ {
					sum += seconds[i].requests
				}
				asked = max(asked, sum)
			}
			if allowed := budgetRatio*float64(asked) + budgetSlack; float64(extra) > allowed {
				j.found("%s received %d arrivals past the first in the %d s from %d s on, %.0f are allowed", name, extra, budgetWindow, at, allowed)
				break
			}
		}
	}
}

// load sums up each service's requests and extra arrivals by second.
func (j *judge) load() map[string][]second {
	length := int(time.Since(j.world.began).Seconds()) + 1
	loads := make(map[string][]second)
	of := func(name string) []second {
		if loads[name] == nil {
			loads[name] = make([]second, length)
		}
		return loads[name]
	}
	at := func(when time.Time) int { return min(max(0, int(when.Sub(j.world.began).Seconds())), length-1) }
	for i := range j.seen {
		one := &j.seen[i]
		if !one.path.isScattered() {
			of(standin.PlainService)[at(one.sent)].requests++
			continue
		}
		for shard := range shards {
			of(standin.ShardService(shard))[at(one.sent)].requests++
		}
	}
	first := make(map[string]bool)
	for _, replica := range j.world.replicas() {
		for _, arrival := range replica.Log() {
			key := replica.Service() + " " + arrival.ID
			if first[key] {
				of(replica.Service())[at(arrival.At)].extra++
			}
			first[key] = true
		}
	}
	return loads
}
