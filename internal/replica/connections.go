package replica

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/topology"
)

const (
	// connectionReserve is the fraction of a replica's connection limit kept
	// free for daemons that are not known yet.
	connectionReserve = 0.1
	// maxReplicasPerDaemon limits how many replicas of a group a daemon
	// connects to when there are not enough connections for all daemons.
	maxReplicasPerDaemon = 4
)

// ConnectionPlan divides the connections to replicas among the daemons. It is a
// pure function of the member list, so daemons with the same list compute the
// same plan.
type ConnectionPlan struct {
	self     topology.Member
	selfZone int
	selfRank int // index among the daemons of its zone
	zones    []planZone
	daemons  int
	// distances caches the distance from each zone to a place.
	distances map[topology.Place][]topology.Distance
}

// planZone lists the daemons of one zone, ordered by the hash of their IDs.
type planZone struct {
	place   topology.Place
	daemons []topology.Member
	hashes  []uint64 // of the daemons' IDs
}

// NewConnectionPlan builds the plan for the daemons that may hold connections.
func NewConnectionPlan(members topology.Members) *ConnectionPlan {
	holders := []topology.Member{members.Self}
	for _, member := range members.Members {
		if holdsConnections(member) && member.ID != members.Self.ID {
			holders = append(holders, member)
		}
	}
	plan := &ConnectionPlan{
		self: members.Self, daemons: len(holders), distances: make(map[topology.Place][]topology.Distance),
	}
	plan.zones = groupByZone(holders)
	plan.selfZone = slices.IndexFunc(plan.zones, func(zone planZone) bool { return zone.place == members.Self.Place })
	own := plan.zones[plan.selfZone].daemons
	plan.selfRank = slices.IndexFunc(own, func(m topology.Member) bool { return m.ID == members.Self.ID })
	return plan
}

// holdsConnections reports whether a member may still have open connections.
func holdsConnections(member topology.Member) bool {
	return member.State < topology.MemberDead
}

func groupByZone(holders []topology.Member) []planZone {
	byPlace := make(map[topology.Place][]topology.Member)
	for _, member := range holders {
		byPlace[member.Place] = append(byPlace[member.Place], member)
	}
	zones := make([]planZone, 0, len(byPlace))
	for place, daemons := range byPlace {
		sorted, hashes := sortByHash(daemons)
		zones = append(zones, planZone{place: place, daemons: sorted, hashes: hashes})
	}
	slices.SortFunc(zones, func(a, b planZone) int { return comparePlaces(a.place, b.place) })
	return zones
}

func sortByHash(daemons []topology.Member) (sorted []topology.Member, sortedHashes []uint64) {
	hashes := make(map[string]uint64, len(daemons))
	for i := range daemons {
		hashes[daemons[i].ID] = xxhash.Sum64String(daemons[i].ID)
	}
	slices.SortFunc(daemons, func(a, b topology.Member) int {
		return cmp.Or(cmp.Compare(hashes[a.ID], hashes[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	for i := range daemons {
		sortedHashes = append(sortedHashes, hashes[daemons[i].ID])
	}
	return daemons, sortedHashes
}

func comparePlaces(a, b topology.Place) int {
	return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
}

// usableConnections returns the part of a replica's connection limit that is
// divided among daemons.
func usableConnections(replica topology.Replica) int {
	return max(1, int(float64(replica.ConnectionLimit)*(1-connectionReserve)))
}

// GroupConnections is the division of one group's connections: which daemons
// connect to each replica.
type GroupConnections struct {
	plan        *ConnectionPlan
	replicas    []topology.Replica
	allocations []replicaAllocation
}

// replicaAllocation divides the connections of one replica. If there are enough
// for all daemons, perDaemon is the number each one gets. Otherwise the daemons
// in ranges get one each.
type replicaAllocation struct {
	perDaemon int
	remaining int // connections not assigned yet
	ranges    []daemonRange
}

// daemonRange is a run of count daemons of one zone, wrapping around at the
// end.
type daemonRange struct {
	zone, start, count int
}

// AllocateGroup divides the connections of a group. replicas must be all
// replicas of the group that accept new work, sorted by address. If there are
// fewer connections than daemons need, each daemon gets one replica before any
// gets a second, taken from the nearest zone with connections left.
func (p *ConnectionPlan) AllocateGroup(name string, replicas []topology.Replica) *GroupConnections {
	alloc := &allocator{
		plan: p, replicas: replicas, allocations: make([]replicaAllocation, len(replicas)),
		cursors: make([]int, len(p.zones)),
	}
	if alloc.allocateEqually() {
		alloc.prepare()
		first := int(xxhash.Sum64String(name) % uint64(p.daemons))
		for at := range alloc.cursors {
			alloc.cursors[at] = first
		}
		for round := 0; round < maxReplicasPerDaemon && alloc.remaining > 0; round++ {
			alloc.allocateOneEach(round)
		}
	}
	return &GroupConnections{plan: p, replicas: replicas, allocations: alloc.allocations}
}

// allocator holds the state of dividing one group's connections.
type allocator struct {
	plan        *ConnectionPlan
	replicas    []topology.Replica
	allocations []replicaAllocation
	// cursors holds, by zone, the index of the next daemon to get a connection.
	cursors []int
	// distances holds the distance from each zone, by replica.
	distances [][]topology.Distance
	remaining int   // connections not assigned yet
	scratch   []int // buffer for withRemaining
}

// allocateEqually divides the connections of the replicas that all daemons can
// connect to. It reports whether there are others.
func (a *allocator) allocateEqually() (scarce bool) {
	for i, replica := range a.replicas {
		allocation := &a.allocations[i]
		usable := usableConnections(replica)
		switch {
		case replica.ConnectionLimit <= 0:
			allocation.perDaemon = unlimitedConnections
		case a.plan.daemons <= usable:
			allocation.perDaemon = usable / a.plan.daemons
		default:
			allocation.remaining = usable
			a.remaining += usable
			scarce = true
		}
	}
	return scarce
}

// preallocatedRanges is the number of ranges per replica that fit into the
// initial allocation.
const preallocatedRanges = 2

// prepare computes the distances and preallocates the ranges.
func (a *allocator) prepare() {
	a.distances = make([][]topology.Distance, len(a.replicas))
	ranges := make([]daemonRange, len(a.replicas)*preallocatedRanges)
	for i := range a.replicas {
		a.distances[i] = a.plan.zoneDistances(a.replicas[i].Place)
		a.allocations[i].ranges = ranges[i*preallocatedRanges : i*preallocatedRanges : (i+1)*preallocatedRanges]
	}
}

// zoneDistances returns the distance from each zone to a place.
func (p *ConnectionPlan) zoneDistances(place topology.Place) []topology.Distance {
	known, found := p.distances[place]
	if !found {
		for at := range p.zones {
			known = append(known, p.zones[at].place.DistanceTo(place))
		}
		p.distances[place] = known
	}
	return known
}

// allocateOneEach assigns one more replica to each daemon, nearest first, while
// connections remain.
func (a *allocator) allocateOneEach(round int) {
	needed := make([]int, len(a.plan.zones))
	for at := range needed {
		needed[at] = len(a.plan.zones[at].daemons)
	}
	for distance := topology.SameZone; distance <= topology.OtherRegion; distance++ {
		for at := range needed {
			needed[at] -= a.allocateInZone(at, needed[at], distance, round)
		}
	}
}

// allocateInZone assigns one connection each to the given number of daemons of
// a zone, spread evenly over the replicas at a distance. It returns the number
// of daemons that got one.
func (a *allocator) allocateInZone(zone, needed int, distance topology.Distance, round int) (assigned int) {
	if needed == 0 {
		return 0
	}
	replicas := a.withRemaining(zone, distance)
	for i := range replicas {
		at := replicas[(i+round)%len(replicas)]
		parts := len(replicas) - i
		count := min((needed-assigned+parts-1)/parts, a.allocations[at].remaining)
		a.assign(at, zone, count)
		assigned += count
	}
	for _, at := range replicas { // assign what did not fit into the equal parts
		count := min(needed-assigned, a.allocations[at].remaining)
		a.assign(at, zone, count)
		assigned += count
	}
	return assigned
}

// withRemaining returns the replicas at a distance that have unassigned
// connections. The result is valid until the next call.
func (a *allocator) withRemaining(zone int, distance topology.Distance) []int {
	a.scratch = a.scratch[:0]
	for i := range a.allocations {
		if a.distances[i][zone] == distance && a.allocations[i].remaining > 0 {
			a.scratch = append(a.scratch, i)
		}
	}
	return a.scratch
}

func (a *allocator) assign(replica, zone, count int) {
	if count == 0 {
		return
	}
	size := len(a.plan.zones[zone].daemons)
	allocation := &a.allocations[replica]
	allocation.remaining -= count
	a.remaining -= count
	allocation.ranges = append(allocation.ranges, daemonRange{zone: zone, start: a.cursors[zone] % size, count: count})
	a.cursors[zone] += count
}

// Budget returns how many connections this daemon may open to a replica. Zero
// means that it must not connect.
func (g *GroupConnections) Budget(replica int) int {
	return g.budgetOf(replica, g.plan.selfZone, g.plan.selfRank)
}

func (g *GroupConnections) budgetOf(replica, zone, rank int) int {
	allocation := &g.allocations[replica]
	if allocation.perDaemon > 0 {
		return allocation.perDaemon
	}
	size := len(g.plan.zones[zone].daemons)
	for _, r := range allocation.ranges {
		if r.zone == zone && (rank-r.start+size)%size < r.count {
			return 1
		}
	}
	return 0
}

// Holder returns one of the daemons that may connect to a replica, selected at
// random. It reports false if there is none.
func (g *GroupConnections) Holder(replica int, random uint64) (holder topology.Member, found bool) {
	allocation := &g.allocations[replica]
	if allocation.perDaemon > 0 {
		return g.plan.daemonAt(int(random % uint64(g.plan.daemons))), true
	}
	total := 0
	for _, r := range allocation.ranges {
		total += r.count
	}
	if total == 0 {
		return topology.Member{}, false
	}
	position := int(random % uint64(total))
	for _, r := range allocation.ranges {
		if position < r.count {
			daemons := g.plan.zones[r.zone].daemons
			return daemons[(r.start+position)%len(daemons)], true
		}
		position -= r.count
	}
	return topology.Member{}, false
}

// daemonAt returns the daemon at a position in the list of all zones' daemons.
func (p *ConnectionPlan) daemonAt(position int) topology.Member {
	for at := range p.zones {
		if position < len(p.zones[at].daemons) {
			return p.zones[at].daemons[position]
		}
		position -= len(p.zones[at].daemons)
	}
	return p.self
}

// sameDaemons reports whether other has the same daemons and therefore divides
// connections in the same way.
func (p *ConnectionPlan) sameDaemons(other *ConnectionPlan) bool {
	return slices.EqualFunc(p.zones, other.zones, func(a, b planZone) bool {
		return a.place == b.place && slices.EqualFunc(a.daemons, b.daemons, sameDaemon)
	})
}

// sameDaemon compares the fields of a member that affect the plan: its identity
// and whether it is leaving.
func sameDaemon(a, b topology.Member) bool {
	return a.ID == b.ID && (a.State == topology.MemberLeaving) == (b.State == topology.MemberLeaving)
}
