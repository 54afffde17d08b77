package document

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/topology"
)

// The defaults of ElectionOptions.
const (
	defaultSettle  = 2 * time.Second
	defaultLongest = 10 * time.Second
)

// growthShare is the growth of the membership, as a share of it, that counts
// as not settled.
const growthShare = 0.02

// ElectionOptions configure an Election.
type ElectionOptions struct {
	// PerZone is how many daemons of a zone follow the store.
	PerZone int
	// HasSeeds tells whether other daemons may exist; nil means that they may.
	// A daemon without seeds need not wait for others.
	HasSeeds func() bool
	// SettleTime is how long the membership must not have grown; 0 means 2 s.
	SettleTime time.Duration
	// MaxWait bounds the wait after the start; 0 means 10 s.
	MaxWait time.Duration
}

// Election decides whether this daemon follows the store. A daemon that has
// just started knows few others and would always find itself elected; when
// all daemons start at once, all would read the store. So it is withheld until
// the membership has stopped growing, or a longest time has passed. Use it
// from one goroutine.
type Election struct {
	options ElectionOptions
	started time.Duration
	grownAt time.Duration
	known   int
	running bool
	settled bool
}

// NewElection returns an Election that starts at its first use.
func NewElection(options ElectionOptions) *Election {
	orDefault(&options.SettleTime, defaultSettle)
	orDefault(&options.MaxWait, defaultLongest)
	return &Election{options: options}
}

// Elected tells whether this daemon follows the store at a time, which may
// count from any start and never goes back.
func (e *Election) Elected(now time.Duration, members *topology.Members) bool {
	if members == nil {
		return false
	}
	return e.hasSettled(now, len(members.Members)) && Elected(members, e.options.PerZone)
}

// Settled tells whether the wait after the start is over, from when on only a
// change of the members changes the outcome.
func (e *Election) Settled() bool { return e.settled }

func (e *Election) hasSettled(now time.Duration, known int) bool {
	if e.settled {
		return true
	}
	if !e.running {
		e.running = true
		e.started, e.grownAt = now, now
	}
	if float64(known) > float64(e.known)*(1+growthShare) {
		e.grownAt = now
		e.known = known
	}
	alone := known <= 1
	switch {
	case alone && e.options.HasSeeds != nil && !e.options.HasSeeds():
		e.settled = true
	case now-e.started >= e.options.MaxWait:
		e.settled = true
	case !alone && now-e.grownAt >= e.options.SettleTime:
		e.settled = true
	}
	return e.settled
}

// Elected tells whether this daemon is one of the few of its zone that follow
// the store: the perZone live ones with the highest rendezvous hash. Daemons
// may differ for a while on who is elected; two or none do no harm.
func Elected(members *topology.Members, perZone int) bool {
	if members == nil {
		return false
	}
	ahead := 0
	own := rendezvous(members.Self.ID)
	for i := range members.Members {
		other := &members.Members[i]
		if other.ID == members.Self.ID || other.Place != members.Self.Place || !mayFollow(other.State) {
			continue
		}
		if rendezvous(other.ID) > own {
			ahead++
		}
	}
	return ahead < perZone
}

// mayFollow leaves out members that are gone or going. A suspected one still
// counts, as most suspicions are refuted.
func mayFollow(state topology.MemberState) bool {
	return slices.Contains([]topology.MemberState{topology.MemberAlive, topology.MemberSuspect}, state)
}

func rendezvous(memberID string) uint64 { return xxhash.Sum64String("store follower " + memberID) }
