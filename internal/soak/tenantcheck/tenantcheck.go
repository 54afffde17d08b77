// Package tenantcheck checks, from what callers and replicas observed, that nodes authenticate
// callers and limit tenants as the configuration says. It does no I/O; all times are offsets from
// the start of a run.
package tenantcheck

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

// Tenant is a tenant in a version of the configuration.
type Tenant struct {
	Name string
	Keys []string
	// Rate is in requests per second, Burst in requests. A rate of 0 means no limit.
	Rate, Burst float64
	// Regions are the regions that may serve the tenant; empty means all.
	Regions []string
}

// Version is a version of the configuration.
type Version struct {
	// Began and Acknowledged are the times of the write. A node may act on the version as soon
	// as the write has begun.
	Began, Acknowledged time.Duration
	Tenants             []Tenant
}

// Arrival is a request, or its part for one shard, as received by a replica.
type Arrival struct {
	At time.Duration
	// Region is the region of the replica.
	Region string
	// Executed is true if the replica ran the request.
	Executed bool
	// Tenants are the values of the header that names the tenant, and Credentials is the
	// number of values of the header that holds the key.
	Tenants     []string
	Credentials int
}

// Request is a request as observed by its caller, with its arrivals in the order of time.
type Request struct {
	ID string
	// Node is the node that the request was sent to.
	Node        string
	Sent, Ended time.Duration
	// Key is the caller's API key, or "" if it sent none.
	Key string
	// Public is true for the routes that need no key.
	Public bool
	// Status is 0 if the caller got no answer.
	Status int
	// Challenged is true if the answer tells how to authenticate.
	Challenged bool
	Arrivals   []Arrival
}

// Span is a disturbance: a time in which a node, or all nodes if Node is empty, may not learn of
// new versions.
type Span struct {
	Node        string
	From, Until time.Duration
}

func (s *Span) overlaps(from, until time.Duration) bool { return s.From <= until && s.Until >= from }

// Bounds are the bounds that the nodes have to keep.
type Bounds struct {
	// Apply is the time within which a version is in force on nodes in contact.
	Apply time.Duration
	// Contact is how long a node must have been undisturbed to be in contact.
	Contact time.Duration
	// Window, Overage and Slack bound the requests of a tenant that run in any window. A Window
	// of 0 means that nodes do not limit tenants.
	Window         time.Duration
	Overage, Slack float64
	// LostShare is the share of the requests below the limit that may be refused.
	LostShare float64
}

// Record is what was observed in a run.
type Record struct {
	// Versions are in the order in which they were written.
	Versions []Version
	Requests []Request
	// Disturbances keep nodes from learning of versions. Unsettled are the times in which
	// refusals are not judged, because nodes or replicas were disturbed.
	Disturbances, Unsettled []Span
}

// Result is the outcome of the checks.
type Result struct {
	Findings []string
	// Owed counts the requests below their tenant's limit in settled times, and Lost those of
	// them that were refused.
	Owed, Lost int
	// Limited counts all refusals with 429 of tenants with a limit.
	Limited int
	// Fullest is the greatest share of the allowed requests that ran in a window.
	Fullest float64
}

// Check runs all checks.
func Check(bounds Bounds, record Record) Result {
	c := &checker{bounds: bounds, record: record}
	for i := range record.Requests {
		c.checkRequest(&record.Requests[i])
	}
	if bounds.Window > 0 {
		c.checkWindows()
		c.checkRefusals()
	}
	return c.result
}

type checker struct {
	bounds Bounds
	record Record
	result Result
}

func (c *checker) addFinding(format string, arguments ...any) {
	for i, argument := range arguments {
		if at, isTime := argument.(time.Duration); isTime {
			arguments[i] = at.Round(time.Millisecond)
		}
	}
	c.result.Findings = append(c.result.Findings, fmt.Sprintf(format, arguments...))
}

// inContact reports whether a node has been undisturbed for long enough at a time.
func (c *checker) inContact(node string, at time.Duration) bool {
	return !slices.ContainsFunc(c.record.Disturbances, func(s Span) bool {
		return (s.Node == "" || s.Node == node) && s.overlaps(at-c.bounds.Contact, at)
	})
}

// possible returns the versions that may be in force on a node at some time of a span: on a node
// in contact, none that another version replaced longer ago than the bound.
func (c *checker) possible(node string, from, until time.Duration) []*Version {
	var found []*Version
	contact := c.inContact(node, from)
	for i := range c.record.Versions {
		version := &c.record.Versions[i]
		if version.Began > until {
			break
		}
		if contact && version.Acknowledged+c.bounds.Apply <= from {
			found = found[:0]
		}
		found = append(found, version)
	}
	return found
}

// holder returns the tenant that holds a key in a version, or nil.
func (v *Version) holder(key string) *Tenant {
	if key == "" {
		return nil
	}
	for i := range v.Tenants {
		if slices.Contains(v.Tenants[i].Keys, key) {
			return &v.Tenants[i]
		}
	}
	return nil
}

func (v *Version) tenant(name string) *Tenant {
	for i := range v.Tenants {
		if v.Tenants[i].Name == name {
			return &v.Tenants[i]
		}
	}
	return nil
}

// holders returns the names of a key's holders in some versions; "" stands for none.
func holders(versions []*Version, key string) []string {
	var names []string
	for _, version := range versions {
		name := ""
		if holder := version.holder(key); holder != nil {
			name = holder.Name
		}
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func (c *checker) checkRequest(request *Request) {
	c.checkArrivals(request)
	executed := slices.ContainsFunc(request.Arrivals, func(a Arrival) bool { return a.Executed })
	switch request.Status {
	case http.StatusUnauthorized:
		allowed := holders(c.possible(request.Node, request.Sent, request.Ended), request.Key)
		if request.Public || !slices.Contains(allowed, "") {
			c.addFinding("%s at %v: refused with 401 by %s, though %s", request.ID, request.Sent, request.Node, describeKey(request, allowed))
		}
		if !request.Challenged {
			c.addFinding("%s at %v: refused with 401 without a challenge", request.ID, request.Sent)
		}
		if executed {
			c.addFinding("%s at %v: refused with 401 and ran", request.ID, request.Sent)
		}
	case http.StatusForbidden, http.StatusNotFound:
		c.addFinding("%s at %v: refused with %d, though its route exists", request.ID, request.Sent, request.Status)
	case http.StatusTooManyRequests:
		if executed {
			c.addFinding("%s at %v: refused with 429 and ran", request.ID, request.Sent)
		}
	}
}

// describeKey describes a request's key and its holders without revealing it.
func describeKey(request *Request, holders []string) string {
	if request.Key == "" {
		return "it has no key"
	}
	return fmt.Sprintf("key %s is held by %q in the versions that may be in force", routing.KeyLabel(request.Key), holders)
}

// checkArrivals checks what replicas received of a request. One finding per request suffices.
func (c *checker) checkArrivals(request *Request) {
	for i := range request.Arrivals {
		arrival := &request.Arrivals[i]
		if arrival.Credentials > 0 {
			c.addFinding("%s at %v: a replica received a key from %s", request.ID, arrival.At, request.Node)
			return
		}
		if len(arrival.Tenants) > 1 {
			c.addFinding("%s at %v: a replica received %d tenants from %s", request.ID, arrival.At, len(arrival.Tenants), request.Node)
			return
		}
		versions := c.possible(request.Node, request.Sent, arrival.At)
		allowed := holders(versions, request.Key)
		if !request.Public {
			allowed = slices.DeleteFunc(allowed, func(name string) bool { return name == "" })
		}
		name := arrival.tenant()
		if !slices.Contains(allowed, name) {
			c.addFinding("%s at %v: passed on by %s for tenant %q, though %s", request.ID, request.Sent, request.Node, name, describeKey(request, allowed))
			return
		}
		if first := request.Arrivals[0].tenant(); name != first {
			c.addFinding("%s at %v: passed on by %s for tenant %q and for %q", request.ID, request.Sent, request.Node, first, name)
			return
		}
		if name != "" && !mayServe(versions, name, arrival.Region) {
			c.addFinding("%s at %v: %s passed a request of %q on to %s", request.ID, arrival.At, request.Node, name, arrival.Region)
			return
		}
	}
}

func (a *Arrival) tenant() string {
	if len(a.Tenants) == 0 {
		return ""
	}
	return a.Tenants[0]
}

// mayServe reports whether a region may serve a tenant in one of some versions.
func mayServe(versions []*Version, name, region string) bool {
	return slices.ContainsFunc(versions, func(version *Version) bool {
		tenant := version.tenant(name)
		return tenant != nil && (len(tenant.Regions) == 0 || slices.Contains(tenant.Regions, region))
	})
}
