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

// Status is what all daemons say of themselves, as gathered by one.
type Status struct {
	// GatheredBy is the ID of the daemon that asked the others.
	GatheredBy string `json:"gathered_by"`
	// Revision is the highest table revision in force on any daemon.
	Revision uint64           `json:"revision"`
	Nodes    []peer.NodeState `json:"nodes"`
	// Lagging names the daemons that are behind Revision.
	Lagging     []Lagging     `json:"lagging"`
	Unreachable []Unreachable `json:"unreachable"`
	// Replicas are those that do not take their whole share, by address.
	Replicas []Troubled `json:"replicas"`
	// StoreOutSince is since when no daemon that follows the store reaches it;
	// nil while one does, or none can say.
	StoreOutSince *time.Time `json:"store_out_since,omitempty"`
}

// Troubled is a replica in trouble, and how many daemons see it so.
type Troubled struct {
	peer.DegradedReplica
	SeenBy int `json:"seen_by"`
}

// Lagging is a daemon on which an older table is in force.
type Lagging struct {
	ID       string         `json:"id"`
	Place    topology.Place `json:"place"`
	Revision uint64         `json:"revision"`
}

// Unreachable is a live member that did not answer.
type Unreachable = comparison.Unreachable

// Propagation says how far a revision has come.
type Propagation struct {
	Revision uint64 `json:"revision"`
	// Complete is true when the revision is in force on all daemons.
	Complete         bool          `json:"complete"`
	TookMilliseconds int64         `json:"took_ms"`
	Daemons          int           `json:"daemons"`
	Lagging          []Lagging     `json:"lagging,omitempty"`
	Unreachable      []Unreachable `json:"unreachable,omitempty"`
}

const (
	// gatherConcurrency bounds the peers asked at once.
	gatherConcurrency = 64
	// stateTimeout bounds the wait for one peer.
	stateTimeout = 2 * time.Second
	// firstRecheck and longestRecheck bound the pause between two looks at
	// the daemons that lag.
	firstRecheck   = 20 * time.Millisecond
	longestRecheck = 500 * time.Millisecond
)

// answer is the state of one member, or why it is not known.
type answer struct {
	state peer.NodeState
	err   error
}

// gather asks members for their states; answers are in the members' order.
func (h *handler) gather(ctx context.Context, members []topology.Member) []answer {
	answers := make([]answer, len(members))
	var group errgroup.Group
	group.SetLimit(gatherConcurrency)
	for i, member := range members {
		group.Go(func() error {
			answers[i] = h.ask(ctx, member)
			return nil
		})
	}
	_ = group.Wait() // each error is in its answer
	return answers
}

func (h *handler) ask(ctx context.Context, member topology.Member) answer {
	own := h.options.State()
	if member.ID == own.Member.ID {
		return answer{state: own}
	}
	bounded, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := h.options.Peers.State(bounded, member.PeerAddress)
	if err == nil && state.Member.ID != member.ID {
		err = failure.New(failure.NotFound, "another daemon answers at "+member.PeerAddress)
	}
	return answer{state: state, err: err}
}

// liveMembers returns the members known, this daemon always included.
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
		Lagging:     []Lagging{},
		Unreachable: []Unreachable{},
		Replicas:    []Troubled{},
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
			status.Lagging = append(status.Lagging, laggingOf(node))
		}
	}
	status.Replicas = troubledReplicas(status.Nodes)
	status.StoreOutSince = storeOutSince(status.Nodes)
	writeJSON(w, status)
}

// troubledReplicas merges what the daemons say of replicas.
func troubledReplicas(nodes []peer.NodeState) []Troubled {
	seen := make(map[peer.DegradedReplica]int)
	for _, node := range nodes {
		for _, one := range node.DegradedReplicas {
			seen[one]++
		}
	}
	merged := make([]Troubled, 0, len(seen))
	for one, count := range seen {
		merged = append(merged, Troubled{DegradedReplica: one, SeenBy: count})
	}
	slices.SortFunc(merged, func(a, b Troubled) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Reason, b.Reason))
	})
	return merged
}

// storeOutSince looks at the daemons that know the store's status.
func storeOutSince(nodes []peer.NodeState) *time.Time {
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

func laggingOf(node peer.NodeState) Lagging {
	return Lagging{ID: node.Member.ID, Place: node.Member.Place, Revision: node.TableRevision}
}

// awaitRevision asks the members again and again until the revision is in
// force on all of them or the wait is over; only those that lag are asked
// again.
func (h *handler) awaitRevision(ctx context.Context, revision uint64, wait time.Duration) Propagation {
	start := time.Now()
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	remaining := h.liveMembers()
	propagation := Propagation{Revision: revision, Daemons: len(remaining)}
	pause := firstRecheck
	for {
		remaining = h.recheck(bounded, &propagation, remaining)
		if len(remaining) == 0 || !sleep(bounded, pause) {
			break
		}
		pause = min(2*pause, longestRecheck)
	}
	propagation.Complete = len(remaining) == 0
	propagation.TookMilliseconds = time.Since(start).Milliseconds()
	return propagation
}

// recheck asks the members that lagged and returns those that still do. A
// member that died or left meanwhile is no longer waited for. A round that
// the deadline cut short does not replace what was known before.
func (h *handler) recheck(ctx context.Context, propagation *Propagation, members []topology.Member) []topology.Member {
	answers := h.gather(ctx, members)
	cut := ctx.Err() != nil
	live := h.liveIDs()
	var remaining []topology.Member
	var lagging []Lagging
	var unreachable []Unreachable
	for i, got := range answers {
		switch {
		case got.err == nil && got.state.TableRevision >= propagation.Revision:
			continue
		case got.err == nil:
			lagging = append(lagging, laggingOf(got.state))
		case !live[members[i].ID]:
			continue
		default:
			unreachable = append(unreachable, Unreachable{Member: members[i], Reason: got.err.Error()})
		}
		remaining = append(remaining, members[i])
	}
	known := len(propagation.Lagging)+len(propagation.Unreachable) > 0
	if !cut || !known {
		propagation.Lagging, propagation.Unreachable = lagging, unreachable
	}
	return remaining
}

func (h *handler) liveIDs() map[string]bool {
	live := make(map[string]bool)
	for _, member := range h.liveMembers() {
		live[member.ID] = true
	}
	return live
}

// sleep returns false when ctx ended first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
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

// Replicas is what one daemon knows of the replicas.
type Replicas struct {
	// Groups are all replicas listed.
	Groups map[string][]topology.Replica `json:"groups"`
	// Requests is how each replica that takes requests fares, by address.
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
