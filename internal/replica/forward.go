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

// PeerForwarder asks a peer to ask one of its replicas; peer.Client is one.
// Its errors are *failure.Error, with NotRun only where nothing ran.
type PeerForwarder interface {
	Forward(ctx context.Context, address string, request peer.ForwardRequest) (peer.ForwardReply, error)
}

// The constants of forwarding.
const (
	// maxPeerRoutes is how many peers are known for a group whose replicas are
	// out of this daemon's reach, in whole or in part.
	maxPeerRoutes = 3
	// maxHolderDraws is how often a holder is drawn that is not this daemon, a
	// repetition, or on its way out.
	maxHolderDraws = 4
	// sufficientReplicas replicas of a group need no peer beside them.
	sufficientReplicas = 4
)

// routeKey names a handle that leads through a peer to the replicas of a group.
type routeKey struct {
	member, group string
}

// newPeerHandle makes a handle through which a peer is asked. It holds no
// connection to a back end.
func newPeerHandle(p *Pool, group *GroupHealth, member topology.Member, name string) *Handle {
	replica := topology.Replica{
		Address: member.PeerAddress, Incarnation: member.ID, Group: name, Place: member.Place, Slots: peerSlots,
	}
	handle := &Handle{
		Health: NewHealth(replica, p.options.Self, p.options.Now()), group: group, replica: replica,
		viaPeer: true, multiplex: true, metrics: p.metrics,
	}
	handle.budget.Store(1) // a peer's connection carries many requests
	return handle
}

// peerSlots bounds the requests of one group in flight through one peer.
const peerSlots = 16

// addPeerRoutes gives a group handles through peers, where this daemon reaches few
// of the group's replicas itself. The peers are holders of other replicas,
// nearest first; daemons draw different ones.
func (p *Pool) addPeerRoutes(seen, next *view, built *group, shares *GroupConnections, listed []topology.Replica) {
	if p.options.Peers == nil || len(built.handles) >= sufficientReplicas {
		return
	}
	name := listed[0].Group
	random := xxhash.Sum64String(shares.plan.self.ID + name)
	var chosen []string
	for _, at := range p.unreachableReplicas(shares, listed, random) {
		member, found := pickHolder(shares, at, random, chosen)
		if !found {
			continue
		}
		chosen = append(chosen, member.ID)
		key := routeKey{member.ID, name}
		handle := seen.routes[key]
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

// unreachableReplicas returns the replicas that this daemon must not connect to,
// nearest first and within a distance from a random one on.
func (p *Pool) unreachableReplicas(shares *GroupConnections, listed []topology.Replica, random uint64) []int {
	found := make([]int, 0, len(listed))
	first := int(random % uint64(len(listed)))
	for i := range listed {
		at := (first + i) % len(listed)
		if shares.Budget(at) == 0 {
			found = append(found, at)
		}
	}
	slices.SortStableFunc(found, func(a, b int) int {
		return int(p.options.Self.DistanceTo(listed[a].Place) - p.options.Self.DistanceTo(listed[b].Place))
	})
	return found
}

func pickHolder(shares *GroupConnections, replica int, random uint64, chosen []string) (topology.Member, bool) {
	for try := range uint64(maxHolderDraws) {
		member, found := shares.Holder(replica, random>>(8*try))
		usable := found && member.State <= topology.MemberSuspect && member.ID != shares.plan.self.ID
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

// forwardedRefusal is the proof of a replica, passed on by a peer, that it did
// not run the request.
func (p *Pool) forwardedRefusal(reply peer.ForwardReply) SubrequestResult {
	refused := reply.Refusal
	draining := refused.Draining || refused.Reason == backendapi.RefusedDraining
	p.applyForwardedState(reply.Address, refused.Incarnation, draining)
	return SubrequestResult{
		Outcome:    refusalOutcome(refused.Reason),
		NotRun:     true,
		RetryAfter: time.Duration(refused.RetryAfterMilliseconds) * time.Millisecond,
		Err:        eris.Errorf("refused through a peer: %s", refused.Reason),
	}
}

// applyForwardedState takes in that a replica behind a peer is leaving.
func (p *Pool) applyForwardedState(address, incarnation string, draining bool) {
	if draining && incarnation != "" && p.options.Tracker != nil {
		p.options.Tracker.MarkLeaving(address, incarnation)
	}
}

// forwardCall sends a call that may not be repeated through a peer.
func (p *Pool) forwardCall(ctx context.Context, handle *Handle, request backendapi.CallRequest) (backendapi.CallReply, *failure.Error) {
	p.metrics.forwarded.Inc()
	forwarded, err := p.options.Peers.Forward(ctx, handle.replica.Address, peer.ForwardRequest{
		Group: handle.replica.Group, TimeoutMilliseconds: request.TimeoutMilliseconds, Call: &request,
	})
	if err != nil {
		return backendapi.CallReply{}, forwardedCallFailure(err)
	}
	if forwarded.Call == nil || forwarded.Call.Key != request.Key {
		return backendapi.CallReply{}, failure.New(failure.OutcomeUnknown, "peer's reply is not for the key")
	}
	return *forwarded.Call, nil
}

// forwardedCallFailure keeps the two kinds of answer apart that a call has.
func forwardedCallFailure(err error) *failure.Error {
	known := failure.From(err)
	if known.NotRun {
		refused := failure.Wrap(err, failure.BackendRefused, "call through a peer").WithNotRun(true)
		if known.RetryAfter > 0 {
			refused = refused.WithRetryAfter(known.RetryAfter)
		}
		return refused
	}
	return failure.Wrap(err, failure.OutcomeUnknown, "call through a peer")
}
