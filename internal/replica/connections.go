package replica

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/topology"
)

// The constants of the connection budget.
const (
	// connectionReserve is the part of a replica's limit that is left free for
	// daemons that are not known yet.
	connectionReserve = 0.1
	// maxReplicasPerDaemon is how many replicas of a group a daemon may connect to when
	// not all daemons can connect to all.
	maxReplicasPerDaemon = 4
)

// ConnectionPlan divides the connections of replicas among the daemons. It is
// a pure function of the members: daemons with the same members make the same
// plan, each with itself as the point of view.
type ConnectionPlan struct {
	self     topology.Member
	selfZone int
	selfRank int // among the daemons of its own zone
	zones    []planZone
	daemons  int
	// distances has those from each zone to a place.
	distances map[topology.Place][]topology.Distance
}

// planZone has the daemons of one zone in the order of a hash.
type planZone struct {
	place   topology.Place
	daemons []topology.Member
	hashes  []uint64 // of the daemons' IDs
}

// NewConnectionPlan sorts the daemons that may hold connections by zone.
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

// holdsConnections is true for a member that may still have connections.
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

func sortByHash(daemons []topology.Member) (sorted []topology.Member, hashOf []uint64) {
	hashes := make(map[string]uint64, len(daemons))
	for i := range daemons {
		hashes[daemons[i].ID] = xxhash.Sum64String(daemons[i].ID)
	}
	slices.SortFunc(daemons, func(a, b topology.Member) int {
		return cmp.Or(cmp.Compare(hashes[a.ID], hashes[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	for i := range daemons {
		hashOf = append(hashOf, hashes[daemons[i].ID])
	}
	return daemons, hashOf
}

func comparePlaces(a, b topology.Place) int {
	return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
}

// usableConnections is the part of a replica's limit that is divided.
func usableConnections(replica topology.Replica) int {
	return max(1, int(float64(replica.ConnectionLimit)*(1-connectionReserve)))
}

// GroupConnections says who connects to each replica of one group.
type GroupConnections struct {
	plan        *ConnectionPlan
	replicas    []topology.Replica
	allocations []replicaAllocation
}

// replicaAllocation divides one replica's connections. Where all daemons can
// connect, everyone is the number each has. Otherwise the daemons in the
// windows get one each.
type replicaAllocation struct {
	perDaemon int
	remaining int // connections not given yet
	ranges    []daemonRange
}

// daemonRange is a run of daemons of one zone, from start on and around the end.
type daemonRange struct {
	zone, start, count int
}

// AllocateGroup divides the connections of a group's replicas, which must be all that
// take new work, in the order of their addresses. With more daemons than
// connections, each daemon gets one replica before any gets a second, from the
// nearest zone that has connections left.
func (p *ConnectionPlan) AllocateGroup(name string, replicas []topology.Replica) *GroupConnections {
	division := &allocator{
		plan: p, replicas: replicas, allocations: make([]replicaAllocation, len(replicas)),
		cursors: make([]int, len(p.zones)),
	}
	if division.allocateEqually() {
		division.prepare()
		first := int(xxhash.Sum64String(name) % uint64(p.daemons))
		for at := range division.cursors {
			division.cursors[at] = first
		}
		for turn := 0; turn < maxReplicasPerDaemon && division.remaining > 0; turn++ {
			division.allocateOneEach(turn)
		}
	}
	return &GroupConnections{plan: p, replicas: replicas, allocations: division.allocations}
}

// allocator is the work of dividing the connections of one group.
type allocator struct {
	plan        *ConnectionPlan
	replicas    []topology.Replica
	allocations []replicaAllocation
	// cursors say by zone which daemon is served next.
	cursors []int
	// distances has those from each zone, by replica.
	distances [][]topology.Distance
	remaining int   // connections not given yet
	scratch   []int // memory for willing
}

// allocateEqually gives the connections of replicas that all daemons can reach; scarce
// is true when there are others.
func (d *allocator) allocateEqually() (scarce bool) {
	for i, replica := range d.replicas {
		share := &d.allocations[i]
		usable := usableConnections(replica)
		switch {
		case replica.ConnectionLimit <= 0:
			share.perDaemon = unlimitedConnections
		case d.plan.daemons <= usable:
			share.perDaemon = usable / d.plan.daemons
		default:
			share.remaining = usable
			d.remaining += usable
			scarce = true
		}
	}
	return scarce
}

// preallocatedRanges of a replica need no more memory.
const preallocatedRanges = 2

// prepare finds the distances and makes room for the windows.
func (d *allocator) prepare() {
	d.distances = make([][]topology.Distance, len(d.replicas))
	windows := make([]daemonRange, len(d.replicas)*preallocatedRanges)
	for i := range d.replicas {
		d.distances[i] = d.plan.zoneDistances(d.replicas[i].Place)
		d.allocations[i].ranges = windows[i*preallocatedRanges : i*preallocatedRanges : (i+1)*preallocatedRanges]
	}
}

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

// allocateOneEach gives each daemon one more replica, nearest first, as far as
// there are connections left.
func (d *allocator) allocateOneEach(turn int) {
	needs := make([]int, len(d.plan.zones))
	for at := range needs {
		needs[at] = len(d.plan.zones[at].daemons)
	}
	for distance := topology.SameZone; distance <= topology.OtherRegion; distance++ {
		for at := range needs {
			needs[at] -= d.allocateInZone(at, needs[at], distance, turn)
		}
	}
}

// allocateInZone gives so many daemons of a zone one connection each to the replicas at
// a distance, in equal parts, and returns how many were served.
func (d *allocator) allocateInZone(zone, needed int, distance topology.Distance, turn int) (served int) {
	if needed == 0 {
		return 0
	}
	willing := d.withRemaining(zone, distance)
	for i := range willing {
		at := willing[(i+turn)%len(willing)]
		parts := len(willing) - i
		count := min((needed-served+parts-1)/parts, d.allocations[at].remaining)
		d.assign(at, zone, count)
		served += count
	}
	for _, at := range willing { // what others could not take
		count := min(needed-served, d.allocations[at].remaining)
		d.assign(at, zone, count)
		served += count
	}
	return served
}

// withRemaining returns the replicas at a distance that have connections left.
func (d *allocator) withRemaining(zone int, distance topology.Distance) []int {
	d.scratch = d.scratch[:0]
	for i := range d.allocations {
		if d.distances[i][zone] == distance && d.allocations[i].remaining > 0 {
			d.scratch = append(d.scratch, i)
		}
	}
	return d.scratch
}

func (d *allocator) assign(replica, zone, count int) {
	if count == 0 {
		return
	}
	size := len(d.plan.zones[zone].daemons)
	share := &d.allocations[replica]
	share.remaining -= count
	d.remaining -= count
	share.ranges = append(share.ranges, daemonRange{zone: zone, start: d.cursors[zone] % size, count: count})
	d.cursors[zone] += count
}

// Budget returns how many connections this daemon may hold to a replica. 0
// means that it must not connect.
func (g *GroupConnections) Budget(replica int) int {
	return g.budgetOf(replica, g.plan.selfZone, g.plan.selfRank)
}

func (g *GroupConnections) budgetOf(replica, zone, rank int) int {
	share := &g.allocations[replica]
	if share.perDaemon > 0 {
		return share.perDaemon
	}
	size := len(g.plan.zones[zone].daemons)
	for _, w := range share.ranges {
		if w.zone == zone && (rank-w.start+size)%size < w.count {
			return 1
		}
	}
	return 0
}

// Holder returns one of the daemons that may connect to a replica, chosen by
// a random number; found is false when there is none.
func (g *GroupConnections) Holder(replica int, random uint64) (holder topology.Member, found bool) {
	share := &g.allocations[replica]
	if share.perDaemon > 0 {
		return g.plan.daemonAt(int(random % uint64(g.plan.daemons))), true
	}
	holders := 0
	for _, w := range share.ranges {
		holders += w.count
	}
	if holders == 0 {
		return topology.Member{}, false
	}
	position := int(random % uint64(holders))
	for _, w := range share.ranges {
		if position < w.count {
			daemons := g.plan.zones[w.zone].daemons
			return daemons[(w.start+position)%len(daemons)], true
		}
		position -= w.count
	}
	return topology.Member{}, false
}

// daemonAt returns one of all daemons.
func (p *ConnectionPlan) daemonAt(position int) topology.Member {
	for at := range p.zones {
		if position < len(p.zones[at].daemons) {
			return p.zones[at].daemons[position]
		}
		position -= len(p.zones[at].daemons)
	}
	return p.self
}

// sameDaemons tells whether another plan divides connections alike.
func (p *ConnectionPlan) sameDaemons(other *ConnectionPlan) bool {
	return slices.EqualFunc(p.zones, other.zones, func(a, b planZone) bool {
		return a.place == b.place && slices.EqualFunc(a.daemons, b.daemons, sameDaemon)
	})
}

// sameDaemon also compares whether requests may be sent through the daemon.
func sameDaemon(a, b topology.Member) bool {
	return a.ID == b.ID && (a.State == topology.MemberLeaving) == (b.State == topology.MemberLeaving)
}
