package document

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/topology"
)

// The defaults of ElectionOptions.
const (
	defaultSettleTime = 2 * time.Second
	defaultMaxWait    = 10 * time.Second
)

// growthThreshold is the relative growth of the membership above which it counts
// as still growing.
const growthThreshold = 0.02

// ElectionOptions configures an Election.
type ElectionOptions struct {
	// PerZone is the number of daemons per zone that watch the store.
	PerZone int
	// HasSeeds reports whether other daemons may exist; nil means true. A daemon
	// without seeds does not wait for other members.
	HasSeeds func() bool
	// SettleTime is how long the membership must be stable before the daemon can
	// be elected; 0 means 2 s.
	SettleTime time.Duration
	// MaxWait bounds the wait for a stable membership; 0 means 10 s.
	MaxWait time.Duration
}

// Election decides whether this daemon watches the store. After a start, a daemon
// knows few members and would always elect itself; if all daemons started at once,
// all of them would read the store. The daemon therefore is not elected until its
// membership has stopped growing or MaxWait has passed. An Election must not be
// used concurrently.
type Election struct {
	options     ElectionOptions
	startedAt   time.Duration
	grownAt     time.Duration
	memberCount int
	started     bool
	settled     bool
}

// NewElection returns an Election. Its waits start at the first call of Elected.
func NewElection(options ElectionOptions) *Election {
	orDefault(&options.SettleTime, defaultSettleTime)
	orDefault(&options.MaxWait, defaultMaxWait)
	return &Election{options: options}
}

// Elected reports whether this daemon watches the store. now must not decrease
// between calls; its origin is arbitrary.
func (e *Election) Elected(now time.Duration, members *topology.Members) bool {
	if members == nil {
		return false
	}
	return e.updateSettled(now, len(members.Members)) && Elected(members, e.options.PerZone)
}

// Settled reports whether the wait after the start is over. From then on, the
// result of Elected changes only with the membership.
func (e *Election) Settled() bool { return e.settled }

func (e *Election) updateSettled(now time.Duration, memberCount int) bool {
	if e.settled {
		return true
	}
	if !e.started {
		e.started = true
		e.startedAt, e.grownAt = now, now
	}
	if float64(memberCount) > float64(e.memberCount)*(1+growthThreshold) {
		e.grownAt = now
		e.memberCount = memberCount
	}
	alone := memberCount <= 1
	switch {
	case alone && e.options.HasSeeds != nil && !e.options.HasSeeds():
		e.settled = true
	case now-e.startedAt >= e.options.MaxWait:
		e.settled = true
	case !alone && now-e.grownAt >= e.options.SettleTime:
		e.settled = true
	}
	return e.settled
}

// Elected reports whether this daemon is one of the perZone live daemons of its
// zone with the highest rendezvous hash. Daemons may temporarily disagree; too many
// or too few watchers for a short time are harmless.
func Elected(members *topology.Members, perZone int) bool {
	if members == nil {
		return false
	}
	higherRanked := 0
	own := rendezvousHash(members.Self.ID)
	for i := range members.Members {
		other := &members.Members[i]
		if other.ID == members.Self.ID || other.Place != members.Self.Place || !eligible(other.State) {
			continue
		}
		if rendezvousHash(other.ID) > own {
			higherRanked++
		}
	}
	return higherRanked < perZone
}

// eligible reports whether a member in this state takes part in the election.
// Suspects do, because most suspicions are refuted.
func eligible(state topology.MemberState) bool {
	return slices.Contains([]topology.MemberState{topology.MemberAlive, topology.MemberSuspect}, state)
}

func rendezvousHash(memberID string) uint64 { return xxhash.Sum64String("store follower " + memberID) }
