package soak

import (
	"math/rand/v2"
	"time"
)

// Kind is what a fault does.
type Kind uint8

// The kinds of fault.
const (
	// KillNode, PauseNode, StopNode and HangUpNode send signals to a node; a
	// killed or stopped one is started again.
	KillNode Kind = iota
	PauseNode
	StopNode
	// KillHalf kills every second node at the same moment, KillAllTwice all of them, and
	// once more as soon as they are back. RollNodes stops all, one soon after the other.
	KillHalf
	KillAllTwice
	RollNodes
	HangUpNode
	// StoreLink kinds harm the connections of one node to the store.
	StoreLinkDelay
	StoreLinkReset
	StoreLinkHoldRequests
	StoreLinkHoldReplies
	StoreLinkSilence
	// ReplicaLink kinds harm the connections of all nodes to one replica.
	ReplicaLinkDelay
	ReplicaLinkReset
	ReplicaLinkHoldReplies
	ReplicaLinkSilence
	// Replica kinds are a replica's own: it holds everything, breaks off its
	// answers, refuses everything, resets a share of what it has run, or ends.
	ReplicaPause
	ReplicaAbortResponses
	ReplicaRefuse
	ReplicaReset
	ReplicaCrash
	// Service kinds are those of all replicas of a service: they reset or reject a share
	// of what comes, or end, and a replica of another service gets one of their addresses.
	ServiceReset
	ServiceReject
	ServiceLost
	// Store kinds are the store's own, for all nodes.
	StoreOutage
	StoreThrottle
	StoreSlow
	StoreLostAnswers
	StoreFreezeWatches
	// Configure writes the next configuration, ConfigureSeries some, one soon after the
	// other; Drain and Vanish let a replica leave, with and without saying so; Evacuate
	// keeps all work from a zone.
	Configure
	ConfigureSeries
	Drain
	Deregister
	Evacuate
	// The kinds from here on are drawn apart from those before (see NewPlan).
	// ReplicaLinkSilenceOpen lets the connections to a replica that are open fall silent for
	// good; new ones work.
	ReplicaLinkSilenceOpen
	// ServiceHang lets all replicas of a service hold a share of what comes for good.
	ServiceHang
	// StartWithoutStore kills every second node while the store is out, so that they start
	// before it is back.
	StartWithoutStore
	// CrashingRequest sends a request that ends each replica that runs it, again and again,
	// to nodes by chance. It comes once in each round that may have kinds drawn apart.
	CrashingRequest
	// StoreRestore lets the store be away and come back from a copy that is some seconds old.
	// It comes once in each such round as well.
	StoreRestore
	// The kinds from here on are drawn apart from all before, each once in each round but the
	// first (see newPlanOfPauses). PauseStop stops a node as planned, and lets it stand still
	// in its stop; no request may be cut off by that. PauseNews lets a node stand still about
	// a change of the configuration; when it goes on it may not answer by the one before.
	PauseStop
	PauseDuringChange
	kinds
)

// firstKindApart is the first of the kinds that are drawn apart.
const firstKindApart = ReplicaLinkSilenceOpen

var kindNames = [kinds]string{
	"kill_node", "pause_node", "stop_node", "kill_half", "kill_all_twice", "roll_nodes", "hang_up_node",
	"store_link_delay", "store_link_reset", "store_link_hold_requests", "store_link_hold_replies", "store_link_silence",
	"replica_link_delay", "replica_link_reset", "replica_link_hold_replies", "replica_link_silence",
	"replica_pause", "replica_spoil", "replica_refuse", "replica_reset", "replica_crash",
	"service_reset", "service_reject", "service_lost",
	"store_outage", "store_throttle", "store_slow", "store_lost_answers", "store_deaf",
	"configure", "configure_series", "drain", "vanish", "evacuate",
	"replica_link_deaden", "service_hang", "start_without_store",
	"ending_request", "store_copy", "pause_stop", "pause_news",
}

// String returns the name of a kind.
func (k Kind) String() string { return kindNames[k] }

// hidesNews tells whether a kind may keep nodes from hearing what is new in the
// store, so that the times for news do not hold meanwhile.
func (k Kind) hidesNews() bool {
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

// Fault is one event of a plan.
type Fault struct {
	// At counts from the start of the run, For is how long it lasts.
	At, For time.Duration
	Kind    Kind
	// Target chooses the node or the replica, by the remainder.
	Target int
}

// The rounds of a plan. Each has its faults, and ends with a calm in which all
// must be well again.
const (
	roundLength  = 12 * time.Second
	faultsWithin = 3 * time.Second
	longestFault = 3 * time.Second
	mostFaults   = 8
	// calmEvery is one round in so many in which nothing hides news, so that the
	// times for news are checked.
	calmEvery = 3
)

// NewPlan draws the faults of a run. The same seed gives the same plan. Kinds that were
// added later are drawn apart and come besides, so that the seeds that failed once keep
// the faults that they failed by.
func NewPlan(seed uint64, length time.Duration) []Fault {
	plan := append(newPlan(seed, length), newPlanApart(seed, length)...)
	return append(plan, newPlanOfPauses(seed, length)...)
}

// The pauses of PauseStop and PauseNews: from such that no detector of pauses could tell from a
// busy machine up to such that go beyond every time-out of a caller.
const (
	shortestPause = 200 * time.Millisecond
	longestPause  = 2 * time.Second
)

// newPlanOfPauses draws the pauses that a node must bear without harm. Those about a change come
// where the time for news is checked.
func newPlanOfPauses(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(^seed, seed))
	var plan []Fault
	for round := 1; time.Duration(round+1)*roundLength <= length; round++ {
		begin := time.Duration(round) * roundLength
		pause := func(kind Kind, from time.Duration) Fault {
			at := from + time.Duration(random.Int64N(int64(faultsWithin)))
			lasting := shortestPause + time.Duration(random.Int64N(int64(longestPause-shortestPause)))
			return Fault{At: at, For: lasting, Kind: kind, Target: random.IntN(1 << 16)}
		}
		plan = append(plan, pause(PauseStop, begin))
		if round%calmEvery == calmEvery-1 {
			plan = append(plan, pause(PauseDuringChange, begin+faultsWithin-longestPause/2))
		}
	}
	return plan
}

// faultsApart is the number of faults of the kinds that are drawn apart, in each round that
// has any.
const faultsApart = 2

// newPlanApart draws faults of the kinds that are drawn apart. The first round has none, as
// seeds that failed in it do not when a replica hangs beside; those in which news are
// checked have none either.
func newPlanApart(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, ^seed))
	var plan []Fault
	for round := 1; time.Duration(round+1)*roundLength <= length; round++ {
		if round%calmEvery == calmEvery-1 {
			continue
		}
		for range faultsApart {
			kind := firstKindApart + Kind(random.IntN(int(CrashingRequest-firstKindApart)))
			plan = append(plan, newFault(random, time.Duration(round)*roundLength, kind))
		}
		ending := Fault{At: time.Duration(round) * roundLength, Kind: CrashingRequest, Target: round}
		copied := Fault{
			At: time.Duration(round)*roundLength + faultsWithin/2, For: longestFault / 3, Kind: StoreRestore, Target: round,
		}
		plan = append(plan, ending, copied)
	}
	return plan
}

// newFault draws the times and the target of a fault in the round that begins then.
func newFault(random *rand.Rand, begin time.Duration, kind Kind) Fault {
	return Fault{
		At:   begin + time.Duration(random.Int64N(int64(faultsWithin))),
		For:  longestFault/3 + time.Duration(random.Int64N(int64(longestFault*2/3))),
		Kind: kind, Target: random.IntN(1 << 16),
	}
}

func newPlan(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	var plan []Fault
	for round := 0; ; round++ {
		begin := time.Duration(round) * roundLength
		if begin+roundLength > length {
			return plan
		}
		calm := round%calmEvery == calmEvery-1
		for range 1 + random.IntN(mostFaults) {
			kind := Kind(random.IntN(int(firstKindApart)))
			for calm && kind.hidesNews() {
				kind = Kind(random.IntN(int(firstKindApart)))
			}
			plan = append(plan, newFault(random, begin, kind))
		}
		if calm {
			news := []Kind{Configure, Drain, Deregister, Evacuate}[random.IntN(4)]
			plan = append(plan, Fault{At: begin + faultsWithin, Kind: news, Target: random.IntN(1 << 16)})
		}
	}
}
