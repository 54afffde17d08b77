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

func (k entryKey) hash() uint64 {
	digest := xxhash.New()
	_, _ = digest.Write([]byte{byte(k.kind)})
	_, _ = digest.WriteString(k.key)
	return digest.Sum64()
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
	record Record
	since  time.Duration
}

func (e *entry) isMember() bool { return e.key.kind == 0 }

// digested tells whether the entry counts in the digest. Tombstones do not,
// as daemons forget them at different times.
func (e *entry) digested() bool { return !e.isMember() || Live(e.member.State) }

func (e *entry) hash() uint64 {
	var version [24]byte
	binary.LittleEndian.PutUint64(version[0:], e.key.hash())
	if e.isMember() {
		binary.LittleEndian.PutUint64(version[8:], e.member.Incarnation)
		version[16] = byte(e.member.State)
	} else {
		binary.LittleEndian.PutUint64(version[8:], e.record.Version)
	}
	return xxhash.Sum64(version[:])
}

// Live tells whether a member in this state still runs, as far as is known.
func Live(state topology.MemberState) bool { return state <= topology.MemberLeaving }

type bucket struct {
	digest  uint64
	entries map[entryKey]*entry
}

// registry holds all members and records, in the buckets of the digest.
type registry struct {
	buckets [DigestBuckets]bucket
	live    int
	records int
}

func newRegistry() *registry {
	r := &registry{}
	for i := range r.buckets {
		r.buckets[i].entries = make(map[entryKey]*entry)
	}
	return r
}

func (r *registry) bucketOf(key entryKey) *bucket {
	return &r.buckets[key.hash()%DigestBuckets]
}

func (r *registry) get(key entryKey) *entry { return r.bucketOf(key).entries[key] }

func (r *registry) member(id string) (topology.Member, bool) {
	found := r.get(entryKey{key: id})
	if found == nil {
		return topology.Member{}, false
	}
	return found.member, true
}

// put replaces an entry and keeps the digest and the counts.
func (r *registry) put(changed *entry) {
	r.remove(changed.key)
	into := r.bucketOf(changed.key)
	into.entries[changed.key] = changed
	r.count(into, changed, 1)
}

func (r *registry) remove(key entryKey) {
	from := r.bucketOf(key)
	old := from.entries[key]
	if old == nil {
		return
	}
	delete(from.entries, key)
	r.count(from, old, -1)
}

func (r *registry) count(within *bucket, changed *entry, by int) {
	if changed.digested() {
		within.digest ^= changed.hash()
	}
	switch {
	case !changed.isMember():
		r.records += by
	case Live(changed.member.State):
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
	entries := make([]*entry, 0, len(b.entries))
	for _, held := range b.entries {
		entries = append(entries, held)
	}
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

// expire forgets tombstones and records of leaving replicas that are old.
func (r *registry) expire(now time.Duration, timing Timing) {
	for i := range r.buckets {
		for key, held := range r.buckets[i].entries {
			if expired(held, now-held.since, timing) {
				r.remove(key)
			}
		}
	}
}

func expired(held *entry, age time.Duration, timing Timing) bool {
	if held.isMember() {
		return !Live(held.member.State) && age >= timing.TombstoneRetention
	}
	return held.key.kind == RecordReplicaLeaving && age >= timing.RecordRetention
}
