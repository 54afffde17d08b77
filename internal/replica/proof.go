package replica

import "sync/atomic"

// Proof is the state of a request in flight that shows whether it can be the
// cause if its replica crashes: a request that another replica has answered is
// not. It is safe for concurrent use.
type Proof struct {
	handle *Handle
	state  atomic.Uint32
}

const (
	proofUnproven uint32 = iota
	proofHarmless
	proofEnded
)

// NewProof returns the proof of a request that is sent to the replica.
func (h *Handle) NewProof() *Proof { return &Proof{handle: h} }

// MarkHarmless records that another replica has answered the request.
func (p *Proof) MarkHarmless() {
	if p.state.CompareAndSwap(proofUnproven, proofHarmless) {
		p.handle.harmless.Add(1)
	}
}

// End records that the request is no longer in flight.
func (p *Proof) End() {
	if p.state.Swap(proofEnded) == proofHarmless {
		p.handle.harmless.Add(-1)
	}
}

// suspects returns the number of requests in flight that can be the cause of a
// crash of the replica, at least 1.
func (h *Handle) suspects() int64 { return max(1, h.inFlight.Load()-h.harmless.Load()) }
