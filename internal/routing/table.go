// Package routing holds the configured routes as immutable data. A route maps requests,
// matched by host and path prefix, to replica groups and a policy row. The package does
// no I/O.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/doorpond/doorpond/internal/policy"
)

// WeightedGroup is a replica group with its weight in a traffic split.
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
	// Policy defines timeouts, retries, completeness and priority.
	Policy *policy.Row
	// Objective is the latency objective of an answer.
	Objective time.Duration
	// Rank is the configured priority; 0 is the highest.
	Rank int
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Regions are the regions whose replicas may receive requests, at any attempt;
	// empty means all. They enforce data residency.
	Regions []string
	// WeightedGroups are the groups that requests are split among; empty for a
	// scattered route.
	WeightedGroups []WeightedGroup
	// Shards are the groups that each request is scattered to; empty for a plain
	// route.
	Shards []string
	// TopRecords is the number of records in a merged answer.
	TopRecords int
	// MinShards is the minimum number of shards that an answer needs.
	MinShards int
	// Public is true if callers need no API key.
	Public bool
}

// AllowsRegion reports whether replicas of a region may receive the route's requests.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Scattered reports whether each request goes to one replica of every shard.
func (r *Route) Scattered() bool { return len(r.Shards) > 0 }

// Service is the configuration of a replica group.
type Service struct {
	Name string
	// ConnectionLimit is the number of connections that a replica accepts from all
	// nodes together; 0 if not configured.
	ConnectionLimit int
	HealthPath      string
	// ColdDuration is how long a replica is cold after a start, ColdRate the requests
	// per second that it can handle while cold; 0 if not configured.
	ColdDuration time.Duration
	ColdRate     float64
}

// Limits bounds callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table holds all routes at one version. It must not be modified after publication.
type Table struct {
	// Version increases with each accepted change.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route
	// hostRegions holds the hosts with at least one region-restricted route.
	hostRegions map[string][]string
	// tenants is nil if the configuration has none.
	tenants *tenantIndex
}

// NewTable returns a Table that indexes routes by host, longest path prefix first.
func NewTable(version uint64, routes []Route, services map[string]Service, limits Limits) *Table {
	table := &Table{Version: version, Routes: routes, Services: services, Limits: limits}
	table.byHost = make(map[string][]*Route)
	table.hostRegions = make(map[string][]string)
	for i := range routes {
		route := &routes[i]
		table.byHost[route.Host] = insertByPrefix(table.byHost[route.Host], route)
		if len(route.Regions) > 0 {
			table.restrictRegions(route)
		}
	}
	return table
}

// restrictRegions intersects the allowed regions of a route's host with those of the
// route.
func (t *Table) restrictRegions(route *Route) {
	regions, restricted := t.hostRegions[route.Host]
	if !restricted {
		regions = route.Regions
	}
	common := make([]string, 0, len(regions))
	for _, region := range regions {
		if route.AllowsRegion(region) {
			common = append(common, region)
		}
	}
	t.hostRegions[route.Host] = common
}

// HostRegions returns the regions that all region-restricted routes of a host allow.
// restricted is false if the host has no such route.
func (t *Table) HostRegions(host string) (regions []string, restricted bool) {
	regions, restricted = t.hostRegions[canonicalHost(host)]
	return regions, restricted
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

// Match returns the route of a host with the longest matching path prefix, or nil. The
// host is matched without its port and regardless of case.
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

// Groups returns the set of replica groups that routes refer to.
func (t *Table) Groups() map[string]bool {
	groups := make(map[string]bool)
	for i := range t.Routes {
		for _, group := range t.Routes[i].Shards {
			groups[group] = true
		}
		for _, weighted := range t.Routes[i].WeightedGroups {
			groups[weighted.Group] = true
		}
	}
	return groups
}
