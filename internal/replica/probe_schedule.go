package replica

import (
	"math/rand/v2"
	"time"
)

// The constants of probing.
const (
	// ProbeTimeout is how long a probe may take.
	ProbeTimeout = 500 * time.Millisecond
	// ProbeTick is how often a daemon looks for probes that are due.
	ProbeTick = 100 * time.Millisecond
	// probePeriod is the mean time between two probes of a replica by one
	// daemon. Two daemons probe it, and gossip needs about a second to the last
	// of thousands of daemons.
	probePeriod = time.Second
	// probeJitter is the part of a period by which each varies, both ways.
	probeJitter = 0.25
	// maxProbesPerSecond bounds what a daemon spends on probes; with more
	// replicas to probe than that, its period grows.
	maxProbesPerSecond = 50
)

// probeSchedule says which replicas a daemon probes now. It has no clock of
// its own and is for one goroutine.
type probeSchedule struct {
	random *rand.Rand
	next   map[processID]time.Time
}

func newProbeSchedule(seed uint64) *probeSchedule {
	const stream = 0x9e3779b97f4a7c15
	return &probeSchedule{random: rand.New(rand.NewPCG(seed, stream)), next: make(map[processID]time.Time)}
}

// due returns which of the replicas assigned to this daemon it probes now, and
// sets the times of their next probes.
func (s *probeSchedule) due(now time.Time, assigned []*Handle) []*Handle {
	period := max(probePeriod, time.Duration(len(assigned))*time.Second/maxProbesPerSecond)
	next := make(map[processID]time.Time, len(assigned))
	var due []*Handle
	for _, handle := range assigned {
		at, known := s.next[handle.processID()]
		switch {
		case !known:
			at = now.Add(time.Duration(s.random.Float64() * float64(period)))
		case !now.Before(at):
			due = append(due, handle)
			at = now.Add(s.jitter(period))
		}
		next[handle.processID()] = at
	}
	s.next = next
	return due
}

// jitter is a period, varied so that daemons do not fall into step.
func (s *probeSchedule) jitter(period time.Duration) time.Duration {
	varied := 1 + probeJitter*(2*s.random.Float64()-1)
	return time.Duration(varied * float64(period))
}
