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

// SelectionCriteria are what a replica for a message is chosen by.
type SelectionCriteria struct {
	Weights policy.Replicas
	// Baseline is how long such messages take.
	Baseline *LatencyBaseline
	// LateAfter is used while the usual time is not known.
	LateAfter time.Duration
	// Regions are those whose replicas may take the message; empty means all.
	Regions []string
	// Canary is true for a message that may end the replica that runs it: one that runs no
	// other of this node's is chosen, if there is one, so that no other is lost with it and
	// the end speaks against this one alone.
	Canary bool
}

// allowsRegion tells whether a replica may take the message.
func (t *SelectionCriteria) allowsRegion(handle *Handle) bool {
	return len(t.Regions) == 0 || slices.Contains(t.Regions, handle.replica.Place.Region)
}

// lateAfter returns the time after which an answer from a distance is late.
func (t *SelectionCriteria) lateAfter(handle *Handle) time.Duration {
	if usual := t.Baseline.Median(handle.distance); usual > 0 {
		return lateRatio * usual
	}
	return t.LateAfter
}

// MaxLateAfter is the time after which an answer from any distance that is known
// is late.
func (t *SelectionCriteria) MaxLateAfter() time.Duration {
	if most := t.Baseline.FarthestMedian(); most > 0 {
		return lateRatio * most
	}
	return t.LateAfter
}

// AcquireResult is a replica chosen for a message.
type AcquireResult struct {
	// Handle is nil when there is none.
	Handle *Handle
	// LateAfter is the time after which the replica's answer is late.
	LateAfter time.Duration
	// Busy is true when there is none now, but one that only lacks connections.
	Busy bool
	// Exhausted is true when there is none, as each that may take the message was tried.
	Exhausted bool
}

// AcquireForMessage is Acquire for a message.
func (p *Pool) AcquireForMessage(groupName string, terms *SelectionCriteria, tried []*Handle) AcquireResult {
	found := p.current().groups[groupName]
	if found == nil {
		return AcquireResult{}
	}
	choose := decision.ChooseReplica
	if len(tried) > 0 {
		choose = decision.ChooseAnother
	}
	now := p.options.Now()
	busy, exhausted := false, true
	describe := func(handle *Handle) decision.Candidate {
		candidate := handle.candidateFor(now, terms)
		if terms.Canary {
			candidate.Limit = 1
		}
		untried := !candidate.Barred && !slices.Contains(tried, handle)
		busy = busy || (untried && !candidate.ConnectionAvailable)
		exhausted = exhausted && !untried
		return candidate
	}
	chosen := p.chooseFrom(found.handles, terms.Weights, tried, choose, now, describe)
	if chosen == nil {
		return AcquireResult{Busy: busy, Exhausted: exhausted}
	}
	chosen.recordSent(now)
	p.metrics.observeChoice(chosen.distance, len(tried) > 0)
	return AcquireResult{Handle: chosen, LateAfter: terms.lateAfter(chosen)}
}

// CountServableGroups counts those of some groups that have a replica which may take a message
// now, though it may have to wait for a connection.
func (p *Pool) CountServableGroups(groups []string, terms *SelectionCriteria) int {
	seen, now := p.current(), p.options.Now()
	mayTake := func(handle *Handle) bool { return handle.mayTake(terms, now) }
	servable := 0
	for _, name := range groups {
		if found := seen.groups[name]; found != nil && slices.ContainsFunc(found.handles, mayTake) {
			servable++
		}
	}
	return servable
}

// candidateFor is candidate with the latency that a message is expected to
// have there.
func (h *Handle) candidateFor(now time.Time, terms *SelectionCriteria) decision.Candidate {
	candidate := h.candidate(now)
	age := now.Sub(h.created)
	usual := terms.Baseline.Median(h.distance)
	candidate.LatencyEWMA = time.Duration(h.slowdown.factor(age) / h.lossRate.successRate(age) * float64(usual))
	candidate.ConnectionAvailable = candidate.ConnectionAvailable && candidate.InFlight < candidate.Limit
	candidate.Barred = !h.mayTake(terms, now)
	candidate.Warmth = 1 // the replica's own speed tells whether it is slow
	candidate.Ejected = candidate.Ejected || h.vanished.Load()
	candidate.Silent = h.silence.duration(age, h.inFlight.Load()) > terms.lateAfter(h)
	return candidate
}

// mayTake tells whether a message may be sent there at all. One that is displaced is out
// for good, though it is the last of its group that is listed: each message for it would
// be an arrival at another group, which the retry budget of that one does not account for.
func (h *Handle) mayTake(terms *SelectionCriteria, now time.Time) bool {
	return terms.allowsRegion(h) && h.coldLimiter.hasCapacity(now) && !h.addressReused.Load()
}

func (h *Handle) recordSent(now time.Time) {
	h.silence.requestSent(now.Sub(h.created), h.inFlight.Load())
}

// Forward sends a message to an acquired replica, once, and releases it. A part
// of a scattered query must be a success.
func (p *Pool) Forward(ctx context.Context, handle *Handle, message *upstream.Message, timeout time.Duration, terms *SelectionCriteria, scattered bool) SubrequestResult {
	defer handle.release()
	started := p.options.Now()
	reply, err := handle.upstream.Exchange(ctx, p.options.Codec, message, handle.replica.Incarnation, timeout)
	running := handle.inFlight.Load() // before the others that break with it have ended
	result := classifyForward(reply, err, scattered)
	if handle.upstream.HasEnded(ctx, err) {
		result.Outcome = decision.Ended
		result.Blame = 1 / float64(max(1, running))
	}
	if result.Outcome == decision.Elsewhere {
		p.markAddressReused(handle)
	}
	p.recordForward(ctx, handle, result, started, terms)
	p.metrics.outcomes[result.Outcome].Inc()
	return result
}

// markAddressReused notes that another process answers at a replica's address. As each process
// has an incarnation of its own, the one of the handle has ended.
func (p *Pool) markAddressReused(handle *Handle) {
	if !handle.addressReused.Swap(true) && p.options.OnAddressReused != nil {
		p.options.OnAddressReused(handle.replica)
	}
}

// classifyForward tells what an exchange means for the query.
func classifyForward(reply *upstream.Reply, err error, scattered bool) SubrequestResult {
	switch {
	case errors.Is(err, upstream.ErrNotAccepted):
		return SubrequestResult{Outcome: decision.Unaccepted, NotRun: true, Err: err}
	case errors.Is(err, upstream.ErrNotSent):
		return SubrequestResult{Outcome: decision.Unreached, NotRun: true, Err: err}
	case errors.Is(err, upstream.ErrReset):
		return SubrequestResult{Outcome: decision.Reset, Err: err}
	case err != nil:
		return SubrequestResult{Outcome: decision.Failed, Err: err}
	case reply.Elsewhere:
		return SubrequestResult{Outcome: decision.Elsewhere, NotRun: true, Err: eris.New("another process is at the address")}
	case reply.NotRun:
		return SubrequestResult{Outcome: decision.Shed, NotRun: true, Err: eris.Errorf("refused with status %d", reply.Status)}
	case reply.Signature == "":
		return SubrequestResult{Outcome: decision.Invalid, Err: eris.Errorf("status %d without a signature", reply.Status)}
	case scattered:
		return classifyScattered(reply)
	case reply.Status >= minServerErrorStatus:
		return SubrequestResult{Outcome: decision.Failed, UpstreamReply: reply, Err: eris.Errorf("status %d", reply.Status)}
	default:
		return SubrequestResult{Outcome: decision.Success, UpstreamReply: reply}
	}
}

// minServerErrorStatus is the least status that tells of a failure of the replica.
const minServerErrorStatus = 500

func classifyScattered(reply *upstream.Reply) SubrequestResult {
	if !reply.Succeeded() {
		return SubrequestResult{Outcome: decision.Failed, UpstreamReply: reply, Err: eris.Errorf("status %d", reply.Status)}
	}
	return SubrequestResult{Outcome: decision.Success, UpstreamReply: reply}
}

// recordForward updates what is known of the replica.
func (p *Pool) recordForward(ctx context.Context, handle *Handle, result SubrequestResult, started time.Time, terms *SelectionCriteria) {
	now := p.options.Now()
	elapsed := now.Sub(started)
	age := now.Sub(handle.created)
	givenUp := ctx.Err() != nil
	if !givenUp && !result.Outcome.NotSent() {
		handle.silence.replyReceived(age)
	}
	late := elapsed > terms.lateAfter(handle)
	if usual := terms.Baseline.Median(handle.distance); usual > 0 && (result.Outcome == decision.Success || (givenUp && late)) {
		handle.slowdown.observe(age, usual, float64(elapsed)/float64(usual))
	}
	if result.Outcome == decision.Success {
		terms.Baseline.record(handle.distance, elapsed)
	}
	ended := Observation{Outcome: result.Outcome, Canceled: givenUp, Elapsed: elapsed, RetryAfter: result.RetryAfter, Late: late}
	if result.Outcome == decision.Unreached && !errors.Is(result.Err, upstream.ErrConnectionLimit) {
		ended.Outcome = decision.Failed // for the replica's health, not to be reached is a failure
	}
	if result.Outcome == decision.Reset || result.Outcome == decision.Ended {
		ended.Outcome = decision.Failed // it may be a fault of the replica, and others may have none
	}
	if errors.Is(result.Err, syscall.ECONNRESET) {
		handle.decreaseLimit() // a replica that is full resets connections
	}
	if handle.Health.Observe(now, ended) {
		p.metrics.ejections.Inc()
	}
}
