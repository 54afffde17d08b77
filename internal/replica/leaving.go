package replica

import "time"

// processID identifies one backend process.
type processID struct {
	address     string
	incarnation string
}

// leavingRetention is how long a leaving process is remembered after it was
// last listed.
const leavingRetention = time.Hour

// leavingSet remembers which processes are leaving. Entries are per
// incarnation, so a new process at the same address is not affected.
type leavingSet struct {
	lastSeen map[processID]time.Time
}

func newLeavingSet() leavingSet {
	return leavingSet{lastSeen: make(map[processID]time.Time)}
}

// add reports whether the process was not in the set before.
func (s *leavingSet) add(leaving processID, now time.Time) bool {
	_, known := s.lastSeen[leaving]
	s.lastSeen[leaving] = now
	return !known
}

func (s *leavingSet) has(listed processID) bool {
	_, known := s.lastSeen[listed]
	return known
}

// refresh updates the time of an entry whose process is still listed.
func (s *leavingSet) refresh(listed processID, now time.Time) {
	if s.has(listed) {
		s.lastSeen[listed] = now
	}
}

func (s *leavingSet) evictExpired(now time.Time) {
	for leaving, seen := range s.lastSeen {
		if now.Sub(seen) > leavingRetention {
			delete(s.lastSeen, leaving)
		}
	}
}
