package replica

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/upstream"
)

// SelectionCriteria controls which replica is selected for a message.
type SelectionCriteria struct {
	Weights policy.Replicas
	// Baseline holds the typical latencies of messages of this kind.
	Baseline *LatencyBaseline
	// LateAfter is the time after which an answer is late, for distances
	// without a known median latency.
	LateAfter time.Duration
	// Regions lists the regions whose replicas may be selected. If empty, all
	// may.
	Regions []string
	// Canary is set for a message suspected of terminating the replica process
	// that runs it. No other message of this node is sent to its replica
	// meanwhile, unless there is no other replica: a termination loses no other
	// request then, and can be attributed to this message.
	Canary bool
	// Idle restricts a canary to replicas that run no other request of this
	// node.
	Idle bool
}

// allowsRegion reports whether the replica is in an allowed region.
func (c *SelectionCriteria) allowsRegion(handle *Handle) bool {
	return len(c.Regions) == 0 || slices.Contains(c.Regions, handle.replica.Place.Region)
}

// lateAfter returns the time after which an answer from the replica is late.
func (c *SelectionCriteria) lateAfter(handle *Handle) time.Duration {
	if median := c.Baseline.Median(handle.distance); median > 0 {
		return lateRatio * median
	}
	return c.LateAfter
}

// MaxLateAfter returns the time after which an answer is late from the farthest
// distance with a known latency.
func (c *SelectionCriteria) MaxLateAfter() time.Duration {
	if farthest := c.Baseline.FarthestMedian(); farthest > 0 {
		return lateRatio * farthest
	}
	return c.LateAfter
}

// AcquireResult is the outcome of AcquireForMessage.
type AcquireResult struct {
	// Handle is the selected replica, nil if there is none.
	Handle *Handle
	// LateAfter is the time after which the replica's answer is late.
	LateAfter time.Duration
	// Busy is set if no replica is available now but one would be with fewer
	// requests in flight.
	Busy bool
	// Exhausted is set if every replica that may take the message has been
	// tried or is ejected.
	Exhausted bool
}

// AcquireForMessage selects a replica for a message and counts a request in
// flight to it until Forward ends it.
func (p *Pool) AcquireForMessage(groupName string, criteria *SelectionCriteria, tried []*Handle) AcquireResult {
	found := p.current().groups[groupName]
	if found == nil {
		return AcquireResult{}
	}
	choose := decision.ChooseReplica
	if len(tried) > 0 {
		choose = decision.ChooseAlternate
	}
	now := p.options.Now()
	busy, exhausted := false, true
	reachable := found.hasReachable(criteria, now)
	describe := func(handle *Handle) decision.Candidate {
		candidate := handle.candidateFor(now, criteria)
		candidate.Excluded = candidate.Excluded || (reachable && handle.isUnreachable(now))
		if criteria.Canary {
			candidate.Limit = 1
		}
		if criteria.Idle && candidate.InFlight > 0 {
			candidate.ConnectionAvailable = false
		}
		untried := !candidate.Excluded && !slices.Contains(tried, handle)
		busy = busy || (untried && !candidate.ConnectionAvailable)
		exhausted = exhausted && (!untried || candidate.Ejected)
		return candidate
	}
	chosen := p.chooseFrom(found.handles, criteria.Weights, tried, choose, now, describe)
	if chosen == nil {
		return AcquireResult{Busy: busy, Exhausted: exhausted}
	}
	chosen.recordSent(now)
	if criteria.Canary {
		chosen.canaries.Add(1)
	}
	p.metrics.observeChoice(chosen.distance, len(tried) > 0)
	return AcquireResult{Handle: chosen, LateAfter: criteria.lateAfter(chosen)}
}

// CountServableGroups returns how many of the groups have a replica that may
// take a message now, possibly after waiting for a connection.
func (p *Pool) CountServableGroups(groups []string, criteria *SelectionCriteria) int {
	current, now := p.current(), p.options.Now()
	mayTake := func(handle *Handle) bool { return handle.mayTake(criteria, now) }
	servable := 0
	for _, name := range groups {
		if found := current.groups[name]; found != nil && slices.ContainsFunc(found.handles, mayTake) {
			servable++
		}
	}
	return servable
}

// candidateFor describes the replica for the selection of a message's replica,
// with the latency expected for that kind of message.
func (h *Handle) candidateFor(now time.Time, criteria *SelectionCriteria) decision.Candidate {
	candidate := h.candidate(now)
	age := now.Sub(h.created)
	median := criteria.Baseline.Median(h.distance)
	candidate.LatencyEWMA = time.Duration(h.slowdown.factor(age) / h.lossRate.successRate(age) * float64(median))
	candidate.ConnectionAvailable = candidate.ConnectionAvailable && candidate.InFlight < candidate.Limit
	candidate.Excluded = !h.mayTake(criteria, now)
	candidate.Warmth = 1 // slowness during warm-up is covered by slowdown
	candidate.Ejected = candidate.Ejected || h.vanished.Load()
	candidate.RunsCanary = h.canaries.Load() > 0
	candidate.Unresponsive = h.silence.duration(age, h.inFlight.Load()) > criteria.lateAfter(h)
	return candidate
}

// mayTake reports whether a message may be sent to the replica at all. A
// replica whose address was reused stays excluded even if it is the last one
// listed in its group: each message for it would arrive at another group, whose
// retry budget does not account for it.
func (h *Handle) mayTake(criteria *SelectionCriteria, now time.Time) bool {
	return criteria.allowsRegion(h) && h.coldLimiter.hasCapacity(now) && !h.addressReused.Load()
}

func (h *Handle) recordSent(now time.Time) {
	h.silence.requestSent(now.Sub(h.created), h.inFlight.Load())
}

// Forward sends a message to an acquired replica, at most once, and releases
// the handle. For a part of a scattered query, only a success status counts as
// Success.
func (p *Pool) Forward(ctx context.Context, handle *Handle, message *upstream.Request, timeout time.Duration, criteria *SelectionCriteria, scattered bool) SubrequestResult {
	defer handle.release()
	start := p.options.Now()
	reply, err := handle.upstream.Exchange(ctx, p.options.Codec, message, handle.replica.Incarnation, timeout)
	suspects := handle.suspects() // read before other requests on a terminated replica end
	result := classifyForward(reply, err, scattered)
	if handle.upstream.HasExited(ctx, err) {
		result.Outcome = decision.Crashed
		result.Attribution = 1 / float64(suspects)
	}
	if result.Outcome == decision.Misdirected {
		p.markAddressReused(handle)
	}
	p.recordForward(ctx, handle, result, start, criteria)
	p.metrics.outcomes[result.Outcome].Inc()
	return result
}

// EndCanary ends the reservation of the replica for a canary.
func (h *Handle) EndCanary() { h.canaries.Add(-1) }

// markAddressReused records that another process answers at the replica's
// address. Every process has its own incarnation, so the handle's process has
// terminated.
func (p *Pool) markAddressReused(handle *Handle) {
	if !handle.addressReused.Swap(true) && p.options.OnAddressReused != nil {
		p.options.OnAddressReused(handle.replica)
	}
}

// classifyForward converts the result of an exchange into a SubrequestResult.
func classifyForward(reply *upstream.Response, err error, scattered bool) SubrequestResult {
	switch {
	case errors.Is(err, upstream.ErrNotAccepted):
		return SubrequestResult{Outcome: decision.ResetBeforeWrite, NotRun: true, Err: err}
	case errors.Is(err, upstream.ErrNotSent):
		return SubrequestResult{Outcome: decision.ConnectFailed, NotRun: true, Err: err}
	case errors.Is(err, upstream.ErrReset):
		return SubrequestResult{Outcome: decision.ResetAfterWrite, Err: err}
	case err != nil:
		return SubrequestResult{Outcome: decision.Failed, Err: err}
	case reply.Misdirected:
		return SubrequestResult{Outcome: decision.Misdirected, NotRun: true, Err: eris.New("address is in use by another process")}
	case reply.NotExecuted:
		return SubrequestResult{Outcome: decision.Shed, NotRun: true, Err: eris.Errorf("refused with status %d", reply.Status)}
	case reply.Signature == "":
		return SubrequestResult{Outcome: decision.Invalid, Err: eris.Errorf("reply with status %d has no signature", reply.Status)}
	case scattered:
		return classifyScattered(reply)
	case reply.Status >= minServerErrorStatus:
		return SubrequestResult{Outcome: decision.Failed, UpstreamReply: reply, Err: eris.Errorf("unexpected status %d", reply.Status)}
	default:
		return SubrequestResult{Outcome: decision.Success, UpstreamReply: reply}
	}
}

// minServerErrorStatus is the lowest HTTP status that indicates a server error.
const minServerErrorStatus = 500

func classifyScattered(reply *upstream.Response) SubrequestResult {
	if !reply.Succeeded() {
		return SubrequestResult{Outcome: decision.Failed, UpstreamReply: reply, Err: eris.Errorf("unexpected status %d", reply.Status)}
	}
	return SubrequestResult{Outcome: decision.Success, UpstreamReply: reply}
}

// recordForward updates the replica's health and latency estimates.
func (p *Pool) recordForward(ctx context.Context, handle *Handle, result SubrequestResult, start time.Time, criteria *SelectionCriteria) {
	now := p.options.Now()
	elapsed := now.Sub(start)
	age := now.Sub(handle.created)
	canceled := ctx.Err() != nil
	if !canceled && !result.Outcome.NotSent() {
		handle.silence.replyReceived(age)
	}
	late := elapsed > criteria.lateAfter(handle)
	if median := criteria.Baseline.Median(handle.distance); median > 0 && (result.Outcome == decision.Success || (canceled && late)) {
		handle.slowdown.observe(age, median, float64(elapsed)/float64(median))
	}
	if result.Outcome == decision.Success {
		criteria.Baseline.record(handle.distance, elapsed)
	}
	observation := Observation{Outcome: result.Outcome, Canceled: canceled, Elapsed: elapsed, RetryAfter: result.RetryAfter, Late: late}
	if result.Outcome == decision.ConnectFailed && !errors.Is(result.Err, upstream.ErrConnectionLimit) {
		observation.Outcome = decision.Failed // an unreachable replica is unhealthy
	}
	if result.Outcome == decision.ResetAfterWrite || result.Outcome == decision.Crashed {
		observation.Outcome = decision.Failed // possibly a fault of this replica only
	}
	if errors.Is(result.Err, syscall.ECONNRESET) {
		handle.decreaseLimit() // a replica at its connection limit resets connections
	}
	if !errors.Is(result.Err, upstream.ErrConnectionLimit) && !canceled {
		handle.observeReachability(now, result.Outcome)
	}
	if handle.Health.Observe(now, observation) {
		p.metrics.ejections.Inc()
	}
}
