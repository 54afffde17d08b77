package replica

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/machines"
	"github.com/doorpond/doorpond/internal/topology"
)

const (
	defaultListInterval = 2 * time.Second
	defaultColdFor      = 10 * time.Second
)

// TrackerOptions configures a Tracker. Zero values select defaults.
type TrackerOptions struct {
	Lister machines.Lister
	Board  *blackboard.Board
	// Interval is the time between two reads of the machine list.
	Interval time.Duration
	// ColdFor is how long a newly listed process is considered cold.
	ColdFor    time.Duration
	Logger     *slog.Logger
	Now        func() time.Time
	Registerer prometheus.Registerer
}

// Tracker combines the machine list with the set of leaving replicas and
// publishes the result to Board.Replicas, of which it is the only writer.
type Tracker struct {
	options TrackerOptions
	metrics trackerMetrics

	mutex         sync.Mutex
	listed        []topology.Replica
	firstSeen     map[processID]time.Time
	leaving       leavingSet
	listeners     []func(address, incarnation string)
	listReachable bool
	listReads     int
}

// NewTracker returns a Tracker. Call Run to start it.
func NewTracker(options TrackerOptions) *Tracker {
	if options.Interval <= 0 {
		options.Interval = defaultListInterval
	}
	if options.ColdFor <= 0 {
		options.ColdFor = defaultColdFor
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Tracker{
		options:       options,
		metrics:       newTrackerMetrics(options.Registerer),
		firstSeen:     make(map[processID]time.Time),
		leaving:       newLeavingSet(),
		listReachable: true,
	}
}

// OnLeaving registers a function that is called once for each process newly
// found to be leaving. It must not block.
func (t *Tracker) OnLeaving(notify func(address, incarnation string)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.listeners = append(t.listeners, notify)
}

// Run reads the machine list immediately and then at each interval, until ctx
// is done.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(t.options.Interval)
	defer ticker.Stop()
	for {
		t.Refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Refresh reads the machine list once. If the read fails or returns no
// replicas, the previous list is kept.
func (t *Tracker) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Interval)
	defer cancel()
	list, err := t.options.Lister.List(ctx)
	if err != nil {
		t.metrics.listFailures.Inc()
		t.setListReachable(false, err)
		t.republish()
		return
	}
	t.setListReachable(true, nil)
	t.applyList(list.Replicas)
}

func (t *Tracker) setListReachable(reachable bool, cause error) {
	t.mutex.Lock()
	changed := t.listReachable != reachable
	t.listReachable = reachable
	t.mutex.Unlock()
	if !changed {
		return
	}
	if reachable {
		t.options.Logger.Info("machine list reachable again")
		return
	}
	t.options.Logger.Warn("machine list unreachable; using the last list read", "error", cause.Error())
}

func (t *Tracker) applyList(replicas []topology.Replica) {
	now := t.options.Now()
	t.mutex.Lock()
	if len(replicas) > 0 {
		t.listed = slices.Clone(replicas)
	}
	t.listReads++
	added := t.updateSeen(now)
	t.publish(now)
	t.mutex.Unlock()
	t.notifyLeaving(added)
}

// updateSeen records when processes were first listed and adds those listed as
// leaving to the set. It returns the newly added ones.
func (t *Tracker) updateSeen(now time.Time) []processID {
	var added []processID
	for _, replica := range t.listed {
		listed := processID{replica.Address, replica.Incarnation}
		if _, known := t.firstSeen[listed]; !known {
			t.firstSeen[listed] = t.firstSeenTime(now)
		}
		t.leaving.refresh(listed, now)
		if replica.State == topology.ReplicaLeaving && t.leaving.add(listed, now) {
			added = append(added, listed)
		}
	}
	t.leaving.evictExpired(now)
	t.pruneFirstSeen()
	return added
}

// firstSeenTime returns the time from which a newly listed process is
// considered cold. Processes in the first list may have been running for long,
// so they are not cold.
func (t *Tracker) firstSeenTime(now time.Time) time.Time {
	if t.listReads <= 1 {
		return now.Add(-t.options.ColdFor)
	}
	return now
}

func (t *Tracker) pruneFirstSeen() {
	if len(t.firstSeen) <= 2*len(t.listed) {
		return
	}
	present := make(map[processID]bool, len(t.listed))
	for _, replica := range t.listed {
		present[processID{replica.Address, replica.Incarnation}] = true
	}
	for known := range t.firstSeen {
		if !present[known] {
			delete(t.firstSeen, known)
		}
	}
}

// MarkLeaving records that a process is leaving, as reported by its reply or by
// a peer. If incarnation is empty, the process listed at the address is marked.
func (t *Tracker) MarkLeaving(address, incarnation string) {
	now := t.options.Now()
	t.mutex.Lock()
	if incarnation == "" {
		incarnation = t.listedIncarnation(address)
	}
	process := processID{address, incarnation}
	added := t.leaving.add(process, now)
	if added {
		t.publish(now)
	}
	t.mutex.Unlock()
	if added {
		t.options.Logger.Info("replica leaving", "address", address, "incarnation", incarnation)
		t.notifyLeaving([]processID{process})
	}
}

func (t *Tracker) listedIncarnation(address string) string {
	for _, replica := range t.listed {
		if replica.Address == address {
			return replica.Incarnation
		}
	}
	return ""
}

// Leaving returns the address and incarnation of each leaving process.
func (t *Tracker) Leaving() []topology.Replica {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	leaving := make([]topology.Replica, 0, len(t.leaving.lastSeen))
	for process := range t.leaving.lastSeen {
		leaving = append(leaving, topology.Replica{
			Address: process.address, Incarnation: process.incarnation, State: topology.ReplicaLeaving,
		})
	}
	slices.SortFunc(leaving, compareReplicas)
	return leaving
}

func (t *Tracker) notifyLeaving(added []processID) {
	t.mutex.Lock()
	notify := slices.Clone(t.listeners)
	t.mutex.Unlock()
	for _, process := range added {
		for _, call := range notify {
			call(process.address, process.incarnation)
		}
	}
}

func (t *Tracker) republish() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.listReads > 0 {
		t.publish(t.options.Now())
	}
}

// publish updates the board if the replicas have changed. The caller must hold
// the mutex.
func (t *Tracker) publish(now time.Time) {
	if t.listReads == 0 {
		return
	}
	groups := make(map[string][]topology.Replica)
	leaving := 0
	for _, replica := range t.listed {
		replica.State = t.stateOf(replica, now)
		if replica.State == topology.ReplicaLeaving {
			leaving++
		}
		groups[replica.Group] = append(groups[replica.Group], replica)
	}
	for _, replicas := range groups {
		slices.SortFunc(replicas, compareReplicas)
	}
	t.metrics.replicas.Set(float64(len(t.listed)))
	t.metrics.leaving.Set(float64(leaving))
	if current := t.options.Board.Replicas.Load(); current != nil && sameGroups(current.Groups, groups) {
		return
	}
	t.options.Board.Replicas.Publish(&topology.Replicas{Groups: groups})
}

func (t *Tracker) stateOf(replica topology.Replica, now time.Time) topology.ReplicaState {
	listed := processID{replica.Address, replica.Incarnation}
	switch {
	case t.leaving.has(listed):
		return topology.ReplicaLeaving
	case replica.State == topology.ReplicaCold, now.Sub(t.firstSeen[listed]) < t.options.ColdFor:
		return topology.ReplicaCold
	default:
		return topology.ReplicaServing
	}
}

func compareReplicas(a, b topology.Replica) int {
	return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
}

func sameGroups(a, b map[string][]topology.Replica) bool {
	if len(a) != len(b) {
		return false
	}
	for name, replicas := range a {
		if !slices.Equal(replicas, b[name]) {
			return false
		}
	}
	return true
}
