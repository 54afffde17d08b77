package replica

import (
	"cmp"
	"slices"

	"github.com/doorpond/doorpond/internal/topology"
)

// Status describes one replica process for operators.
type Status struct {
	Address     string         `json:"address" msgpack:"a"`
	Incarnation string         `json:"incarnation" msgpack:"n"`
	Group       string         `json:"group" msgpack:"g"`
	Place       topology.Place `json:"place" msgpack:"p"`
	// InFlight is the number of this daemon's requests in flight; Limit is the
	// adaptive concurrency limit.
	InFlight int `json:"in_flight" msgpack:"f"`
	Limit    int `json:"limit" msgpack:"l"`
	// Connections is the number of open connections; ConnectionBudget limits
	// it.
	Connections      int     `json:"connections" msgpack:"c"`
	ConnectionBudget int     `json:"connection_budget" msgpack:"b"`
	LatencyMicros    int64   `json:"latency_us" msgpack:"u"`
	Warmth           float64 `json:"warmth" msgpack:"w"`
	Ejected          bool    `json:"ejected" msgpack:"e"`
}

// Statuses returns the replicas that accept new work, sorted by address.
func (p *Pool) Statuses() []Status {
	now := p.options.Now()
	current := p.current()
	all := make([]Status, 0, len(current.handles))
	for _, handle := range current.handles {
		candidate := handle.candidate(now)
		all = append(all, Status{
			Address: handle.replica.Address, Incarnation: handle.replica.Incarnation,
			Group: handle.replica.Group, Place: handle.replica.Place,
			InFlight: candidate.InFlight, Limit: candidate.Limit,
			Connections: handle.Connections(), ConnectionBudget: int(handle.budget.Load()),
			LatencyMicros: candidate.LatencyEWMA.Microseconds(),
			Warmth:        candidate.Warmth, Ejected: candidate.Ejected,
		})
	}
	slices.SortFunc(all, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return all
}
