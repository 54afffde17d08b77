// Package routing holds the operators' routes as immutable data: which
// requests, told apart by host and path prefix, go to the replicas of which
// groups, and under which policy row. It reads and writes nothing.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/doorpond/doorpond/internal/policy"
)

// WeightedGroup is one part of a split route.
type WeightedGroup struct {
	// Group names the replicas of a plain service.
	Group  string
	Weight float64
}

// Route assigns requests to replica groups and to a policy row.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Policy holds the waits, the retries, the completeness and the priority.
	Policy *policy.Row
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	// Rank is the operators' priority; 0 is the most urgent.
	Rank int
	// Idempotent is true when a request may run more than once.
	Idempotent bool
	// Regions are those whose replicas may take a request; empty means all. A request
	// that must not leave a country reaches no replica beyond it, at any attempt.
	Regions []string
	// WeightedGroups are the plain services that requests are divided among; empty for
	// a scattered route.
	WeightedGroups []WeightedGroup
	// Shards are the groups that each request is scattered over; empty for a
	// plain route.
	Shards []string
	// TopRecords is the number of records in a merged answer.
	TopRecords int
	// MinShards is the least number of shards that make an answer.
	MinShards int
}

// AllowsRegion tells whether the replicas of a region may take the route's requests.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Scattered is true when a request goes to one replica of each shard.
func (r *Route) Scattered() bool { return len(r.Shards) > 0 }

// Service is what the operators state of a replica group.
type Service struct {
	Name string
	// ConnectionLimit is the number of connections that a replica accepts from
	// all nodes together; 0 means that it is not stated.
	ConnectionLimit int
	HealthPath      string
	// ColdDuration is how long a replica is cold after a start, ColdRate the requests a
	// second that it bears meanwhile; 0 means that it is not stated.
	ColdDuration time.Duration
	ColdRate     float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is every route at one version. It is immutable once published.
type Table struct {
	// Version grows with each accepted change.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route
	// allowedRegions has the regions of the hosts with a route that is bound to some.
	allowedRegions map[string][]string
}

// NewTable indexes routes by host, longest path prefix first.
func NewTable(version uint64, routes []Route, services map[string]Service, limits Limits) *Table {
	table := &Table{Version: version, Routes: routes, Services: services, Limits: limits}
	table.byHost = make(map[string][]*Route)
	table.allowedRegions = make(map[string][]string)
	for i := range routes {
		route := &routes[i]
		table.byHost[route.Host] = insertByPrefix(table.byHost[route.Host], route)
		if len(route.Regions) > 0 {
			table.restrictRegions(route)
		}
	}
	return table
}

// restrictRegions leaves those regions of a host that one of its routes allows as well.
func (t *Table) restrictRegions(route *Route) {
	regions, bound := t.allowedRegions[route.Host]
	if !bound {
		regions = route.Regions
	}
	common := make([]string, 0, len(regions))
	for _, region := range regions {
		if route.AllowsRegion(region) {
			common = append(common, region)
		}
	}
	t.allowedRegions[route.Host] = common
}

// AllowedRegions returns the regions that all bound routes of a host allow; bound is
// false when no route of the host is bound to regions.
func (t *Table) AllowedRegions(host string) (regions []string, bound bool) {
	regions, bound = t.allowedRegions[canonicalHost(host)]
	return regions, bound
}

func insertByPrefix(routes []*Route, route *Route) []*Route {
	at := len(routes)
	for at > 0 && len(routes[at-1].PathPrefix) < len(route.PathPrefix) {
		at--
	}
	routes = append(routes, nil)
	copy(routes[at+1:], routes[at:])
	routes[at] = route
	return routes
}

// Match returns the route of a host with the longest prefix of a path, or nil.
// A port in the host is ignored, and so is its case.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Groups returns every replica group that a route names, each once.
func (t *Table) Groups() map[string]bool {
	groups := make(map[string]bool)
	for i := range t.Routes {
		for _, group := range t.Routes[i].Shards {
			groups[group] = true
		}
		for _, share := range t.Routes[i].WeightedGroups {
			groups[share.Group] = true
		}
	}
	return groups
}
