package membership

import (
	"slices"
	"time"
)

// rumor is an entry that is still being passed on.
type rumor struct {
	entry *entry
}

// current tells whether the entry is held and this is its newest rumor.
func (r *rumor) current() bool { return r.entry.held() && r.entry.rumor == r }

// rumors is the queue of changed entries. Those sent least often go first,
// and of these the newest.
type rumors struct {
	// levels[n] is a stack of the rumors sent n times. A rumor that is no
	// longer current is dropped when it comes up.
	levels [][]*rumor
}

func newRumors() *rumors {
	return &rumors{levels: make([][]*rumor, 1)}
}

// add queues a changed entry, or starts it afresh, as one that was sent so
// many times.
func (q *rumors) add(changed *entry, sent int) {
	added := &rumor{entry: changed}
	changed.rumor = added
	for len(q.levels) <= sent {
		q.levels = append(q.levels, nil)
	}
	q.levels[sent] = append(q.levels[sent], added)
}

// dropBefore drops the rumors of entries that are as they are since before a
// time.
func (q *rumors) dropBefore(limit time.Duration) {
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

// fresh tells whether some rumor has been sent less often than a limit.
func (q *rumors) fresh(limit int) bool {
	for level := range min(limit, len(q.levels)) {
		if q.top(level) != nil {
			return true
		}
	}
	return false
}

// top returns the newest rumor of a level, or nil.
func (q *rumors) top(level int) *rumor {
	for len(q.levels[level]) > 0 {
		last := q.levels[level][len(q.levels[level])-1]
		if last.current() {
			return last
		}
		q.pop(level)
	}
	return nil
}

func (q *rumors) pop(level int) {
	last := len(q.levels[level]) - 1
	q.levels[level][last] = nil
	q.levels[level] = q.levels[level][:last]
}

// take chooses rumors up to a size, at least one, and counts them as sent;
// limit is the number of times after which a rumor is dropped.
func (q *rumors) take(bytes, limit int) []*entry {
	var taken []*entry
	sent := make([][]*rumor, len(q.levels))
	defer func() { q.raise(sent, limit) }()
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

// raise moves the rumors sent to the next level, and drops those sent often
// enough.
func (q *rumors) raise(sent [][]*rumor, limit int) {
	for level, moved := range sent {
		if len(moved) == 0 {
			continue
		}
		if level+1 >= limit {
			q.drop(moved)
			continue
		}
		if level+1 == len(q.levels) {
			q.levels = append(q.levels, nil)
		}
		q.levels[level+1] = append(q.levels[level+1], moved...)
	}
}

func (q *rumors) drop(done []*rumor) {
	for _, ended := range done {
		ended.entry.rumor = nil
	}
}
