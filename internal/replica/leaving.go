package replica

import "time"

// process names one process of a back end.
type process struct {
	address     string
	incarnation string
}

// leavingMemory is how long a mark outlives the last sight of its process.
const leavingMemory = time.Hour

// leavingMarks remembers which processes are leaving. A mark belongs to one
// incarnation, so only a new incarnation on the same address is free of it.
type leavingMarks struct {
	lastSeen map[process]time.Time
}

func newLeavingMarks() leavingMarks {
	return leavingMarks{lastSeen: make(map[process]time.Time)}
}

// add returns true when the mark is new.
func (m *leavingMarks) add(marked process, now time.Time) bool {
	_, known := m.lastSeen[marked]
	m.lastSeen[marked] = now
	return !known
}

func (m *leavingMarks) has(listed process) bool {
	_, known := m.lastSeen[listed]
	return known
}

// see keeps the mark of a process that is still listed.
func (m *leavingMarks) see(listed process, now time.Time) {
	if m.has(listed) {
		m.lastSeen[listed] = now
	}
}

func (m *leavingMarks) forgetOld(now time.Time) {
	for marked, seen := range m.lastSeen {
		if now.Sub(seen) > leavingMemory {
			delete(m.lastSeen, marked)
		}
	}
}
