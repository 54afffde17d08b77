package kv

import (
	"bytes"
	"slices"
	"sort"
)

// change is one key at one revision. A deleted change keeps only the key and
// the revision.
type change struct {
	keyValue KeyValue
	deleted  bool
}

// revision returns the revision that made the change.
func (c *change) revision() int64 { return int64(c.keyValue.ModRevision) }

// history holds every change since the last compaction: by key, and in the
// order of revisions. It is not safe for concurrent use.
type history struct {
	revision  int64
	compacted int64
	byKey     map[string][]change
	log       []change
}

// firstRevision is the revision of an empty store, as in etcd.
const firstRevision = 1

func newHistory() *history {
	return &history{revision: firstRevision, byKey: make(map[string][]change)}
}

// at returns the value of a key at a revision.
func (h *history) at(key string, revision int64) (KeyValue, bool) {
	changes := h.byKey[key]
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].revision() <= revision {
			return changes[i].keyValue, !changes[i].deleted
		}
	}
	return KeyValue{}, false
}

// keysIn returns the keys of a range in ascending order. An empty end means
// the one key; an end of one zero byte means all keys from start on.
func (h *history) keysIn(start, end []byte) []string {
	if len(end) == 0 {
		return []string{string(start)}
	}
	var keys []string
	for key := range h.byKey {
		if inRange([]byte(key), start, end) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func inRange(key, start, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, start)
	}
	if bytes.Compare(key, start) < 0 {
		return false
	}
	return isUnbounded(end) || bytes.Compare(key, end) < 0
}

func isUnbounded(end []byte) bool { return len(end) == 1 && end[0] == 0 }

// put records a write at a revision and returns what it made.
func (h *history) put(key, value []byte, lease Integer, revision int64) KeyValue {
	previous, exists := h.at(string(key), revision)
	made := KeyValue{
		Key:            bytes.Clone(key),
		Value:          bytes.Clone(value),
		CreateRevision: Integer(revision),
		ModRevision:    Integer(revision),
		Version:        1,
		Lease:          lease,
	}
	if exists {
		made.CreateRevision = previous.CreateRevision
		made.Version = previous.Version + 1
	}
	h.record(change{keyValue: made})
	return made
}

// remove records a deletion at a revision.
func (h *history) remove(key string, revision int64) {
	tombstone := KeyValue{Key: []byte(key), ModRevision: Integer(revision)}
	h.record(change{keyValue: tombstone, deleted: true})
}

func (h *history) record(made change) {
	key := string(made.keyValue.Key)
	h.byKey[key] = append(h.byKey[key], made)
	h.log = append(h.log, made)
}

// since returns the changes of the log from a revision on.
func (h *history) since(revision int64) []change {
	first := sort.Search(len(h.log), func(i int) bool { return h.log[i].revision() >= revision })
	return h.log[first:]
}

// compact drops what is only needed to read below a revision.
func (h *history) compact(revision int64) {
	h.compacted = revision
	h.log = slices.Clone(h.since(revision))
	for key, changes := range h.byKey {
		kept := keepFrom(changes, revision)
		if len(kept) == 0 {
			delete(h.byKey, key)
			continue
		}
		h.byKey[key] = kept
	}
}

// keepFrom keeps the change in force at a revision and all later ones.
func keepFrom(changes []change, revision int64) []change {
	first := 0
	for i := range changes {
		if changes[i].revision() <= revision {
			first = i
		}
	}
	kept := changes[first:]
	if kept[0].deleted && kept[0].revision() <= revision {
		kept = kept[1:]
	}
	return slices.Clone(kept)
}

// restore drops every change after a revision, as a restored backup does.
func (h *history) restore(revision int64) {
	h.revision = revision
	h.log = slices.DeleteFunc(h.log, func(c change) bool { return c.revision() > revision })
	for key, changes := range h.byKey {
		kept := slices.DeleteFunc(changes, func(c change) bool { return c.revision() > revision })
		if len(kept) == 0 {
			delete(h.byKey, key)
			continue
		}
		h.byKey[key] = kept
	}
}
