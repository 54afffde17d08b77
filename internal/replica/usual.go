package replica

import (
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// medianQuantile is the quantile that counts as the usual time: pauses and slow
// replicas do not move it.
const medianQuantile = 0.5

// Usual is how long requests of one kind usually take, by the distance of the
// replica. Its zero value is ready, and it is safe for concurrent use.
type Usual struct {
	byDistance [topology.OtherRegion + 1]latencyWindow
}

// record adds the time of one answer.
func (u *Usual) record(distance topology.Distance, elapsed time.Duration) {
	u.byDistance[distance].Record(elapsed)
}

// At returns the usual time at a distance, 0 while it is not known.
func (u *Usual) At(distance topology.Distance) time.Duration {
	return u.byDistance[distance].Quantile(medianQuantile)
}

// Least returns the usual time at the nearest distance that is known, or 0.
func (u *Usual) Least() time.Duration {
	for distance := range u.byDistance {
		if known := u.At(topology.Distance(distance)); known > 0 {
			return known
		}
	}
	return 0
}

// Most returns the usual time at the farthest distance that is known, or 0.
func (u *Usual) Most() time.Duration {
	for distance := len(u.byDistance) - 1; distance >= 0; distance-- {
		if known := u.At(topology.Distance(distance)); known > 0 {
			return known
		}
	}
	return 0
}

// Usuals holds what is usual for each kind of request, by name. Its zero value
// is ready, and it is safe for concurrent use.
type Usuals struct {
	byKind sync.Map // string -> *Usual
}

// Of returns what is usual for a kind.
func (u *Usuals) Of(kind string) *Usual {
	if known, found := u.byKind.Load(kind); found {
		return known.(*Usual)
	}
	known, _ := u.byKind.LoadOrStore(kind, &Usual{})
	return known.(*Usual)
}
