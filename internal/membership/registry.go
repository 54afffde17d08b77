package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/topology"
)

// entryKey names a member (kind 0) or a record.
type entryKey struct {
	kind RecordKind
	key  string
}

// kindSpread sets the hashes of the kinds apart.
const kindSpread = 0x9e3779b97f4a7c15

func (k entryKey) hash() uint64 {
	return xxhash.Sum64String(k.key) ^ uint64(k.kind)*kindSpread
}

func compareKeys(a, b entryKey) int {
	if a.kind != b.kind {
		return int(a.kind) - int(b.kind)
	}
	return strings.Compare(a.key, b.key)
}

// entry is a member or a record with the time since which it is so.
type entry struct {
	key    entryKey
	member topology.Member
	record *Record // nil for a member
	since  time.Duration
	// rumor is the newest rumor of the entry, nil once it was passed on often.
	rumor *rumor
	// hash covers key and version; it is kept by the registry, as are bucket
	// and position, which is negative for an entry that is not held any more.
	hash             uint64
	bucket, position int32
}

const notHeld = -1

func (e *entry) isMember() bool { return e.record == nil }

func (e *entry) held() bool { return e.position != notHeld }

// digested tells whether the entry counts in the digest. Tombstones do not,
// as daemons forget them at different times.
func (e *entry) digested() bool { return !e.isMember() || IsLive(e.member.State) }

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

// IsLive tells whether a member in this state still runs, as far as is known.
func IsLive(state topology.MemberState) bool { return state <= topology.MemberLeaving }

type bucket struct {
	digest  uint64
	entries []*entry
}

// registry holds all members and records, in the buckets of the digest.
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

// put replaces an entry and keeps the digest and the counts.
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
	old.position = notHeld
	if old.isMember() {
		delete(r.memberEntries, key.key)
	} else {
		delete(r.recordEntries, key)
	}
	r.count(old, -1)
}

func (r *registry) count(changed *entry, by int) {
	if changed.digested() {
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

// sorted returns a bucket's entries in the order of their keys.
func (b *bucket) sorted() []*entry {
	entries := slices.Clone(b.entries)
	slices.SortFunc(entries, func(a, b *entry) int { return compareKeys(a.key, b.key) })
	return entries
}

// members returns the members that pass a test, sorted by ID.
func (r *registry) members(keep func(topology.Member) bool) []topology.Member {
	found := make([]topology.Member, 0, r.live)
	for i := range r.buckets {
		for _, held := range r.buckets[i].entries {
			if held.isMember() && keep(held.member) {
				found = append(found, held.member)
			}
		}
	}
	slices.SortFunc(found, func(a, b topology.Member) int { return strings.Compare(a.ID, b.ID) })
	return found
}

func (r *registry) appendLive(to []topology.Member) []topology.Member {
	for i := range r.buckets {
		for _, held := range r.buckets[i].entries {
			if held.isMember() && IsLive(held.member.State) {
				to = append(to, held.member)
			}
		}
	}
	return to
}

// expire forgets tombstones and records of leaving replicas that are old.
func (r *registry) expire(now time.Duration, timing Timing) {
	for i := range r.buckets {
		for _, held := range slices.Clone(r.buckets[i].entries) {
			if expired(held, now-held.since, timing) {
				r.remove(held.key)
			}
		}
	}
}

func expired(held *entry, age time.Duration, timing Timing) bool {
	if held.isMember() {
		return !IsLive(held.member.State) && age >= timing.TombstoneRetention
	}
	return held.key.kind == RecordReplicaLeaving && age >= timing.RecordRetention
}
