package query

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorpond/doorpond/internal/admission"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/replica"
)

// maxWaitFraction bounds the wait for a full shard, as a fraction of the objective. The query is sent
// then, so that its answer may still come within the objective.
const maxWaitFraction = 0.2

// gate holds the queries over many shards of one target back while their scarcest shards are
// full.
type gate struct {
	mutex   sync.Mutex
	waiting []*waiter // in the order of admission, by turn
	// length is the length of waiting, starting the number of queries that are admitted and have
	// not sent their sub-requests yet.
	length   atomic.Int64
	starting atomic.Int64
}

// turn orders queries: by the rank of the tenant, then of the route, then by the tenant's use of the
// target when the query arrived. The use counts the tenant's waiting queries, so that the queries of
// tenants that send many at once take turns with those of others.
type turn struct {
	tenantRank, rank int
	use              float64
}

func (t turn) compare(other turn) int {
	return cmp.Or(cmp.Compare(t.tenantRank, other.tenantRank), cmp.Compare(t.rank, other.rank), cmp.Compare(t.use, other.use))
}

// waiter is a query that waits for a full shard.
type waiter struct {
	turn     turn
	decide   func() admission.Verdict
	inbox    Inbox
	admitted atomic.Bool
}

// enter admits a query, or holds it until its shards can take it. The caller must call started
// once the query's sub-requests have been sent.
func (g *gate) enter(ctx context.Context, driver Driver, order turn, limit time.Duration, decide func() admission.Verdict) admission.Verdict {
	g.mutex.Lock()
	verdict := decide()
	if verdict == admission.Send && len(g.waiting) > 0 && g.waiting[0].turn.compare(order) <= 0 {
		verdict = admission.Wait
	}
	if verdict == admission.Send {
		g.starting.Add(1)
	}
	if verdict != admission.Wait {
		g.mutex.Unlock()
		return verdict
	}
	held := &waiter{turn: order, decide: decide, inbox: driver.NewInbox(1)}
	at := sort.Search(len(g.waiting), func(i int) bool { return g.waiting[i].turn.compare(order) > 0 })
	g.waiting = slices.Insert(g.waiting, at, held)
	g.length.Store(int64(len(g.waiting)))
	g.mutex.Unlock()
	defer held.inbox.Close()
	held.inbox.SetTimer(limit)
	held.inbox.Next(ctx)
	return g.leave(held)
}

// leave removes a query from the queue, unless it has been admitted.
func (g *gate) leave(held *waiter) admission.Verdict {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if held.admitted.Load() {
		return admission.Send
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool { return w == held })
	g.length.Store(int64(len(g.waiting)))
	return admission.Wait
}

// started records that an admitted query has sent its sub-requests.
func (g *gate) started() {
	g.starting.Add(-1)
	g.wake()
}

// wake admits the queries at the head of the queue that their shards can take.
func (g *gate) wake() {
	if g.length.Load() == 0 {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for len(g.waiting) > 0 {
		head := g.waiting[0]
		if head.decide() != admission.Send {
			return
		}
		g.starting.Add(1)
		head.admitted.Store(true)
		g.waiting = g.waiting[1:]
		g.length.Store(int64(len(g.waiting)))
		head.inbox.Deliver(AttemptResult{})
	}
}

// gates holds a gate for each target.
type gates struct{ byTarget sync.Map } // string -> *gate

func (g *gates) of(target string) *gate {
	if known, found := g.byTarget.Load(target); found {
		return known.(*gate)
	}
	known, _ := g.byTarget.LoadOrStore(target, &gate{})
	return known.(*gate)
}

// waiting returns the number of queries that wait at all gates.
func (g *gates) waiting() int64 {
	total := int64(0)
	g.byTarget.Range(func(_, target any) bool {
		total += target.(*gate).length.Load()
		return true
	})
	return total
}

// AdmissionState returns the state of the targets with most requests in flight, for operators.
func (s *Service) AdmissionState() []admission.TargetState {
	states := s.controllers.State(s.options.Now())
	for i := range states {
		if target, found := s.gates.byTarget.Load(states[i].Target); found {
			states[i].Waiting = target.(*gate).length.Load()
		}
	}
	return states
}

// admitWhole admits a query over many shards by its scarcest shards, and returns its gate.
func (s *Service) admitWhole(ctx context.Context, request *ForwardRequest, groups []string, criteria *replica.SelectionCriteria, controller *admission.Controller) (*gate, error) {
	target, route := s.gates.of(groups[0]), request.Route
	needed := max(1, route.MinShards)
	count := func() admission.Shards {
		shards := admission.Shards{Total: len(groups)}
		s.options.Pool.GroupStates(groups, criteria, int(target.starting.Load()), func(state replica.GroupState) {
			switch state {
			case replica.GroupLost:
				shards.Lost++
			case replica.GroupShedding:
				shards.Full++
			}
		})
		return shards
	}
	limit := min(time.Duration(maxWaitFraction*float64(route.Objective)), request.timeLeft()/2)
	tenant := admissionTenant(request.Tenant)
	order := turn{tenantRank: tenant.Rank, rank: route.Rank, use: controller.TenantUse(tenant, s.options.Now())}
	arrived := s.options.Now()
	verdict := target.enter(ctx, s.options.Driver, order, limit, func() admission.Verdict { return count().Decide(needed) })
	s.metrics.observeWait(s.options.Now().Sub(arrived))
	if verdict == admission.Send {
		return target, nil
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrShuttingDown) {
		return nil, failure.New(failure.Canceled, "request canceled by the caller").WithNotRun(true)
	}
	if verdict == admission.Wait && ctx.Err() == nil {
		// A late answer is worth more to the caller than a refusal.
		target.starting.Add(1)
		return target, nil
	}
	s.controllers.CountRefusal("shard_lost")
	shards := count()
	return nil, failure.New(failure.NoReplica, fmt.Sprintf("%d of %d shards can be reached, %d are needed",
		shards.Total-shards.Lost, shards.Total, needed))
}
