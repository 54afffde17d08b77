package replica

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/topology"
)

// PeerForwarder asks a peer to forward a request to one of its replicas. It is
// implemented by peer.Client. Errors are of type *failure.Error; NotRun is set
// only if no replica ran the request.
type PeerForwarder interface {
	Forward(ctx context.Context, address string, request peer.ForwardRequest) (peer.ForwardReply, error)
}

const (
	// maxPeerRoutes limits how many peers are used for a group whose replicas
	// this daemon cannot all connect to.
	maxPeerRoutes = 3
	// maxHolderDraws limits the attempts to pick a holder that is usable, not
	// this daemon and not chosen already.
	maxHolderDraws = 4
	// sufficientReplicas is the number of directly connected replicas with
	// which a group needs no routes through peers.
	sufficientReplicas = 4
)

// routeKey identifies a handle that reaches the replicas of a group through a
// peer.
type routeKey struct {
	member, group string
}

// newPeerHandle returns a handle that forwards requests through a peer. It
// holds no connection to a backend.
func newPeerHandle(p *Pool, group *GroupHealth, member topology.Member, name string) *Handle {
	replica := topology.Replica{
		Address: member.PeerAddress, Incarnation: member.ID, Group: name, Place: member.Place, Slots: peerSlots,
	}
	handle := &Handle{
		Health: NewHealth(replica, p.options.Self, p.options.Now()), group: group, replica: replica,
		viaPeer: true, multiplex: true, metrics: p.metrics,
	}
	handle.budget.Store(1) // connections to peers are multiplexed
	return handle
}

// peerSlots limits the requests of one group in flight through one peer.
const peerSlots = 16

// addPeerRoutes adds routes through peers to a group of which this daemon can
// connect to few replicas. The peers are holders of the other replicas, nearest
// first. The choice is seeded by the daemon's ID to spread load over peers.
func (p *Pool) addPeerRoutes(prev, next *view, built *group, connections *GroupConnections, listed []topology.Replica) {
	if p.options.Peers == nil || len(built.handles) >= sufficientReplicas {
		return
	}
	name := listed[0].Group
	random := xxhash.Sum64String(connections.plan.self.ID + name)
	var chosen []string
	for _, at := range p.unreachableReplicas(connections, listed, random) {
		member, found := pickHolder(connections, at, random, chosen)
		if !found {
			continue
		}
		chosen = append(chosen, member.ID)
		key := routeKey{member.ID, name}
		handle := prev.routes[key]
		if handle == nil {
			handle = newPeerHandle(p, built.state, member, name)
		}
		next.routes[key] = handle
		built.routes = append(built.routes, handle)
		if len(chosen) == maxPeerRoutes {
			return
		}
	}
}

// unreachableReplicas returns the indexes of the replicas that this daemon must
// not connect to, sorted by distance. The order within a distance is rotated at
// random.
func (p *Pool) unreachableReplicas(connections *GroupConnections, listed []topology.Replica, random uint64) []int {
	found := make([]int, 0, len(listed))
	first := int(random % uint64(len(listed)))
	for i := range listed {
		at := (first + i) % len(listed)
		if connections.Budget(at) == 0 {
			found = append(found, at)
		}
	}
	slices.SortStableFunc(found, func(a, b int) int {
		return int(p.options.Self.DistanceTo(listed[a].Place) - p.options.Self.DistanceTo(listed[b].Place))
	})
	return found
}

// pickHolder returns a daemon other than this one that may connect to the
// replica, is neither leaving nor dead and is not in chosen.
func pickHolder(connections *GroupConnections, replica int, random uint64, chosen []string) (topology.Member, bool) {
	for draw := range uint64(maxHolderDraws) {
		member, found := connections.Holder(replica, random>>(8*draw))
		usable := found && member.State <= topology.MemberSuspect && member.ID != connections.plan.self.ID
		if usable && !slices.Contains(chosen, member.ID) {
			return member, true
		}
	}
	return topology.Member{}, false
}

// forwardSearch sends a sub-request through a peer.
func (p *Pool) forwardSearch(ctx context.Context, handle *Handle, request *backendapi.SearchRequest) SubrequestResult {
	p.metrics.forwarded.Inc()
	reply, err := p.options.Peers.Forward(ctx, handle.replica.Address, peer.ForwardRequest{
		Group: handle.replica.Group, TimeoutMilliseconds: request.TimeoutMilliseconds, Search: *request,
	})
	switch {
	case err != nil:
		return SubrequestResult{Outcome: decision.Failed, NotRun: failure.From(err).NotRun, Err: err}
	case reply.Refusal != nil:
		return p.forwardedRefusal(reply)
	}
	if err := validateReply(request, &reply.Search); err != nil {
		return SubrequestResult{Outcome: decision.Invalid, Err: err}
	}
	p.applyForwardedState(reply.Address, reply.Search.Incarnation, reply.Search.Draining)
	return SubrequestResult{Outcome: decision.Success, Reply: &reply.Search}
}

// forwardedRefusal converts a replica's refusal, relayed by a peer, into a
// result. The refusal proves that the replica did not run the request.
func (p *Pool) forwardedRefusal(reply peer.ForwardReply) SubrequestResult {
	refused := reply.Refusal
	draining := refused.Draining || refused.Reason == backendapi.RefusedDraining
	p.applyForwardedState(reply.Address, refused.Incarnation, draining)
	return SubrequestResult{
		Outcome:    refusalOutcome(refused.Reason),
		NotRun:     true,
		RetryAfter: time.Duration(refused.RetryAfterMilliseconds) * time.Millisecond,
		Err:        eris.Errorf("refused via peer: %s", refused.Reason),
	}
}

// applyForwardedState marks a replica behind a peer as leaving if its reply
// reports that it is draining.
func (p *Pool) applyForwardedState(address, incarnation string, draining bool) {
	if draining && incarnation != "" && p.options.Tracker != nil {
		p.options.Tracker.MarkLeaving(address, incarnation)
	}
}

// forwardCall sends a non-idempotent call through a peer.
func (p *Pool) forwardCall(ctx context.Context, handle *Handle, request backendapi.CallRequest) (backendapi.CallReply, *failure.Error) {
	p.metrics.forwarded.Inc()
	forwarded, err := p.options.Peers.Forward(ctx, handle.replica.Address, peer.ForwardRequest{
		Group:               handle.replica.Group,
		TimeoutMilliseconds: max(request.TimeoutMilliseconds, request.ResponseTimeout.Milliseconds()),
		Call:                &request,
	})
	if err != nil {
		return backendapi.CallReply{}, forwardedCallFailure(err)
	}
	if forwarded.Call == nil || forwarded.Call.Key != request.Key {
		return backendapi.CallReply{}, failure.New(failure.OutcomeUnknown, "peer reply has a different key")
	}
	return *forwarded.Call, nil
}

// forwardedCallFailure maps a peer's error to BackendRefused if the call did
// not run and to OutcomeUnknown otherwise.
func forwardedCallFailure(err error) *failure.Error {
	known := failure.From(err)
	if known.NotRun {
		refused := failure.Wrap(err, failure.BackendRefused, "call via peer").WithNotRun(true)
		if known.RetryAfter > 0 {
			refused = refused.WithRetryAfter(known.RetryAfter)
		}
		return refused
	}
	return failure.Wrap(err, failure.OutcomeUnknown, "call via peer")
}
