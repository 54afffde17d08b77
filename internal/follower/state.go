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
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// formerEntryRetention is how long a former entry node still counts in dividing shared limits. It
// may be alive with only its entry lost, and its recent use counts too.
const formerEntryRetention = 30 * time.Second

// state is the follower's view of the store. Only the follower's goroutine may use it, apart from
// publishedSuspects.
type state struct {
	options  *Options
	replicas map[string]replicaEntry
	nodes    map[string]nodeEntry
	// evacuated are the zones whose replicas receive no requests.
	evacuated map[string]bool
	// evacuationEnded maps zones that were evacuated to the end of the evacuation.
	evacuationEnded map[string]time.Time
	// values are the store's entries, as served to peers.
	values        map[string]store.KeyValue
	valuesChanged bool
	// pendingEvents are the changes of values not yet published to the feed.
	pendingEvents []store.Event
	// entryNodeUntil maps entry nodes to when they ceased to be one; zero for current ones.
	entryNodeUntil map[string]time.Time

	// suspects are the nodes that do not respond; publishedSuspects is a copy for other goroutines,
	// nil when there are none.
	suspects          suspects
	publishedSuspects atomic.Pointer[suspects]
	activation        activation
	// leaving and gone are the replicas that announced leaving, or whose entries were deleted,
	// since the last publication. They are logged with it.
	leaving, gone   []topology.Replica
	replicasChanged bool
	nodesChanged    bool
	// nextWarmAt is when the next published cold replica becomes warm; zero when there is none.
	nextWarmAt time.Time
	// retained maps entries missing from a restored store to when they expire.
	retained map[string]time.Time
	// departed are the replicas whose entries are gone.
	departed map[string]departedReplica
	// loggedUnusable are the keys whose unusable entries have been logged.
	loggedUnusable map[string]bool
}

type replicaEntry struct {
	replica  topology.Replica
	revision int64
	// goneAt is when the entry was found missing; zero while it exists.
	goneAt time.Time
	// coldUntil is when the cold period ends according to the entry; zero when the entry does not
	// say.
	coldUntil time.Time
}

type nodeEntry struct {
	node     topology.Node
	revision int64
}

func newState(options *Options) *state {
	return &state{
		options:         options,
		replicas:        make(map[string]replicaEntry),
		nodes:           make(map[string]nodeEntry),
		evacuated:       make(map[string]bool),
		evacuationEnded: make(map[string]time.Time),
		values:          make(map[string]store.KeyValue),
		entryNodeUntil:  make(map[string]time.Time),
		retained:        make(map[string]time.Time),
		departed:        make(map[string]departedReplica),
		loggedUnusable:  make(map[string]bool),
		suspects:        make(suspects),
		activation:      activation{wait: options.fraction(activationFraction)},
	}
}

// replace applies a full listing. Missing entries are removed, except for those retained after a
// restore.
func (s *state) replace(now time.Time, values []store.KeyValue) {
	s.applyAll(values, s.put, func(key string) {
		if _, kept := s.retained[key]; !kept {
			s.remove(now, key)
		}
	})
}

// applyAll calls put for each entry of a full listing, and missing for each known key that it
// lacks.
func (s *state) applyAll(values []store.KeyValue, put func(store.KeyValue), missing func(key string)) {
	present := make(map[string]bool, len(values))
	for _, value := range values {
		present[value.Key] = true
		put(value)
	}
	for key := range s.values {
		if !present[key] {
			missing(key)
		}
	}
}

// apply applies one event of a watch.
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
	isNew := s.recordValue(value)
	switch {
	case value.Key == s.options.Keys.Configuration:
		s.putTable(value)
	case hasPrefix(value.Key, s.options.Keys.Evacuations):
		s.evacuate(value.Key[len(s.options.Keys.Evacuations):])
	case hasPrefix(value.Key, s.options.Keys.Quarantine):
		if isNew { // the quarantine period starts when the entry is first seen
			s.options.Quarantine.HandleStored(value.Key[len(s.options.Keys.Quarantine):], value.Value)
		}
	case hasPrefix(value.Key, s.options.Keys.Nodes):
		s.putNode(value)
	}
}

// recordValue records an entry for peers. It reports whether the entry is newer than the one
// before.
func (s *state) recordValue(value store.KeyValue) (isNew bool) {
	delete(s.retained, value.Key)
	previous := s.values[value.Key].ModRevision
	if value.ModRevision >= previous {
		s.values[value.Key] = value
		s.valuesChanged = true
		s.pendingEvents = append(s.pendingEvents, store.Event{KeyValue: value})
	}
	return value.ModRevision > previous
}

// putTable decodes a configuration and offers it for activation.
func (s *state) putTable(value store.KeyValue) {
	table, err := s.options.Decoder.Routes(value.Value)
	if err != nil {
		s.options.Logger.Error("invalid configuration rejected; keeping the active one", "error", err.Error(), "revision", value.ModRevision)
		return
	}
	s.activation.offer(table)
}

// putReplica applies a replica's entry, unless it is outdated or a restored store has brought back
// a departed replica's.
func (s *state) putReplica(value store.KeyValue) {
	if s.isFromDeparted(value) {
		return
	}
	previous, found := s.replicas[value.Key]
	if found && value.ModRevision < previous.revision {
		return
	}
	replica, err := s.options.Decoder.Replica(value.Key, value.Value)
	switch {
	case err != nil:
		s.recordValue(value)
		s.rejectReplica(value.Key, err)
		return
	case replica.StartedAt.Before(s.startTime(value.Key)):
		s.rejectReplica(value.Key, errEarlierInstance)
		return
	}
	s.recordValue(value)
	delete(s.loggedUnusable, value.Key)
	replica.Place.Region = s.options.Regions[replica.Place.Zone]
	entry := replicaEntry{revision: value.ModRevision, coldUntil: s.coldUntil(replica)}
	replica.ColdRemaining = 0 // changes with each entry
	if s.isLeaving(value.Key, replica.StartedAt) {
		replica.State = topology.ReplicaLeaving
	}
	entry.replica = replica
	s.replicas[value.Key] = entry
	now := s.options.Now()
	if found && previous.goneAt.IsZero() && previous.replica == replica && s.stateOf(now, &previous) == s.stateOf(now, &entry) {
		return
	}
	s.replicasChanged = true
	if replica.State == topology.ReplicaLeaving {
		s.leaving = append(s.leaving, replica)
	}
}

// errNodeIDMismatch rejects an entry that was not written by the node of its key.
var errNodeIDMismatch = eris.New("node ID does not match the key")

func (s *state) putNode(value store.KeyValue) {
	previous, found := s.nodes[value.Key]
	if found && value.ModRevision < previous.revision {
		return
	}
	var node topology.Node
	err := json.Unmarshal(value.Value, &node)
	if err == nil && s.options.Keys.Nodes+node.ID != value.Key {
		err = errNodeIDMismatch
	}
	if err != nil {
		s.options.Logger.Error("invalid node entry rejected; keeping the previous one", "key", value.Key, "error", err.Error())
		return
	}
	wasSuspected := s.suspects.clear(node.ID) // the node has just written the entry
	s.nodesChanged = s.nodesChanged || wasSuspected || !found || previous.node != node
	s.nodes[value.Key] = nodeEntry{node: node, revision: value.ModRevision}
}

func (s *state) remove(now time.Time, key string) {
	if last, found := s.values[key]; found && hasPrefix(key, s.options.Keys.Replicas) {
		s.departed[key] = departedReplica{
			entry: last, startedAt: s.startTime(key), leaving: s.isLeaving(key, s.startTime(key)), expiresAt: now.Add(departedRetention),
		}
	}
	delete(s.retained, key)
	delete(s.loggedUnusable, key)
	delete(s.values, key)
	s.valuesChanged = true
	s.pendingEvents = append(s.pendingEvents, store.Event{KeyValue: store.KeyValue{Key: key}, Deleted: true})
	s.markReplicaGone(now, key)
	if hasPrefix(key, s.options.Keys.Quarantine) {
		s.options.Quarantine.HandleDeleted(key[len(s.options.Keys.Quarantine):])
	}
	if hasPrefix(key, s.options.Keys.Evacuations) {
		s.endEvacuation(now, key[len(s.options.Keys.Evacuations):])
	}
	if known, found := s.nodes[key]; found {
		delete(s.nodes, key)
		s.suspects.clear(known.node.ID)
		s.nodesChanged = true
	}
}

// markReplicaGone records that a replica has no valid entry.
func (s *state) markReplicaGone(now time.Time, key string) {
	known, found := s.replicas[key]
	if !found || !known.goneAt.IsZero() {
		return
	}
	known.goneAt = now
	s.replicas[key] = known
	s.replicasChanged = true
	s.gone = append(s.gone, known.replica)
}

// listValues returns the store's entries in no particular order.
func (s *state) listValues() []store.KeyValue {
	values := make([]store.KeyValue, 0, len(s.values))
	for _, value := range s.values {
		values = append(values, value)
	}
	return values
}

// publish expires outdated state and publishes changes to the blackboard.
func (s *state) publish(now time.Time) {
	s.expire(now)
	s.replicasChanged = s.hasWarmedUp(now) || s.replicasChanged
	if s.activation.activate(now, s.hasReplica) {
		table, previous := s.activation.active, s.options.Board.Routes.Load()
		s.options.Board.Routes.Publish(table)
		s.options.Logger.Info("configuration in force", "version", table.Version, "routes", len(table.Routes))
		s.logTenants(previous, table)
		s.replicasChanged = true // connection limits depend on the configuration
	}
	if s.replicasChanged {
		s.options.Board.Replicas.Publish(&topology.Replicas{Groups: s.replicaGroups(now)})
	}
	s.nodesChanged = s.suspects.expire(now) || s.nodesChanged
	if s.nodesChanged || s.options.Board.Nodes.Load() == nil {
		s.publishNodes(now)
	}
	s.logReplicas("replica leaving", s.leaving)
	s.logReplicas("replica gone", s.gone)
	s.leaving, s.gone = nil, nil
	s.replicasChanged, s.nodesChanged = false, false
}

// maxLoggedConflicts limits the conflicts in a log line, so that it fits in one packet.
const maxLoggedConflicts = 10

// logTenants logs how the tenants of a table differ from those of the previous one, which may be
// nil, and the conflicts among them.
func (s *state) logTenants(previous, table *routing.Table) {
	if changes := routing.CompareTenants(previous, table); changes != (routing.TenantChanges{}) {
		s.options.Logger.Info("tenants changed", "version", table.Version, "tenants", table.TenantCount(), "keys", table.KeyCount(),
			"added", changes.Added, "removed", changes.Removed,
			"keys_added", changes.KeysAdded, "keys_revoked", changes.KeysRevoked, "keys_moved", changes.KeysMoved)
	}
	if conflicts := table.TenantConflicts(); len(conflicts) > 0 {
		s.options.Logger.Warn("conflicting tenants in the configuration; the first of each is used", "version", table.Version,
			"conflicts", len(conflicts), "first", conflicts[:min(len(conflicts), maxLoggedConflicts)])
	}
}

// maxReplicaLogLines is the number of replicas up to which each is logged on its own line. A
// reshard affects hundreds at once, which are logged as one line.
const maxReplicaLogLines = 4

// logReplicas logs replicas that have changed state.
func (s *state) logReplicas(message string, replicas []topology.Replica) {
	if len(replicas) > maxReplicaLogLines {
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

// expire drops replicas, retained entries and former entry nodes whose retention period is over.
func (s *state) expire(now time.Time) {
	for key, entry := range s.replicas {
		if !entry.goneAt.IsZero() && now.Sub(entry.goneAt) >= s.options.VanishedRetention {
			delete(s.replicas, key)
			s.replicasChanged = true
		}
	}
	s.expireRetained(now)
	s.expireDeparted(now)
	for id, until := range s.entryNodeUntil {
		if !until.IsZero() && now.Sub(until) >= formerEntryRetention {
			delete(s.entryNodeUntil, id)
			s.nodesChanged = true
		}
	}
}

// nextDeadline returns when the state must be published again because something expires or a
// pending configuration is activated; zero when nothing is due.
func (s *state) nextDeadline() time.Time {
	next := earliest(s.activation.nextDeadline(), s.suspects.nextExpiry(), s.nextWarmAt, s.nextRetainedExpiry())
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

// stateOf returns the effective state of a replica, which its entry alone does not tell: the zone
// may be evacuated or the cold period over.
func (s *state) stateOf(now time.Time, entry *replicaEntry) topology.ReplicaState {
	switch {
	case entry.replica.State == topology.ReplicaLeaving:
		return topology.ReplicaLeaving
	case s.evacuated[entry.replica.Place.Zone]:
		return topology.ReplicaEvacuated
	case !entry.goneAt.IsZero():
		return topology.ReplicaVanished
	case s.isCold(now, entry):
		return topology.ReplicaCold
	default:
		return topology.ReplicaServing
	}
}

func (s *state) replicaGroups(now time.Time) map[string][]topology.Replica {
	groups := make(map[string][]topology.Replica)
	s.nextWarmAt = time.Time{}
	expectStartTimes := s.expectsStartTimes()
	for _, entry := range s.replicas {
		replica := entry.replica
		if expectStartTimes && replica.StartedAt.IsZero() {
			continue // from a foreign writer
		}
		replica.State = s.stateOf(now, &entry)
		replica.ConnectionLimit = s.service(replica.Group).ConnectionLimit
		if s.isCold(now, &entry) {
			replica.ColdRate = s.options.ColdRateLimit.Rate(s.service(replica.Group).ColdRate)
		}
		if replica.ColdRate > 0 {
			s.nextWarmAt = earliest(s.nextWarmAt, s.coldEndsAt(&entry))
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
	s.publishSuspects()
	slices.SortFunc(nodes.Nodes, func(a, b topology.Node) int { return cmp.Compare(a.ID, b.ID) })
	nodes.EntryNodes = directory.EntryNodes(nodes.Nodes, s.options.EntryNodes)
	s.recordEntryNodes(now, nodes.EntryNodes)
	nodes.BudgetShares = max(1, len(s.entryNodeUntil))
	members := &topology.Members{
		Self: memberOf(s.options.Self), Standby: !nodes.SelfIsEntry(), ColdRateSharers: slices.Sorted(maps.Keys(s.entryNodeUntil)),
	}
	for _, node := range nodes.EntryNodes {
		members.Members = append(members.Members, memberOf(node))
	}
	s.options.Board.Nodes.Publish(nodes)
	s.options.Board.Members.Publish(members)
}

// recordEntryNodes tracks current and former entry nodes.
func (s *state) recordEntryNodes(now time.Time, entries []topology.Node) {
	isEntry := make(map[string]bool, len(entries))
	for _, node := range entries {
		isEntry[node.ID] = true
		s.entryNodeUntil[node.ID] = time.Time{}
	}
	for id, until := range s.entryNodeUntil {
		if until.IsZero() && !isEntry[id] {
			s.entryNodeUntil[id] = now
		}
	}
}

// isRegistered reports whether a node has an entry.
func (s *state) isRegistered(id string) bool {
	_, found := s.nodes[s.options.Keys.Nodes+id]
	return found
}

// memberOf returns the node as a member for dividing connections.
func memberOf(node topology.Node) topology.Member {
	return topology.Member{ID: node.ID, PeerAddress: node.PeerAddress, Place: node.Place}
}
