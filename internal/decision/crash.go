package decision

import (
	"time"

	"github.com/doorpond/doorpond/client"
)

// A query under which a replica ends, and that no replica has survived yet, may be what ends
// them. From then on it is cautious: it sends one sub-request at a time, a canary, and holds
// the others back. A replica that answers it shows that it does no harm, and all that was
// held back is sent at once. Replicas that end under canaries speak against it, each with the
// blame that falls on this query; when that is enough to convict it, no other is sent, and the
// query ends after verdictWait, unless it is contested till then.
//
// The replicas that end under what was sent before count as one only, whatever they were
// running besides: what else ends them, such as a loss of power or another query, ends many
// of them together.
//
// (A request that ends the replicas that run it, sent to ten shards of three replicas by six
// nodes and twenty times in all, ended 128 to 148 replicas without canaries and refusals.)

// CrashEvidence speaks for a query being what ends the replicas that run it.
type CrashEvidence struct {
	// Crashes is the number of replicas that ended while they ran it.
	Crashes int
	// Incidents is the number of times that they ended independently of each other.
	Incidents int
	// Attribution adds up, over these, the share of it that falls on this query: one, divided by
	// the number of queries that the replica was running as far as is known.
	Attribution float64
}

// What convicts a query: replicas ended under it three times, of which once while it ran
// there alone, or twice with one other. With two times, a query that was in flight when a
// zone's replicas ended, and whose canary met that of the query which ended them, would be
// convicted with it.
const (
	minIncidents   = 3
	minAttribution = 2
)

// Conclusive tells whether the query is taken to be what ends the replicas that run it.
func (e CrashEvidence) Conclusive() bool {
	return e.Incidents >= minIncidents && e.Attribution >= minAttribution
}

// Decayed is what is left of the evidence once it is old: another canary convicts again.
func (e CrashEvidence) Decayed() CrashEvidence {
	return CrashEvidence{Crashes: e.Crashes, Incidents: minIncidents - 1, Attribution: minAttribution - 1}
}

// Suspicious tells whether anything speaks against the query.
func (e CrashEvidence) Suspicious() bool { return e.Incidents > 0 }

// Merge returns the stronger of each part of two pieces of evidence.
func (e CrashEvidence) Merge(other CrashEvidence) CrashEvidence {
	return CrashEvidence{
		Crashes: max(e.Crashes, other.Crashes), Incidents: max(e.Incidents, other.Incidents), Attribution: max(e.Attribution, other.Attribution),
	}
}

// crashState is the state of a query under which replicas have ended.
type crashState struct {
	// canaryMode is true while sub-requests are sent one at a time.
	canaryMode bool
	// survived is true once a replica has run the query and answered.
	survived bool
	// canaryShard is the shard of the latest sub-request sent while cautious, noCanary before.
	canaryShard int
	// canariesSent counts the canaries.
	canariesSent int
	// observed is what speaks against the query since it began, together is true once a
	// replica has ended under what was sent before the query was cautious.
	observed       CrashEvidence
	initialCounted bool
	// abortAt is when the query ends as convicted, never while it is not.
	abortAt time.Duration
}

// disputeWindow is the wait for other nodes to contest a conviction: four times the way between
// regions. (Without it, one of 2,464 requests that were sent beside one that ends replicas was
// refused in about 1 of 150 runs.)
const disputeWindow = 50 * time.Millisecond

const noCanary = -1

// CrashEvidence returns what speaks against the query, with what was known before it began;
// survived is true when a replica has run it and answered.
func (q *Query) CrashEvidence() (found CrashEvidence, survived bool) {
	known := q.plan.CrashDetection.Prior
	found = CrashEvidence{
		Crashes: known.Crashes + q.observed.Crashes, Incidents: known.Incidents + q.observed.Incidents, Attribution: known.Attribution + q.observed.Attribution,
	}
	return found, q.survived
}

// detectsCrashes tells whether replicas that end under the query speak against it.
func (q *Query) detectsCrashes() bool { return q.plan.CrashDetection.Enabled && !q.survived }

// startWithCanary holds all shards back but one, as replicas ended under the query before.
func (q *Query) startWithCanary(now time.Duration) {
	q.canaryMode = true
	for i := range q.shards {
		q.shards[i].suspended = true
	}
	q.sendNextCanary(now)
}

// replicaCrashed takes in that a replica ended while it ran the query, which none has
// survived.
func (q *Query) replicaCrashed(now time.Duration, event Event) {
	state := &q.shards[event.Shard]
	q.observed.Crashes++
	if state.canaries&(1<<event.Attempt) != 0 {
		q.observed.Incidents++
		q.observed.Attribution += event.Attribution
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
	if found, _ := q.CrashEvidence(); found.Conclusive() && q.abortAt == never {
		q.abortAt = now + disputeWindow
		q.advanceTimer(q.abortAt)
	}
}

// AbortPending tells whether the query is convicted and waits for other nodes to contest it.
func (q *Query) AbortPending() bool { return q.abortAt != never && !q.finished }

// evidenceDisputed takes in that the ends of all replicas by canaries of this query may have been
// another's doing: they count as one time less, and another canary decides.
func (q *Query) evidenceDisputed() {
	q.abortAt = never
	q.observed.Incidents--
	q.observed.Attribution--
}

// suspend keeps a shard back until a canary is sent there or a replica has survived.
func (s *shardState) suspend() {
	s.suspended = true
	s.postponed = false
	s.nextAt = never
}

// sendNextCanary sends the next canary, unless one is in flight. Its shard is drawn by chance, so
// that queries which a common cause has made cautious rarely meet at one replica, and are not
// blamed for each other's harm. (With one order for all of them, one of 2,464 requests that
// were sent beside one that ends replicas was refused in 6 of 100 runs.)
func (q *Query) sendNextCanary(now time.Duration) {
	if !q.canaryMode || q.finished || q.canaryInFlight() || q.AbortPending() {
		return
	}
	q.canariesSent++
	first := int(mix64(q.plan.CrashDetection.Seed+uint64(q.canariesSent)) % uint64(len(q.shards)))
	for i := range q.shards {
		shard := (first + i) % len(q.shards)
		if q.shards[shard].suspended && q.resume(now, shard) {
			return
		}
	}
}

// mix64 spreads a number over all bits (the finalizer of splitmix64).
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

// replicaSurvived takes in that a replica has run the query and answered: it does no harm.
func (q *Query) replicaSurvived(now time.Duration) {
	q.survived = true
	q.abortAt = never
	if !q.canaryMode {
		return
	}
	q.canaryMode = false
	for i := range q.shards {
		if q.shards[i].suspended {
			q.resume(now, i)
		}
	}
}

// resume sends the next sub-request of a shard that was held back; false means that it
// settles, as it can have no other.
func (q *Query) resume(now time.Duration, shard int) (sent bool) {
	state := &q.shards[shard]
	state.suspended = false
	switch {
	case state.attempts == 0 && state.sent < maxAttempts:
		q.send(now, shard, CauseFirst)
	case !q.plan.AtMostOnce && q.canAttempt(now, shard) && q.withdraw(shard):
		q.send(now, shard, CauseFailure)
	default:
		q.settleShard(shard)
		return false
	}
	return true
}
