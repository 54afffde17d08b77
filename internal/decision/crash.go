package decision

import (
	"slices"
	"time"

	"github.com/doorpond/doorpond/client"
)

// CrashEvidence is the evidence that a query crashes the replicas that run it.
type CrashEvidence struct {
	// Crashes is the number of replicas that crashed while running the query.
	Crashes int
	// Incidents is the number of independent crashes: those of the sub-requests
	// sent before canary mode count as one, each crash under a canary as another.
	Incidents int
	// Attribution is the sum, over the incidents, of the fraction attributed to
	// this query: one divided by the number of queries that the replica is known
	// to have been running and that can be the cause.
	Attribution float64
}

// The minimum evidence to abort a query. Fewer incidents could abort a query that
// was in flight when a zone lost power and whose canary then shared a replica
// with that of a query that does crash replicas.
const (
	minIncidents   = 3
	minAttribution = 2
)

// Conclusive reports whether the query is considered the cause of the crashes.
func (e CrashEvidence) Conclusive() bool {
	return e.Incidents >= minIncidents && e.Attribution >= minAttribution
}

// Decayed returns the evidence reduced so that one more incident makes it
// conclusive.
func (e CrashEvidence) Decayed() CrashEvidence {
	return CrashEvidence{Crashes: e.Crashes, Incidents: minIncidents - 1, Attribution: minAttribution - 1}
}

// Suspicious reports whether there is any evidence.
func (e CrashEvidence) Suspicious() bool { return e.Incidents > 0 }

// Merge returns the maximum of each field.
func (e CrashEvidence) Merge(other CrashEvidence) CrashEvidence {
	return CrashEvidence{
		Crashes:     max(e.Crashes, other.Crashes),
		Incidents:   max(e.Incidents, other.Incidents),
		Attribution: max(e.Attribution, other.Attribution),
	}
}

// crashState detects queries that crash the replicas that run them.
//
// A query enters canary mode when a replica crashes while running it and none has
// survived it yet. It then has one sub-request in flight at a time, the canary,
// and suspends its other shards. When a replica survives the query, canary mode
// ends and the suspended shards resume. When the evidence from crashes is
// conclusive, nothing more is sent, and the query is aborted after disputeWindow
// unless the evidence is disputed by then.
//
// Crashes under sub-requests that were sent before canary mode count as one
// incident, as a common cause such as a power failure or another query crashes
// many replicas at once.
type crashState struct {
	canaryMode bool
	// survived is true once a replica has run the query and replied.
	survived bool
	// canaryShard is the shard of the latest sub-request sent in canary mode,
	// noCanary before the first.
	canaryShard int
	// canariesSent counts the canaries.
	canariesSent int
	// canaryRound restricts the replicas for the next canary. canaryRetryAt is
	// when the next round starts after one in which no replica could take it,
	// never at other times.
	canaryRound   canaryRound
	canaryRetryAt time.Duration
	// idleWaitEnd is until when a canary waits for an idle replica, never if it
	// does not wait.
	idleWaitEnd time.Duration
	// observed is the evidence since the query's start. initialCounted is true
	// once the crashes under sub-requests sent before canary mode are counted.
	observed       CrashEvidence
	initialCounted bool
	// canaryAttribution is the attribution of the latest crash under a canary.
	canaryAttribution float64
	// abortAt is when the query is aborted, never while the evidence is not
	// conclusive.
	abortAt time.Duration
}

// disputeWindow is the time for which an abort is delayed so that other nodes can
// dispute the evidence. It must exceed the latency between regions.
const disputeWindow = 50 * time.Millisecond

const noCanary = -1

// canaryRound is a round of offering a canary to the suspended shards in turn.
type canaryRound int

const (
	// idleReplicas offers it to replicas without other requests of this node: a
	// crash there fails no other request and is attributed to this query alone.
	idleReplicas canaryRound = iota
	// allReplicas follows if no idle replica was found for maxIdleWait.
	allReplicas
)

// maxIdleWait is how long a canary waits for an idle replica.
const maxIdleWait = 20 * time.Millisecond

// CrashEvidence returns the total evidence against the query, including
// CrashDetection.Prior. survived is true if a replica has run the query and
// replied.
func (q *Query) CrashEvidence() (evidence CrashEvidence, survived bool) {
	prior := q.plan.CrashDetection.Prior
	evidence = CrashEvidence{
		Crashes:     prior.Crashes + q.observed.Crashes,
		Incidents:   prior.Incidents + q.observed.Incidents,
		Attribution: prior.Attribution + q.observed.Attribution,
	}
	return evidence, q.survived
}

// detectsCrashes reports whether crashes count as evidence against the query.
func (q *Query) detectsCrashes() bool { return q.plan.CrashDetection.Enabled && !q.survived }

// startWithCanary starts a query with prior evidence in canary mode.
func (q *Query) startWithCanary(now time.Duration) {
	q.canaryMode = true
	for i := range q.shards {
		q.shards[i].suspended = true
	}
	q.sendNextCanary(now)
}

// replicaCrashed handles the crash of a replica that ran the query.
func (q *Query) replicaCrashed(now time.Duration, event Event) {
	state := &q.shards[event.Shard]
	q.observed.Crashes++
	if state.canaries&(1<<event.Attempt) != 0 {
		q.observed.Incidents++
		q.observed.Attribution += event.Attribution
		q.canaryAttribution = event.Attribution
	} else if !q.initialCounted {
		q.initialCounted = true
		q.observed.Incidents++
		q.observed.Attribution++
	}
	q.canaryMode = true
	state.status.Reason = mergeReason(state.status.Reason, event.Outcome)
	if event.Quarantined {
		q.finish(ReplicasCrashed, client.MissingFailed)
		return
	}
	if state.inFlight == 0 {
		state.suspend()
	}
	if evidence, _ := q.CrashEvidence(); evidence.Conclusive() && q.abortAt == never {
		q.abortAt = now + disputeWindow
		q.advanceTimer(q.abortAt)
	}
}

// AbortPending reports whether the evidence is conclusive and the query is aborted
// unless it is disputed.
func (q *Query) AbortPending() bool { return q.abortAt != never && !q.finished }

// evidenceDisputed discounts the latest incident, as another query may have caused the
// crashes under this query's canaries, and lets another canary decide.
func (q *Query) evidenceDisputed() {
	q.abortAt = never
	q.observed.Incidents--
	q.observed.Attribution -= q.canaryAttribution
}

// suspend stops sending for a shard until a canary is sent to it or a replica has
// survived the query.
func (s *shardState) suspend() {
	s.suspended = true
	s.postponed = false
	s.nextAt = never
}

// sendNextCanary sends the next canary unless one is in flight. If all shards have
// declined it, the next round follows after a delay, or at once with all replicas if
// the wait for an idle one has ended.
func (q *Query) sendNextCanary(now time.Duration) {
	if now >= q.canaryRetryAt {
		q.canaryRetryAt = never
	}
	awaitsRound := q.canaryRetryAt != never
	if !q.canaryMode || q.finished || awaitsRound || q.canaryInFlight() || q.AbortPending() {
		return
	}
	if q.offerCanary(now) {
		return
	}
	if !q.anyCanaryDeclined() {
		q.settleSuspended()
		return
	}
	if q.canaryRound == idleReplicas && q.idleWaitEnd == never {
		q.idleWaitEnd = now + maxIdleWait
	}
	if q.canaryRound == idleReplicas && now >= q.idleWaitEnd {
		q.startCanaryRound(allReplicas)
		q.offerCanary(now)
		return
	}
	q.startCanaryRound(idleReplicas)
	q.canaryRetryAt = now + q.settleLateCanaries(now)
	q.advanceTimer(q.canaryRetryAt)
}

// offerCanary sends a canary to the next suspended shard that has not declined it.
// The first one is chosen pseudo-randomly, so that the canaries of different
// queries rarely share a replica and each other's attribution.
func (q *Query) offerCanary(now time.Duration) (sent bool) {
	q.canariesSent++
	first := int(mix64(q.plan.CrashDetection.Seed+uint64(q.canariesSent)) % uint64(len(q.shards)))
	for i := range q.shards {
		shard := (first + i) % len(q.shards)
		state := &q.shards[shard]
		if state.suspended && !state.canaryDeclined && q.resume(now, shard) {
			return true
		}
	}
	return false
}

// declineCanary takes back a canary that no replica of the shard could take.
func (q *Query) declineCanary(state *shardState, shard int) {
	state.sent--
	state.attempts--
	state.canaries &^= 1 << state.sent
	if budget := q.plan.Shards[shard].Budget; state.cause == CauseFailure && budget != nil {
		budget.Refund()
	}
	state.suspend()
	state.canaryDeclined = true
}

func (q *Query) anyCanaryDeclined() bool {
	return slices.ContainsFunc(q.shards, func(state shardState) bool { return state.suspended && state.canaryDeclined })
}

func (q *Query) startCanaryRound(round canaryRound) {
	q.canaryRound = round
	for i := range q.shards {
		q.shards[i].canaryDeclined = false
	}
}

// settleLateCanaries returns the delay before the next round, and settles the
// suspended shards for which that is too late.
func (q *Query) settleLateCanaries(now time.Duration) (delay time.Duration) {
	delay = maxBusyDelay
	for i := range q.shards {
		if q.shards[i].suspended {
			delay = min(delay, q.busyDelay(i))
		}
	}
	for i := range q.shards {
		if q.shards[i].suspended && q.tooLate(now+delay, i) {
			q.settleShard(i)
		}
	}
	return delay
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func (q *Query) canaryInFlight() bool {
	if q.canaryShard == noCanary {
		return false
	}
	state := &q.shards[q.canaryShard]
	return state.inFlight&state.canaries != 0
}

// replicaSurvived leaves canary mode, as a replica has run the query and replied.
func (q *Query) replicaSurvived(now time.Duration) {
	q.survived = true
	q.abortAt = never
	if !q.canaryMode {
		return
	}
	q.canaryMode = false
	for i := range q.shards {
		if q.shards[i].suspended && !q.resume(now, i) {
			q.settleShard(i)
		}
	}
}

// settleSuspended settles the suspended shards, as none allows another attempt.
// Until then they stay open: settling one can finish the query, and the crash under
// a canary that was just sent would not count as evidence.
func (q *Query) settleSuspended() {
	for i := range q.shards {
		if q.shards[i].suspended {
			q.settleShard(i)
		}
	}
}

// resume sends the next sub-request of a suspended shard. It returns false if no
// further attempt is allowed.
func (q *Query) resume(now time.Duration, shard int) (sent bool) {
	state := &q.shards[shard]
	switch {
	case q.expired(now):
		return false
	case state.attempts == 0 && state.sent < maxAttempts:
		state.suspended = false
		q.send(now, shard, CauseFirst)
	case !q.plan.AtMostOnce && q.canAttempt(now, shard) && q.withdraw(shard):
		state.suspended = false
		q.send(now, shard, CauseFailure)
	default:
		return false
	}
	return true
}
