package membership

// rumor is an entry that is still being passed on.
type rumor struct {
	key entryKey
}

// rumors is the queue of changed entries. Those sent least often go first,
// and of these the newest.
type rumors struct {
	// queued has the newest rumor of each entry.
	queued map[entryKey]*rumor
	// levels[n] is a stack of the rumors sent n times. A rumor that is no
	// longer in queued is stale and is dropped when it comes up.
	levels [][]*rumor
}

func newRumors() *rumors {
	return &rumors{queued: make(map[entryKey]*rumor), levels: make([][]*rumor, 1)}
}

// add queues a changed entry, or starts it afresh.
func (q *rumors) add(key entryKey) {
	added := &rumor{key: key}
	q.queued[key] = added
	q.levels[0] = append(q.levels[0], added)
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
		if q.queued[last.key] == last {
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
func (q *rumors) take(bytes, limit int, size func(entryKey) (int, bool)) []entryKey {
	var taken []entryKey
	sent := make([][]*rumor, len(q.levels))
	defer func() { q.raise(sent, limit) }()
	for level := range q.levels {
		for next := q.top(level); next != nil; next = q.top(level) {
			needed, exists := size(next.key)
			if exists && needed > bytes && len(taken) > 0 {
				return taken
			}
			q.pop(level)
			if !exists {
				delete(q.queued, next.key)
				continue
			}
			bytes -= needed
			taken = append(taken, next.key)
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
		delete(q.queued, ended.key)
	}
}
