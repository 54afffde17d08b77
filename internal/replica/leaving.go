package replica

import "time"

// processID names one processID of a back end.
type processID struct {
	address     string
	incarnation string
}

// leavingRetention is how long a mark outlives the last sight of its process.
const leavingRetention = time.Hour

// leavingSet remembers which processes are leaving. A mark belongs to one
// incarnation, so only a new incarnation on the same address is free of it.
type leavingSet struct {
	lastSeen map[processID]time.Time
}

func newLeavingSet() leavingSet {
	return leavingSet{lastSeen: make(map[processID]time.Time)}
}

// add returns true when the mark is new.
func (m *leavingSet) add(marked processID, now time.Time) bool {
	_, known := m.lastSeen[marked]
	m.lastSeen[marked] = now
	return !known
}

func (m *leavingSet) has(listed processID) bool {
	_, known := m.lastSeen[listed]
	return known
}

// refresh keeps the mark of a process that is still listed.
func (m *leavingSet) refresh(listed processID, now time.Time) {
	if m.has(listed) {
		m.lastSeen[listed] = now
	}
}

func (m *leavingSet) evictExpired(now time.Time) {
	for marked, seen := range m.lastSeen {
		if now.Sub(seen) > leavingRetention {
			delete(m.lastSeen, marked)
		}
	}
}
