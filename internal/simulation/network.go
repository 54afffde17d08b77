package simulation

import (
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// The one-way delays of the users' sites.
const (
	SameZoneDelay      = 250 * time.Microsecond
	BetweenZonesDelay  = time.Millisecond
	BetweenRegionDelay = 12 * time.Millisecond
	ClientDelay        = 3 * time.Millisecond
	NewConnectionDelay = time.Millisecond
)

// jitterShare is the greatest random addition to a delay, as a share of it.
const jitterShare = 0.1

// Network carries messages between processes. Cuts are of one direction, by
// process or by region.
type Network struct {
	engine *Engine
	cuts   map[link]bool
	// Loss is the probability that a message is lost, from 0 to 1.
	Loss float64
	// ExtraDelay is added to every message.
	ExtraDelay time.Duration
	messages   uint64
}

// link is a direction between two processes, or between two regions.
type link struct {
	from string
	to   string
}

// NewNetwork returns a network without faults.
func NewNetwork(engine *Engine) *Network {
	return &Network{engine: engine, cuts: make(map[link]bool)}
}

// Messages returns the number of messages given to the network.
func (n *Network) Messages() uint64 { return n.messages }

// Cut drops messages from one process or region to another; both are names.
func (n *Network) Cut(from, to string) { n.cuts[link{from, to}] = true }

// Heal ends a cut.
func (n *Network) Heal(from, to string) { delete(n.cuts, link{from, to}) }

// HealAll ends every cut, loss and extra delay.
func (n *Network) HealAll() {
	clear(n.cuts)
	n.Loss = 0
	n.ExtraDelay = 0
}

// Reachable tells whether messages pass in this direction now.
func (n *Network) Reachable(from, to *Process) bool {
	return !n.cuts[link{from.Name, to.Name}] && !n.cuts[link{from.Place.Region, to.Place.Region}]
}

// Send carries a message: deliver happens at the receiver after the delay,
// unless the message is cut off or lost, or the receiver is dead by then. A
// sender hears nothing of that.
func (n *Network) Send(from, to *Process, deliver func()) {
	n.messages++
	if !n.Reachable(from, to) || n.lost() {
		return
	}
	n.engine.After(n.Delay(from.Place, to.Place), to.guarded(deliver))
}

func (n *Network) lost() bool {
	return n.Loss > 0 && n.engine.random.Float64() < n.Loss
}

// Delay returns a one-way delay between two places, with jitter.
func (n *Network) Delay(from, to topology.Place) time.Duration {
	base := BaseDelay(from, to)
	jitter := time.Duration(n.engine.random.Float64() * jitterShare * float64(base))
	return base + jitter + n.ExtraDelay
}

// BaseDelay returns the one-way delay between two places without jitter.
func BaseDelay(from, to topology.Place) time.Duration {
	switch from.DistanceTo(to) {
	case topology.SameZone:
		return SameZoneDelay
	case topology.SameRegion:
		return BetweenZonesDelay
	default:
		return BetweenRegionDelay
	}
}
