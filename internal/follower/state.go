package follower

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/directory"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// sharedMemory is how long a node to which callers are not led any more still
// counts for what entry nodes share: it may be there and have lost its record
// only, and what it has spent counts for a while.
const sharedMemory = 30 * time.Second

// state is what the follower knows. It belongs to the follower's goroutine.
type state struct {
	options  *Options
	replicas map[string]replicaEntry
	nodes    map[string]nodeEntry
	// evacuated are the zones to whose replicas nothing is to be sent.
	evacuated map[string]bool
	// readmitted says since when zones that were evacuated are so no more.
	readmitted map[string]time.Time
	// values are the store's, as they are handed over to other nodes.
	values        map[string]store.KeyValue
	valuesChanged bool
	// unpublished are the changes of values that other nodes have not been told.
	unpublished []store.Event
	// entryUntil says until when a node was one to which callers are led; zero
	// while it is one.
	entryUntil map[string]time.Time

	// suspects are the nodes that do not answer; toldSuspects is what other nodes are
	// told of them, nil while there are none.
	suspects     suspects
	toldSuspects atomic.Pointer[suspects]
	adoption     adoption
	// leaving and gone are the replicas that have said so, or vanished, since the last
	// publication; they are logged with it.
	leaving, gone   []topology.Replica
	replicasChanged bool
	nodesChanged    bool
	// warmAt is when the next replica that was published as cold is warm by its time;
	// zero while there is none.
	warmAt time.Time
	// unproved says until when entries are kept that the store's copy lacks.
	unproved map[string]time.Time
	// departed are the replicas whose entries have gone, as they were at last.
	departed map[string]departedReplica
	// unusable are the keys of entries that name no replica, and were logged.
	unusable map[string]bool
}

type replicaEntry struct {
	replica  topology.Replica
	revision int64
	// goneAt is when the entry was found to be gone; zero while it is there.
	goneAt time.Time
	// coldUntil is when the replica is warm at the latest, as its entry says; zero when
	// it says nothing of that.
	coldUntil time.Time
}

type nodeEntry struct {
	node     topology.Node
	revision int64
}

func newState(options *Options) *state {
	return &state{
		options:    options,
		replicas:   make(map[string]replicaEntry),
		nodes:      make(map[string]nodeEntry),
		evacuated:  make(map[string]bool),
		readmitted: make(map[string]time.Time),
		values:     make(map[string]store.KeyValue),
		entryUntil: make(map[string]time.Time),
		unproved:   make(map[string]time.Time),
		departed:   make(map[string]departedReplica),
		unusable:   make(map[string]bool),
		suspects:   make(suspects),
		adoption:   adoption{wait: options.share(adoptShare)},
	}
}

// replace takes in a whole reading: entries that it lacks are gone, but for those that a copy
// has lacked a short while ago.
func (s *state) replace(now time.Time, values []store.KeyValue) {
	s.takeAll(values, s.put, func(key string) {
		if _, kept := s.unproved[key]; !kept {
			s.remove(now, key)
		}
	})
}

// takeAll puts each entry of a whole reading, then hands over the keys that it lacks.
func (s *state) takeAll(values []store.KeyValue, put func(store.KeyValue), lacks func(key string)) {
	present := make(map[string]bool, len(values))
	for _, value := range values {
		present[value.Key] = true
		put(value)
	}
	for key := range s.values {
		if !present[key] {
			lacks(key)
		}
	}
}

// apply takes in one event of a watch.
func (s *state) apply(now time.Time, event store.Event) {
	if event.Deleted {
		s.remove(now, event.KeyValue.Key)
		return
	}
	s.put(event.KeyValue)
}

func (s *state) put(value store.KeyValue) {
	if hasPrefix(value.Key, s.options.Keys.Replicas) {
		s.putReplica(value)
		return
	}
	isNew := s.keep(value)
	switch {
	case value.Key == s.options.Keys.Configuration:
		s.putTable(value)
	case hasPrefix(value.Key, s.options.Keys.Evacuations):
		s.evacuate(value.Key[len(s.options.Keys.Evacuations):])
	case hasPrefix(value.Key, s.options.Keys.Quarantine):
		if isNew { // its time counts from when it is first seen
			s.options.Quarantine.Adopt(value.Key[len(s.options.Keys.Quarantine):], value.Value)
		}
	case hasPrefix(value.Key, s.options.Keys.Nodes):
		s.putNode(value)
	}
}

// keep keeps an entry for other nodes, and tells whether it is newer than the one before.
func (s *state) keep(value store.KeyValue) (isNew bool) {
	delete(s.unproved, value.Key)
	known := s.values[value.Key].ModRevision
	if value.ModRevision >= known {
		s.values[value.Key] = value
		s.valuesChanged = true
		s.unpublished = append(s.unpublished, store.Event{KeyValue: value})
	}
	return value.ModRevision > known
}

// putTable takes a configuration in.
func (s *state) putTable(value store.KeyValue) {
	table, err := s.options.Decoder.Routes(value.Value)
	if err != nil {
		s.options.Logger.Error("configuration refused; keeping the one in force", "error", err.Error(), "revision", value.ModRevision)
		return
	}
	s.adoption.offer(table)
}

// putReplica takes a replica's entry in, unless a copy of the store shows one that is over.
func (s *state) putReplica(value store.KeyValue) {
	if s.isOfDeparted(value) {
		return
	}
	known, found := s.replicas[value.Key]
	if found && value.ModRevision < known.revision {
		return
	}
	replica, err := s.options.Decoder.Replica(value.Key, value.Value)
	switch {
	case err != nil:
		s.keep(value)
		s.refuseReplica(value.Key, err)
		return
	case replica.StartedAt.Before(s.bornAt(value.Key)):
		s.refuseReplica(value.Key, errEarlierLife)
		return
	}
	s.keep(value)
	delete(s.unusable, value.Key)
	replica.Place.Region = s.options.Regions[replica.Place.Zone]
	entry := replicaEntry{revision: value.ModRevision, coldUntil: s.coldUntil(replica)}
	replica.ColdRemaining = 0 // it changes with each entry
	if s.isLeaving(value.Key, replica.StartedAt) {
		replica.State = topology.ReplicaLeaving
	}
	entry.replica = replica
	s.replicas[value.Key] = entry
	now := s.options.Now()
	if found && known.goneAt.IsZero() && known.replica == replica && s.stateOf(now, &known) == s.stateOf(now, &entry) {
		return
	}
	s.replicasChanged = true
	if replica.State == topology.ReplicaLeaving {
		s.leaving = append(s.leaving, replica)
	}
}

// errForeignNode refuses an entry that no node has written of itself.
var errForeignNode = eris.New("the entry names another node than its key")

func (s *state) putNode(value store.KeyValue) {
	known, found := s.nodes[value.Key]
	if found && value.ModRevision < known.revision {
		return
	}
	var node topology.Node
	err := json.Unmarshal(value.Value, &node)
	if err == nil && s.options.Keys.Nodes+node.ID != value.Key {
		err = errForeignNode
	}
	if err != nil {
		s.options.Logger.Error("node's entry refused; keeping the one before", "key", value.Key, "error", err.Error())
		return
	}
	started := s.suspects.clear(node.ID) // it has just written this
	s.nodesChanged = s.nodesChanged || started || !found || known.node != node
	s.nodes[value.Key] = nodeEntry{node: node, revision: value.ModRevision}
}

func (s *state) remove(now time.Time, key string) {
	if last, found := s.values[key]; found && hasPrefix(key, s.options.Keys.Replicas) {
		s.departed[key] = departedReplica{
			entry: last, born: s.bornAt(key), leaving: s.isLeaving(key, s.bornAt(key)), until: now.Add(departedMemory),
		}
	}
	delete(s.unproved, key)
	delete(s.unusable, key)
	delete(s.values, key)
	s.valuesChanged = true
	s.unpublished = append(s.unpublished, store.Event{KeyValue: store.KeyValue{Key: key}, Deleted: true})
	s.replicaGone(now, key)
	if hasPrefix(key, s.options.Keys.Quarantine) {
		s.options.Quarantine.Forgotten(key[len(s.options.Keys.Quarantine):])
	}
	if hasPrefix(key, s.options.Keys.Evacuations) {
		s.readmit(now, key[len(s.options.Keys.Evacuations):])
	}
	if known, found := s.nodes[key]; found {
		delete(s.nodes, key)
		s.suspects.clear(known.node.ID)
		s.nodesChanged = true
	}
}

// replicaGone notes that a replica has no entry that names it.
func (s *state) replicaGone(now time.Time, key string) {
	known, found := s.replicas[key]
	if !found || !known.goneAt.IsZero() {
		return
	}
	known.goneAt = now
	s.replicas[key] = known
	s.replicasChanged = true
	s.gone = append(s.gone, known.replica)
}

// list returns the store's values, in no order.
func (s *state) list() []store.KeyValue {
	values := make([]store.KeyValue, 0, len(s.values))
	for _, value := range s.values {
		values = append(values, value)
	}
	return values
}

// publish writes what has changed to the blackboard.
func (s *state) publish(now time.Time) {
	s.forget(now)
	s.replicasChanged = s.warmed(now) || s.replicasChanged
	if s.adoption.adopt(now, s.hasReplica) {
		table := s.adoption.inForce
		s.options.Board.Routes.Publish(table)
		s.options.Logger.Info("configuration in force", "version", table.Version, "routes", len(table.Routes))
		s.replicasChanged = true // the limits of connections are the services'
	}
	if s.replicasChanged {
		s.options.Board.Replicas.Publish(&topology.Replicas{Groups: s.groups(now)})
	}
	s.nodesChanged = s.suspects.lapse(now) || s.nodesChanged
	if s.nodesChanged || s.options.Board.Nodes.Load() == nil {
		s.publishNodes(now)
	}
	s.logReplicas("replica leaving", s.leaving)
	s.logReplicas("replica gone", s.gone)
	s.leaving, s.gone = nil, nil
	s.replicasChanged, s.nodesChanged = false, false
}

// mostReplicaLines is the number of replicas that are logged with a line each. A
// reshard takes hundreds away at once; then one line counts them.
const mostReplicaLines = 4

// logReplicas logs what has become of some replicas.
func (s *state) logReplicas(message string, replicas []topology.Replica) {
	if len(replicas) > mostReplicaLines {
		groups := make(map[string]bool)
		for _, replica := range replicas {
			groups[replica.Group] = true
		}
		s.options.Logger.Info(message, "replicas", len(replicas), "groups", len(groups), "first", replicas[0].Address)
		return
	}
	for _, replica := range replicas {
		s.options.Logger.Info(message, "address", replica.Address, "incarnation", replica.Incarnation)
	}
}

// forget drops replicas that have been gone for long enough.
func (s *state) forget(now time.Time) {
	for key, entry := range s.replicas {
		if !entry.goneAt.IsZero() && now.Sub(entry.goneAt) >= s.options.VanishedRetention {
			delete(s.replicas, key)
			s.replicasChanged = true
		}
	}
	s.forgetUnproved(now)
	s.forgetDeparted(now)
	for id, until := range s.entryUntil {
		if !until.IsZero() && now.Sub(until) >= sharedMemory {
			delete(s.entryUntil, id)
			s.nodesChanged = true
		}
	}
}

// dueAt returns when the next vanished replica is forgotten or a configuration is
// put in force at the latest; zero when there is neither.
func (s *state) dueAt() time.Time {
	next := earliest(s.adoption.dueAt(), s.suspects.dueAt(), s.warmAt, s.provedAt())
	for _, entry := range s.replicas {
		if entry.goneAt.IsZero() {
			continue
		}
		if at := entry.goneAt.Add(s.options.VanishedRetention); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// stateOf is what is believed of a replica: its entry tells neither of an evacuation nor
// that its time to be cold is over.
func (s *state) stateOf(now time.Time, entry *replicaEntry) topology.ReplicaState {
	switch {
	case entry.replica.State == topology.ReplicaLeaving:
		return topology.ReplicaLeaving
	case s.evacuated[entry.replica.Place.Zone]:
		return topology.ReplicaEvacuated
	case !entry.goneAt.IsZero():
		return topology.ReplicaMissing
	case s.isCold(now, entry):
		return topology.ReplicaCold
	default:
		return topology.ReplicaServing
	}
}

func (s *state) groups(now time.Time) map[string][]topology.Replica {
	groups := make(map[string][]topology.Replica)
	s.warmAt = time.Time{}
	tellLives := s.tellLives()
	for _, entry := range s.replicas {
		replica := entry.replica
		if tellLives && replica.StartedAt.IsZero() {
			continue // another writer's
		}
		replica.State = s.stateOf(now, &entry)
		replica.ConnectionLimit = s.service(replica.Group).ConnectionLimit
		if s.isCold(now, &entry) {
			replica.ColdRate = s.options.ColdBound.Rate(s.service(replica.Group).ColdRate)
		}
		if replica.ColdRate > 0 {
			s.warmAt = earliest(s.warmAt, s.coldEnd(&entry))
		}
		groups[replica.Group] = append(groups[replica.Group], replica)
	}
	for _, replicas := range groups {
		slices.SortFunc(replicas, func(a, b topology.Replica) int {
			return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
		})
	}
	return groups
}

func (s *state) publishNodes(now time.Time) {
	nodes := &topology.Nodes{Self: s.options.Self}
	for _, known := range s.nodes {
		node := known.node
		if _, suspected := s.suspects[node.ID]; suspected {
			node.Ready = false
		}
		nodes.Nodes = append(nodes.Nodes, node)
	}
	nodes.Suspected = s.suspects.ids()
	s.tellSuspects()
	slices.SortFunc(nodes.Nodes, func(a, b topology.Node) int { return cmp.Compare(a.ID, b.ID) })
	nodes.EntryNodes = directory.EntryNodes(nodes.Nodes, s.options.EntryNodes)
	s.noteEntries(now, nodes.EntryNodes)
	nodes.BudgetShares = max(1, len(s.entryUntil))
	members := &topology.Members{
		Self: member(s.options.Self), Standby: !nodes.SelfIsEntry(), ColdRateSharers: slices.Sorted(maps.Keys(s.entryUntil)),
	}
	for _, node := range nodes.EntryNodes {
		members.Members = append(members.Members, member(node))
	}
	s.options.Board.Nodes.Publish(nodes)
	s.options.Board.Members.Publish(members)
}

// noteEntries keeps who is an entry node, and who was one of late.
func (s *state) noteEntries(now time.Time, entries []topology.Node) {
	isEntry := make(map[string]bool, len(entries))
	for _, node := range entries {
		isEntry[node.ID] = true
		s.entryUntil[node.ID] = time.Time{}
	}
	for id, until := range s.entryUntil {
		if until.IsZero() && !isEntry[id] {
			s.entryUntil[id] = now
		}
	}
}

// isRecorded tells whether a node has an entry.
func (s *state) isRecorded(id string) bool {
	_, found := s.nodes[s.options.Keys.Nodes+id]
	return found
}

// member is a node as those that divide connections see it.
func member(node topology.Node) topology.Member {
	return topology.Member{ID: node.ID, PeerAddress: node.PeerAddress, Place: node.Place}
}
