package soak

import (
	"math/rand/v2"
	"time"
)

// Kind is the kind of a fault.
type Kind uint8

// The kinds of fault.
const (
	// KillNode, PauseNode, StopNode and HangUpNode signal a node; a killed or
	// stopped node is restarted.
	KillNode Kind = iota
	PauseNode
	StopNode
	// KillHalf kills every second node at once. KillAllTwice kills all nodes, and
	// again after the restart. RollNodes stops the nodes in quick succession.
	KillHalf
	KillAllTwice
	RollNodes
	HangUpNode
	// StoreLink kinds disturb one node's connections to the store.
	StoreLinkDelay
	StoreLinkReset
	StoreLinkHoldRequests
	StoreLinkHoldReplies
	StoreLinkSilence
	// ReplicaLink kinds disturb all nodes' connections to one replica.
	ReplicaLinkDelay
	ReplicaLinkReset
	ReplicaLinkHoldReplies
	ReplicaLinkSilence
	// Replica kinds act on one replica: it pauses, aborts its responses, refuses
	// all requests, resets a share of the requests it has executed, or crashes.
	ReplicaPause
	ReplicaAbortResponses
	ReplicaRefuse
	ReplicaReset
	ReplicaCrash
	// Service kinds act on all replicas of a service: they reset or reject a share
	// of the requests, or crash and have one address reused by another service.
	ServiceReset
	ServiceReject
	ServiceLost
	// Store kinds act on the store itself, for all nodes.
	StoreOutage
	StoreThrottle
	StoreSlow
	StoreLostAnswers
	StoreFreezeWatches
	// Configure writes a configuration, ConfigureSeries several in quick
	// succession. Drain and Deregister remove a replica, with and without draining
	// it first. Evacuate keeps all traffic from a zone.
	Configure
	ConfigureSeries
	Drain
	Deregister
	Evacuate
	// The kinds from here on are drawn from a separate sequence (see NewPlan).
	// ReplicaLinkSilenceOpen silences the open connections to a replica for good;
	// new connections work.
	ReplicaLinkSilenceOpen
	// ServiceHang makes all replicas of a service hang a share of the requests.
	ServiceHang
	// StartWithoutStore kills every second node during a store outage, so that the
	// nodes restart before the store is back.
	StartWithoutStore
	// CrashingRequest repeatedly sends random nodes a request that crashes each
	// replica that executes it, once in each round with supplementary faults.
	CrashingRequest
	// StoreRestore takes the store down and restores it from a backup, once in
	// each round with supplementary faults.
	StoreRestore
	// The kinds from here on are drawn from a third sequence (see newPausePlan).
	// PauseStop pauses a node during its graceful stop, which must not cut off a
	// request. PauseDuringChange pauses a node around a configuration change; once
	// resumed, it must not answer by the old configuration.
	PauseStop
	PauseDuringChange
	// ServiceAnswerFaults spoils answers of a service, see newAnswerFaultPlan.
	ServiceAnswerFaults
	// The kinds from here on are drawn from a fourth sequence (see newTenantPlan).
	// Tenant kinds change a tenant: a key is added, revoked or moved to another tenant, all
	// keys are revoked for a time, the limit falls far below what the tenant sends, or rises,
	// or the tenant sends many times its limit for a time.
	TenantKeyAdd
	TenantKeyRevoke
	TenantKeyMove
	TenantLockout
	TenantLimitDrop
	TenantLimitRise
	TenantSurge
	kinds
)

// firstSupplementaryKind is the first kind drawn by newSupplementaryPlan.
const firstSupplementaryKind = ReplicaLinkSilenceOpen

// firstTenantKind is the first kind drawn by newTenantPlan.
const firstTenantKind = TenantKeyAdd

var kindNames = [kinds]string{
	"kill_node", "pause_node", "stop_node", "kill_half", "kill_all_twice", "roll_nodes", "hang_up_node",
	"store_link_delay", "store_link_reset", "store_link_hold_requests", "store_link_hold_replies", "store_link_silence",
	"replica_link_delay", "replica_link_reset", "replica_link_hold_replies", "replica_link_silence",
	"replica_pause", "replica_spoil", "replica_refuse", "replica_reset", "replica_crash",
	"service_reset", "service_reject", "service_lost",
	"store_outage", "store_throttle", "store_slow", "store_lost_answers", "store_deaf",
	"configure", "configure_series", "drain", "vanish", "evacuate",
	"replica_link_deaden", "service_hang", "start_without_store",
	"ending_request", "store_copy", "pause_stop", "pause_news", "service_answer_faults",
	"tenant_key_add", "tenant_key_revoke", "tenant_key_move", "tenant_lockout", "tenant_limit_drop", "tenant_limit_rise", "tenant_surge",
}

func (k Kind) String() string { return kindNames[k] }

// delaysStoreUpdates reports whether faults of the kind may keep store updates
// from nodes, which suspends the propagation deadlines.
func (k Kind) delaysStoreUpdates() bool {
	switch {
	case k == HangUpNode:
		return false
	case k == StartWithoutStore, k == StoreRestore:
		return true
	case k <= StoreLinkSilence:
		return true
	default:
		return k >= StoreOutage && k <= StoreFreezeWatches
	}
}

// Fault is one scheduled fault of a plan.
type Fault struct {
	// At is the offset from the start of the run, For the duration.
	At, For time.Duration
	Kind    Kind
	// Target selects the node or replica, modulo their number.
	Target int
}

// A plan consists of rounds, each with faults at its start and time to recover.
const (
	roundLength  = 12 * time.Second
	faultsWithin = 3 * time.Second
	longestFault = 3 * time.Second
	maxFaults    = 8
	// In every updateCheckInterval-th round no fault delays store updates, so that
	// propagation deadlines can be checked.
	updateCheckInterval = 3
)

// NewPlan returns the faults of a run, which the seed determines. Kinds added
// later use random sequences of their own, so that the faults of known failing
// seeds stay the same.
func NewPlan(seed uint64, length time.Duration) []Fault {
	plan := append(newPlan(seed, length), newSupplementaryPlan(seed, length)...)
	plan = append(plan, newPausePlan(seed, length)...)
	plan = append(plan, newAnswerFaultPlan(seed, length)...)
	return append(plan, newTenantPlan(seed, length)...)
}

// answerFaultLength is how long answers are spoiled in each round.
const answerFaultLength = 5 * time.Second

// newAnswerFaultPlan draws how the answers of the faulty service are spoiled, once in each round.
func newAnswerFaultPlan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(^seed, ^seed))
	var plan []Fault
	for round := 0; time.Duration(round+1)*roundLength <= length; round++ {
		fault := newFault(random, time.Duration(round)*roundLength, ServiceAnswerFaults)
		fault.For = answerFaultLength
		plan = append(plan, fault)
	}
	return plan
}

// The pauses of PauseStop and PauseDuringChange range from those that look like
// a busy machine to those that exceed all caller timeouts.
const (
	shortestPause = 200 * time.Millisecond
	longestPause  = 2 * time.Second
)

// newPausePlan draws the faults PauseStop and PauseDuringChange, the latter only
// in rounds that check propagation deadlines.
func newPausePlan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(^seed, seed))
	var plan []Fault
	for round := 1; time.Duration(round+1)*roundLength <= length; round++ {
		startClock := time.Duration(round) * roundLength
		pause := func(kind Kind, from time.Duration) Fault {
			at := from + time.Duration(random.Int64N(int64(faultsWithin)))
			duration := shortestPause + time.Duration(random.Int64N(int64(longestPause-shortestPause)))
			return Fault{At: at, For: duration, Kind: kind, Target: random.IntN(1 << 16)}
		}
		plan = append(plan, pause(PauseStop, startClock))
		if round%updateCheckInterval == updateCheckInterval-1 {
			plan = append(plan, pause(PauseDuringChange, startClock+faultsWithin-longestPause/2))
		}
	}
	return plan
}

// supplementaryFaults is the number of randomly chosen supplementary faults in
// each round that has any.
const supplementaryFaults = 2

// newSupplementaryPlan draws faults of the supplementary kinds. The first round
// has none, to keep the known failing seeds as they were, nor do the rounds
// that check propagation deadlines.
func newSupplementaryPlan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, ^seed))
	var plan []Fault
	for round := 1; time.Duration(round+1)*roundLength <= length; round++ {
		if round%updateCheckInterval == updateCheckInterval-1 {
			continue
		}
		for range supplementaryFaults {
			kind := firstSupplementaryKind + Kind(random.IntN(int(CrashingRequest-firstSupplementaryKind)))
			plan = append(plan, newFault(random, time.Duration(round)*roundLength, kind))
		}
		crashing := Fault{At: time.Duration(round) * roundLength, Kind: CrashingRequest, Target: round}
		restored := Fault{
			At: time.Duration(round)*roundLength + faultsWithin/2, For: longestFault / 3, Kind: StoreRestore, Target: round,
		}
		plan = append(plan, crashing, restored)
	}
	return plan
}

// newFault draws a fault's times and target in the round that starts at begin.
func newFault(random *rand.Rand, startClock time.Duration, kind Kind) Fault {
	return Fault{
		At:   startClock + time.Duration(random.Int64N(int64(faultsWithin))),
		For:  longestFault/3 + time.Duration(random.Int64N(int64(longestFault*2/3))),
		Kind: kind, Target: random.IntN(1 << 16),
	}
}

func newPlan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	var plan []Fault
	for round := 0; ; round++ {
		startClock := time.Duration(round) * roundLength
		if startClock+roundLength > length {
			return plan
		}
		checksUpdates := round%updateCheckInterval == updateCheckInterval-1
		for range 1 + random.IntN(maxFaults) {
			kind := Kind(random.IntN(int(firstSupplementaryKind)))
			for checksUpdates && kind.delaysStoreUpdates() {
				kind = Kind(random.IntN(int(firstSupplementaryKind)))
			}
			plan = append(plan, newFault(random, startClock, kind))
		}
		if checksUpdates {
			change := []Kind{Configure, Drain, Deregister, Evacuate}[random.IntN(4)]
			plan = append(plan, Fault{At: startClock + faultsWithin, Kind: change, Target: random.IntN(1 << 16)})
		}
	}
}
