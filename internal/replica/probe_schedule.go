package replica

import (
	"math/rand/v2"
	"time"
)

const (
	// ProbeTimeout limits the duration of a probe.
	ProbeTimeout = 500 * time.Millisecond
	// ProbeTick is the interval at which a daemon checks for due probes.
	ProbeTick = 100 * time.Millisecond
	// probePeriod is the mean time between two probes of a replica by one
	// daemon.
	probePeriod = time.Second
	// probeJitter is the fraction by which each period varies in either
	// direction.
	probeJitter = 0.25
	// maxProbesPerSecond limits the probe rate of a daemon. If more replicas
	// are assigned, the period is extended.
	maxProbesPerSecond = 50
)

// probeSchedule determines when a daemon probes each replica. It has no clock
// and is not safe for concurrent use.
type probeSchedule struct {
	random *rand.Rand
	next   map[processID]time.Time
}

func newProbeSchedule(seed uint64) *probeSchedule {
	const stream = 0x9e3779b97f4a7c15
	return &probeSchedule{random: rand.New(rand.NewPCG(seed, stream)), next: make(map[processID]time.Time)}
}

// due returns the assigned replicas whose probe is due and schedules their next
// probes.
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

// jitter returns the period with random variation, so that daemons do not probe
// in lockstep.
func (s *probeSchedule) jitter(period time.Duration) time.Duration {
	varied := 1 + probeJitter*(2*s.random.Float64()-1)
	return time.Duration(varied * float64(period))
}
