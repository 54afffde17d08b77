package membership

import (
	"math"
	"time"
)

// Timing bounds the protocol in time and bytes. A zero field takes the
// default.
type Timing struct {
	// Period between two probes by one daemon; 1 s.
	Period time.Duration
	// ProbeTimeout is when indirect probes are sent; half of Period.
	ProbeTimeout time.Duration
	// GossipInterval between rounds while there is fresh news; 200 ms.
	GossipInterval time.Duration
	// SyncInterval between digest exchanges; 10 s.
	SyncInterval time.Duration
	// SyncChunkInterval between the parts of a long synchronization; 500 ms.
	SyncChunkInterval time.Duration
	// ReconnectInterval between attempts to reach addresses that are not
	// live members; 10 s.
	ReconnectInterval time.Duration
	// TombstoneRetention is how long dead members are remembered; 10 min.
	TombstoneRetention time.Duration
	// RecordRetention is the age at which a record of a leaving replica is
	// forgotten; 1 h.
	RecordRetention time.Duration
	// RumorBytes bounds the rumors in one message; 1200.
	RumorBytes int
	// RumorRate bounds the bytes of rumors about members that a daemon sends in
	// a second; 6144. What does not fit comes by synchronization.
	RumorRate int
	// SyncBytes bounds the entries in one synchronization message; 16384.
	SyncBytes int
}

const (
	indirectProbes       = 3
	gossipFanout         = 3
	leastTransmits       = 6
	newsMultiplier       = 3
	suspicionMultiplier  = 4
	resumePeriods        = 5
	joinFanout           = 3
	maximumRecords       = 1 << 16
	maximumRecordBytes   = 1 << 10
	maximumExchangesOpen = 256

	// allowanceMessages full messages of rumors may be saved up.
	allowanceMessages = 8
	// leastRumorBytes of the allowance are needed for a rumor.
	leastRumorBytes = 150
	// gossipWorth bytes of allowance are worth a round without news.
	gossipWorth = 600
	// busySyncChanges members that a synchronization changed make another one
	// worth while at once.
	busySyncChanges = 4

	// oldNewsTransmits is how often a member is told of that was learned by
	// synchronization, which is rarely news to others.
	oldNewsTransmits = 2

	// records take up to newsPart/newsWhole of the rumors of a message
	newsPart  = 3
	newsWhole = 4
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

func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// suspicionTimeout grows with the logarithm of the number of members, as the
// refutation needs that long to reach everyone.
func (t Timing) suspicionTimeout(members int) time.Duration {
	scale := math.Max(1, math.Log10(float64(members)))
	return time.Duration(suspicionMultiplier * scale * float64(t.Period))
}

// newsLimit is how often one daemon sends a record: first in quick rounds, up
// to transmitLimit, then on the messages that go out anyhow.
func newsLimit(members int) int { return newsMultiplier * transmitLimit(members) }

// transmitLimit is how often one rumor about a member is sent by one daemon.
// A rumor that each of n daemons sends k times to random others misses about
// n/e^k; these learn of it by synchronization.
func transmitLimit(members int) int {
	return max(leastTransmits, int(math.Ceil(math.Log2(float64(members+1)))))
}
