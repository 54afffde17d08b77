package membership

import (
	"slices"
	"time"
)

// rumor is an entry that is queued for transmission.
type rumor struct {
	entry *entry
}

// current reports whether the entry is in the registry and this is its latest rumor.
func (r *rumor) current() bool { return r.entry.stored() && r.entry.rumor == r }

// rumorQueue is a queue of changed entries, ordered by ascending transmit count and
// then from newest to oldest.
type rumorQueue struct {
	// levels[n] is a stack of the rumors sent n times. Rumors that are no longer
	// current are removed when they reach the top.
	levels [][]*rumor
}

func newRumorQueue() *rumorQueue {
	return &rumorQueue{levels: make([][]*rumor, 1)}
}

// add queues a changed entry with an initial transmit count. It replaces the entry's
// previous rumor.
func (q *rumorQueue) add(changed *entry, sent int) {
	added := &rumor{entry: changed}
	changed.rumor = added
	for len(q.levels) <= sent {
		q.levels = append(q.levels, nil)
	}
	q.levels[sent] = append(q.levels[sent], added)
}

// dropBefore removes the rumors of entries that last changed before limit.
func (q *rumorQueue) dropBefore(limit time.Duration) {
	for level, queued := range q.levels {
		q.levels[level] = slices.DeleteFunc(queued, func(r *rumor) bool {
			old := r.entry.since < limit
			if old && r.entry.rumor == r {
				r.entry.rumor = nil
			}
			return old
		})
	}
}

// hasBelow reports whether a rumor has been sent fewer than limit times.
func (q *rumorQueue) hasBelow(limit int) bool {
	for level := range min(limit, len(q.levels)) {
		if q.top(level) != nil {
			return true
		}
	}
	return false
}

// top returns the newest current rumor of a level, or nil.
func (q *rumorQueue) top(level int) *rumor {
	for len(q.levels[level]) > 0 {
		last := q.levels[level][len(q.levels[level])-1]
		if last.current() {
			return last
		}
		q.pop(level)
	}
	return nil
}

func (q *rumorQueue) pop(level int) {
	last := len(q.levels[level]) - 1
	q.levels[level][last] = nil
	q.levels[level] = q.levels[level][:last]
}

// take returns the entries of the next rumors, at least one if there are any and
// otherwise up to a size, and counts them as sent. Rumors that have been sent limit
// times are removed.
func (q *rumorQueue) take(bytes, limit int) []*entry {
	var taken []*entry
	sent := make([][]*rumor, len(q.levels))
	defer func() { q.promote(sent, limit) }()
	for level := range q.levels {
		for next := q.top(level); next != nil; next = q.top(level) {
			needed := entrySize(next.entry)
			if needed > bytes && len(taken) > 0 {
				return taken
			}
			q.pop(level)
			bytes -= needed
			taken = append(taken, next.entry)
			sent[level] = append(sent[level], next)
		}
	}
	return taken
}

// promote moves sent rumors to the next level, and removes those that have been sent
// limit times.
func (q *rumorQueue) promote(sent [][]*rumor, limit int) {
	for level, moved := range sent {
		if len(moved) == 0 {
			continue
		}
		if level+1 >= limit {
			q.retire(moved)
			continue
		}
		if level+1 == len(q.levels) {
			q.levels = append(q.levels, nil)
		}
		q.levels[level+1] = append(q.levels[level+1], moved...)
	}
}

func (q *rumorQueue) retire(done []*rumor) {
	for _, r := range done {
		r.entry.rumor = nil
	}
}
