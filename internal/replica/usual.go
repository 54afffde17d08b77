package replica

import (
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// medianQuantile is the quantile by which replicas are compared.
const medianQuantile = 0.5

// Usual is how long requests of one kind usually take, by the distance of the
// replica. Its zero value is ready, and it is safe for concurrent use.
type Usual struct {
	median [topology.OtherRegion + 1]latencyWindow
	late   [topology.OtherRegion + 1]latencyWindow
}

// record adds the time of one answer.
func (u *Usual) record(distance topology.Distance, elapsed time.Duration) {
	u.median[distance].Record(elapsed)
	u.late[distance].Record(elapsed)
}

// Median returns the usual time at a distance, 0 while it is not known.
func (u *Usual) Median(distance topology.Distance) time.Duration {
	return u.median[distance].Quantile(medianQuantile)
}

// Quantile returns a quantile at a distance, 0 while it is not known.
func (u *Usual) Quantile(distance topology.Distance, quantile float64) time.Duration {
	return u.late[distance].Quantile(quantile)
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
