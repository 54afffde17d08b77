package membership

import (
	"math"
	"time"
)

// Timing configures the intervals and size limits of the protocol. A zero field
// means the default.
type Timing struct {
	// Period is the interval between probes; default 1 s.
	Period time.Duration
	// ProbeTimeout is the time after which indirect probes are sent; default half
	// of Period.
	ProbeTimeout time.Duration
	// GossipInterval is the interval between gossip rounds while rumors are
	// pending; default 200 ms.
	GossipInterval time.Duration
	// SyncInterval is the interval between digest exchanges; default 10 s.
	SyncInterval time.Duration
	// SyncChunkInterval is the interval between the parts of a synchronization
	// that exceeds SyncBytes; default 500 ms.
	SyncChunkInterval time.Duration
	// ReconnectInterval is the interval between attempts to reach seeds and dead
	// members; default 10 s.
	ReconnectInterval time.Duration
	// TombstoneRetention is the time for which members that are dead or have left
	// are kept; default 10 min.
	TombstoneRetention time.Duration
	// RecordRetention is the time for which the record of a leaving replica is
	// kept; default 1 h.
	RecordRetention time.Duration
	// RumorBytes is the maximum size of the rumors in a message; default 1200.
	RumorBytes int
	// RumorRate is the maximum rate of member rumors in bytes per second; default
	// 6144. Changes in excess of it reach the other daemons by synchronization.
	RumorRate int
	// SyncBytes is the size of entries after which a synchronization message is
	// split; default 16384.
	SyncBytes int
}

const (
	indirectProbes           = 3
	gossipFanout             = 3
	minTransmits             = 6
	recordTransmitMultiplier = 3
	suspicionMultiplier      = 4
	// resumePeriods is the gap between ticks, in periods, from which on the process
	// is taken to have been suspended.
	resumePeriods    = 5
	joinFanout       = 3
	maxRecords       = 1 << 16
	maxRecordBytes   = 1 << 10
	maxOpenExchanges = 256

	// rumorBudgetMessages is the capacity of the rumor budget, in full messages.
	rumorBudgetMessages = 8
	// minRumorBudget is the minimum budget in bytes to add member rumors to a message.
	minRumorBudget = 150
	// minGossipBudget is the minimum budget in bytes for a gossip round without
	// record rumors.
	minGossipBudget = 600
	// earlySyncChanges is the number of member changes in a synchronization from
	// which on the next one is brought forward.
	earlySyncChanges = 4

	// syncedMemberTransmits is how often a member change learned by synchronization
	// is sent. Most other daemons already know it.
	syncedMemberTransmits = 2

	// Records may use recordShareNumerator/recordShareDenominator of RumorBytes.
	recordShareNumerator   = 3
	recordShareDenominator = 4
)

func (t Timing) withDefaults() Timing {
	setDuration(&t.Period, time.Second)
	setDuration(&t.ProbeTimeout, t.Period/2)
	setDuration(&t.GossipInterval, 200*time.Millisecond)
	setDuration(&t.SyncInterval, 10*time.Second)
	setDuration(&t.SyncChunkInterval, 500*time.Millisecond)
	setDuration(&t.ReconnectInterval, 10*time.Second)
	setDuration(&t.TombstoneRetention, 10*time.Minute)
	setDuration(&t.RecordRetention, time.Hour)
	if t.RumorBytes == 0 {
		t.RumorBytes = 1200
	}
	if t.RumorRate == 0 {
		t.RumorRate = 6 << 10
	}
	if t.SyncBytes == 0 {
		t.SyncBytes = 16 << 10
	}
	return t
}

// setDuration sets a zero field to a default value.
func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// suspicionTimeout returns the time in which a suspect can refute. It grows with the
// logarithm of the number of members, like the time for rumors to reach all of them.
func (t Timing) suspicionTimeout(members int) time.Duration {
	scale := math.Max(1, math.Log10(float64(members)))
	return time.Duration(suspicionMultiplier * scale * float64(t.Period))
}

// recordTransmitLimit returns how often a daemon sends a record rumor: in gossip
// rounds up to transmitLimit, and after that only piggybacked on other messages.
func recordTransmitLimit(members int) int { return recordTransmitMultiplier * transmitLimit(members) }

// transmitLimit returns how often a daemon sends a member rumor. If each of n daemons
// sends it k times to random peers, about n/e^k do not receive it and learn of the
// change by synchronization.
func transmitLimit(members int) int {
	return max(minTransmits, int(math.Ceil(math.Log2(float64(members+1)))))
}
