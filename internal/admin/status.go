package admin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/comparison"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/topology"
)

// Status is the state of all daemons, as gathered by one of them.
type Status struct {
	// GatheredBy is the ID of the daemon that queried the others.
	GatheredBy string `json:"gathered_by"`
	// Revision is the highest table revision that is active on any daemon.
	Revision uint64           `json:"revision"`
	Nodes    []peer.NodeState `json:"nodes"`
	// Lagging lists the daemons whose table is older than Revision.
	Lagging     []LaggingDaemon `json:"lagging"`
	Unreachable []Unreachable   `json:"unreachable"`
	// Replicas are the replicas that do not receive their full share of requests,
	// ordered by address.
	Replicas []DegradedReplica `json:"replicas"`
	// StoreUnreachableSince is the time since which no daemon that follows the store
	// can reach it. It is nil if any of them can or if no daemon reports a status.
	StoreUnreachableSince *time.Time `json:"store_out_since,omitempty"`
}

// DegradedReplica is a replica that receives less than its full share of requests,
// and the number of daemons that report it.
type DegradedReplica struct {
	peer.DegradedReplica
	ReportedBy int `json:"seen_by"`
}

// LaggingDaemon is a daemon whose active table is outdated.
type LaggingDaemon struct {
	ID       string         `json:"id"`
	Place    topology.Place `json:"place"`
	Revision uint64         `json:"revision"`
}

// Unreachable is a live member that did not answer.
type Unreachable = comparison.Unreachable

// Propagation describes on which daemons a revision is active.
type Propagation struct {
	Revision uint64 `json:"revision"`
	// Complete is true if the revision is active on all daemons.
	Complete            bool  `json:"complete"`
	ElapsedMilliseconds int64 `json:"took_ms"`
	// Daemons counts the live members, and those that have failed recently.
	Daemons     int             `json:"daemons"`
	Lagging     []LaggingDaemon `json:"lagging,omitempty"`
	Unreachable []Unreachable   `json:"unreachable,omitempty"`
	// Failed are the members that were waited for and have not come back. They do not
	// count.
	Failed []topology.Member `json:"failed,omitempty"`
}

const (
	// gatherConcurrency bounds the number of peers queried concurrently.
	gatherConcurrency = 64
	// peerTimeout bounds the request to one peer.
	peerTimeout = 2 * time.Second
	// minRecheckInterval and maxRecheckInterval bound the interval between checks of
	// lagging daemons.
	minRecheckInterval = 20 * time.Millisecond
	maxRecheckInterval = 500 * time.Millisecond
	// recentFailure is for how long after its failure a member counts as unreachable. A
	// daemon that was only slow or paused is back within it, and may serve callers
	// by an older table until then.
	recentFailure = 10 * time.Second
)

// answer is the state of one member, or the error of its query.
type answer struct {
	state peer.NodeState
	err   error
}

// gather queries the states of the members. The answers are in the order of members.
func (h *handler) gather(ctx context.Context, members []topology.Member) []answer {
	answers := make([]answer, len(members))
	var group errgroup.Group
	group.SetLimit(gatherConcurrency)
	for i, member := range members {
		group.Go(func() error {
			answers[i] = h.queryState(ctx, member)
			return nil
		})
	}
	_ = group.Wait() // each error is stored in its answer
	return answers
}

func (h *handler) queryState(ctx context.Context, member topology.Member) answer {
	own := h.options.State()
	if member.ID == own.Member.ID {
		return answer{state: own}
	}
	queryCtx, cancel := h.options.WithTimeout(ctx, peerTimeout)
	defer cancel()
	state, err := h.options.Peers.State(queryCtx, member.PeerAddress)
	if err == nil && state.Member.ID != member.ID {
		err = failure.New(failure.NotFound, "unexpected daemon at "+member.PeerAddress)
	}
	return answer{state: state, err: err}
}

// liveMembers returns the known members, which always include this daemon.
func (h *handler) liveMembers() []topology.Member {
	known := h.options.Board.Members.Load()
	if known == nil {
		return []topology.Member{h.options.State().Member}
	}
	return known.Members
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	members := h.liveMembers()
	answers := h.gather(r.Context(), members)
	status := Status{
		GatheredBy:  h.options.State().Member.ID,
		Nodes:       []peer.NodeState{},
		Lagging:     []LaggingDaemon{},
		Unreachable: []Unreachable{},
		Replicas:    []DegradedReplica{},
	}
	for i, got := range answers {
		if got.err != nil {
			status.Unreachable = append(status.Unreachable, Unreachable{Member: members[i], Reason: got.err.Error()})
			continue
		}
		status.Nodes = append(status.Nodes, got.state)
		status.Revision = max(status.Revision, got.state.TableRevision)
	}
	for _, node := range status.Nodes {
		if node.TableRevision < status.Revision {
			status.Lagging = append(status.Lagging, newLaggingDaemon(node))
		}
	}
	status.Replicas = mergeDegradedReplicas(status.Nodes)
	status.StoreUnreachableSince = storeUnreachableSince(status.Nodes)
	writeJSON(w, status)
}

// mergeDegradedReplicas merges the replicas that the daemons report as degraded.
func mergeDegradedReplicas(nodes []peer.NodeState) []DegradedReplica {
	counts := make(map[peer.DegradedReplica]int)
	for _, node := range nodes {
		for _, report := range node.DegradedReplicas {
			counts[report]++
		}
	}
	merged := make([]DegradedReplica, 0, len(counts))
	for report, count := range counts {
		merged = append(merged, DegradedReplica{DegradedReplica: report, ReportedBy: count})
	}
	slices.SortFunc(merged, func(a, b DegradedReplica) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Reason, b.Reason))
	})
	return merged
}

// storeUnreachableSince computes Status.StoreUnreachableSince. Daemons without a store
// status are ignored.
func storeUnreachableSince(nodes []peer.NodeState) *time.Time {
	var since *time.Time
	for _, node := range nodes {
		switch {
		case node.Store.Since.IsZero():
			continue
		case node.Store.Reachable:
			return nil
		case since == nil || node.Store.Since.Before(*since):
			since = &node.Store.Since
		}
	}
	return since
}

func newLaggingDaemon(node peer.NodeState) LaggingDaemon {
	return LaggingDaemon{ID: node.Member.ID, Place: node.Member.Place, Revision: node.TableRevision}
}

// recentlyFailed returns the members that have failed within the given time.
func (h *handler) recentlyFailed(within time.Duration) []topology.Member {
	if h.options.Failed == nil {
		return nil
	}
	return h.options.Failed(within)
}

// expectedMembers returns the live members, and those that have failed recently.
func (h *handler) expectedMembers() []topology.Member {
	return slices.Concat(h.liveMembers(), h.recentlyFailed(recentFailure))
}

// awaitRevision polls the members until the revision is active on all of them or wait
// has elapsed. Members that have reached the revision are not polled again.
func (h *handler) awaitRevision(ctx context.Context, revision uint64, wait time.Duration) Propagation {
	start := time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	remaining := h.expectedMembers()
	propagation := Propagation{Revision: revision, Daemons: len(remaining)}
	interval := minRecheckInterval
	for {
		remaining = h.recheck(waitCtx, &propagation, remaining)
		if len(remaining) == 0 || !sleep(waitCtx, interval) {
			break
		}
		interval = min(2*interval, maxRecheckInterval)
	}
	propagation.Complete = len(remaining) == 0
	propagation.ElapsedMilliseconds = time.Since(start).Milliseconds()
	return propagation
}

// recheck queries the given members and returns those that have not reached the
// revision. Members that have left in the meantime, or have failed and not come back, are
// omitted. A round that the deadline interrupted does not replace an earlier result.
func (h *handler) recheck(ctx context.Context, propagation *Propagation, members []topology.Member) []topology.Member {
	answers := h.gather(ctx, members)
	interrupted := ctx.Err() != nil
	expected := idsOf(h.expectedMembers())
	failed := idsOf(h.recentlyFailed(recentFailure + maxPropagationWait))
	var remaining []topology.Member
	var lagging []LaggingDaemon
	var unreachable []Unreachable
	for i, got := range answers {
		switch {
		case got.err == nil && got.state.TableRevision >= propagation.Revision:
			continue
		case got.err == nil:
			lagging = append(lagging, newLaggingDaemon(got.state))
		case !expected[members[i].ID]:
			propagation.Daemons--
			if failed[members[i].ID] {
				propagation.Failed = append(propagation.Failed, members[i])
			}
			continue
		default:
			unreachable = append(unreachable, Unreachable{Member: members[i], Reason: got.err.Error()})
		}
		remaining = append(remaining, members[i])
	}
	known := len(propagation.Lagging)+len(propagation.Unreachable) > 0
	if !interrupted || !known {
		propagation.Lagging, propagation.Unreachable = lagging, unreachable
	}
	return remaining
}

func idsOf(members []topology.Member) map[string]bool {
	ids := make(map[string]bool, len(members))
	for i := range members {
		ids[members[i].ID] = true
	}
	return ids
}

// sleep returns false if ctx is done first.
func sleep(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (h *handler) members(w http.ResponseWriter, _ *http.Request) {
	known := h.options.Board.Members.Load()
	if known == nil {
		known = &topology.Members{Self: h.options.State().Member, Members: h.liveMembers()}
	}
	writeJSON(w, known)
}

// Replicas is the state of the replicas as known to one daemon.
type Replicas struct {
	// Groups are all replicas of the machine list, by group.
	Groups map[string][]topology.Replica `json:"groups"`
	// Requests is the request status of each replica that receives requests, ordered
	// by address.
	Requests []replica.Status `json:"requests"`
}

func (h *handler) replicas(w http.ResponseWriter, _ *http.Request) {
	known := Replicas{Groups: map[string][]topology.Replica{}, Requests: []replica.Status{}}
	if listed := h.options.Board.Replicas.Load(); listed != nil {
		known.Groups = listed.Groups
	}
	if h.options.Replicas != nil {
		known.Requests = h.options.Replicas()
	}
	writeJSON(w, known)
}
