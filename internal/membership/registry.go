package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/topology"
)

// entryKey identifies a member (kind 0) or a record.
type entryKey struct {
	kind RecordKind
	key  string
}

// kindHashFactor makes the hashes of equal keys of different kinds differ.
const kindHashFactor = 0x9e3779b97f4a7c15

func (k entryKey) hash() uint64 {
	return xxhash.Sum64String(k.key) ^ uint64(k.kind)*kindHashFactor
}

func compareKeys(a, b entryKey) int {
	if a.kind != b.kind {
		return int(a.kind) - int(b.kind)
	}
	return strings.Compare(a.key, b.key)
}

// entry is a member or a record.
type entry struct {
	key    entryKey
	member topology.Member
	record *Record       // nil for a member
	since  time.Duration // time of the last change
	// rumor is the entry's latest rumor, nil after it has reached the transmit limit.
	rumor *rumor
	// The registry maintains the following fields. hash covers the key and the
	// version; position is the index in the bucket, or removed.
	hash             uint64
	bucket, position int32
}

// removed is the position of an entry that is no longer in the registry.
const removed = -1

func (e *entry) isMember() bool { return e.record == nil }

func (e *entry) stored() bool { return e.position != removed }

// inDigest reports whether the digest includes the entry. It excludes tombstones, as
// daemons remove them at different times.
func (e *entry) inDigest() bool { return !e.isMember() || IsLive(e.member.State) }

func (e *entry) versionHash(keyHash uint64) uint64 {
	var version [24]byte
	binary.LittleEndian.PutUint64(version[0:], keyHash)
	if e.isMember() {
		binary.LittleEndian.PutUint64(version[8:], e.member.Incarnation)
		version[16] = byte(e.member.State)
	} else {
		binary.LittleEndian.PutUint64(version[8:], e.record.Version)
	}
	return xxhash.Sum64(version[:])
}

// IsLive reports whether a member in this state is considered running.
func IsLive(state topology.MemberState) bool { return state <= topology.MemberLeaving }

type bucket struct {
	digest  uint64
	entries []*entry
}

// registry stores the members and records, partitioned into the buckets of the digest.
type registry struct {
	memberEntries map[string]*entry
	recordEntries map[entryKey]*entry
	buckets       [DigestBuckets]bucket
	live          int
	records       int
}

func newRegistry() *registry {
	return &registry{memberEntries: make(map[string]*entry), recordEntries: make(map[entryKey]*entry)}
}

func (r *registry) get(key entryKey) *entry {
	if key.kind == 0 {
		return r.memberEntries[key.key]
	}
	return r.recordEntries[key]
}

func (r *registry) member(id string) (topology.Member, bool) {
	found := r.memberEntries[id]
	if found == nil {
		return topology.Member{}, false
	}
	return found.member, true
}

// put adds or replaces an entry and updates the digest and the counts.
func (r *registry) put(changed *entry) {
	r.remove(changed.key)
	keyHash := changed.key.hash()
	changed.hash = changed.versionHash(keyHash)
	changed.bucket = int32(keyHash % DigestBuckets)
	into := &r.buckets[changed.bucket]
	changed.position = int32(len(into.entries))
	into.entries = append(into.entries, changed)
	if changed.isMember() {
		r.memberEntries[changed.key.key] = changed
	} else {
		r.recordEntries[changed.key] = changed
	}
	r.count(changed, 1)
}

func (r *registry) remove(key entryKey) {
	old := r.get(key)
	if old == nil {
		return
	}
	from := &r.buckets[old.bucket]
	last := len(from.entries) - 1
	from.entries[old.position] = from.entries[last]
	from.entries[old.position].position = old.position
	from.entries[last] = nil
	from.entries = from.entries[:last]
	old.position = removed
	if old.isMember() {
		delete(r.memberEntries, key.key)
	} else {
		delete(r.recordEntries, key)
	}
	r.count(old, -1)
}

// count adds an entry to the digest and the counts, or with by = -1 removes it.
func (r *registry) count(changed *entry, by int) {
	if changed.inDigest() {
		r.buckets[changed.bucket].digest ^= changed.hash
	}
	switch {
	case !changed.isMember():
		r.records += by
	case IsLive(changed.member.State):
		r.live += by
	}
}

func (r *registry) digest() []uint64 {
	hashes := make([]uint64, DigestBuckets)
	for i := range r.buckets {
		hashes[i] = r.buckets[i].digest
	}
	return hashes
}

// sorted returns the bucket's entries sorted by key.
func (b *bucket) sorted() []*entry {
	entries := slices.Clone(b.entries)
	slices.SortFunc(entries, func(a, b *entry) int { return compareKeys(a.key, b.key) })
	return entries
}

// members returns the members for which keep returns true, sorted by ID.
func (r *registry) members(keep func(topology.Member) bool) []topology.Member {
	found := make([]topology.Member, 0, r.live)
	for i := range r.buckets {
		for _, stored := range r.buckets[i].entries {
			if stored.isMember() && keep(stored.member) {
				found = append(found, stored.member)
			}
		}
	}
	slices.SortFunc(found, func(a, b topology.Member) int { return strings.Compare(a.ID, b.ID) })
	return found
}

// failedSince returns the members that were declared dead at or after a time, sorted by ID.
func (r *registry) failedSince(since time.Duration) []topology.Member {
	return r.members(func(member topology.Member) bool {
		return member.State == topology.MemberDead && r.memberEntries[member.ID].since >= since
	})
}

func (r *registry) appendLive(to []topology.Member) []topology.Member {
	for i := range r.buckets {
		for _, stored := range r.buckets[i].entries {
			if stored.isMember() && IsLive(stored.member.State) {
				to = append(to, stored.member)
			}
		}
	}
	return to
}

// expire removes old tombstones and old records of leaving replicas.
func (r *registry) expire(now time.Duration, timing Timing) {
	for i := range r.buckets {
		for _, stored := range slices.Clone(r.buckets[i].entries) {
			if expired(stored, now-stored.since, timing) {
				r.remove(stored.key)
			}
		}
	}
}

func expired(stored *entry, age time.Duration, timing Timing) bool {
	if stored.isMember() {
		return !IsLive(stored.member.State) && age >= timing.TombstoneRetention
	}
	return stored.key.kind == RecordReplicaLeaving && age >= timing.RecordRetention
}
