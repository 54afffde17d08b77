package membership

import (
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// RecordKind says what a Record is about.
type RecordKind uint8

// The kinds of record.
const (
	// RecordDocument: Key is a document's name, Version its revision.
	RecordDocument RecordKind = iota + 1
	// RecordReplicaLeaving: Key is "address|incarnation" of a replica.
	RecordReplicaLeaving
	// RecordStoreMark: Key is StoreMarkKey, Version a packed once.Mark, which
	// says how new the store must be.
	RecordStoreMark
)

// StoreMarkKey is the one key of RecordStoreMark.
const StoreMarkKey = "store"

// Record is a small versioned fact that every daemon should know. Of two
// records of the same kind and key the higher version wins.
type Record struct {
	Kind    RecordKind `msgpack:"k"`
	Key     string     `msgpack:"y"`
	Version uint64     `msgpack:"v"`
	Value   []byte     `msgpack:"b,omitempty"`
	// AgeSeconds travels with the record, so that an expired record is not
	// brought back by a daemon that learned of it late.
	AgeSeconds uint32 `msgpack:"g,omitempty"`
}

func (r Record) age() time.Duration { return time.Duration(r.AgeSeconds) * time.Second }

// MessageKind says what a Message asks or answers.
type MessageKind uint8

// The kinds of message. Each but MessageReply is a request and is answered by
// a MessageReply.
const (
	// MessagePing asks whether the receiver lives, and carries rumors.
	MessagePing MessageKind = iota + 1
	// MessagePingRequest asks the receiver to ping Target for the sender.
	MessagePingRequest
	// MessageIndirectAck says that Target has answered the sender.
	MessageIndirectAck
	// MessageGossip carries rumors only.
	MessageGossip
	// MessageSync carries a Digest and asks for what differs.
	MessageSync
	// MessagePush carries what the sender of a MessageSync knows better.
	MessagePush
	// MessageReply answers any of the others.
	MessageReply
)

// DigestBuckets is the number of buckets in a digest.
const DigestBuckets = 64

// Message is what two daemons exchange; it travels as msgpack.
type Message struct {
	Kind MessageKind     `msgpack:"k"`
	From topology.Member `msgpack:"f"`
	// Target is the member asked about, for MessagePingRequest and
	// MessageReached.
	Target topology.Member `msgpack:"t"`
	// Members and Records are rumors, or the entries of Buckets.
	Members []topology.Member `msgpack:"m,omitempty"`
	Records []Record          `msgpack:"r,omitempty"`
	// Digest has DigestBuckets hashes, one a bucket.
	Digest []uint64 `msgpack:"d,omitempty"`
	// Buckets names the buckets whose entries are all in the message.
	Buckets []int `msgpack:"u,omitempty"`
	// More is true when further buckets differ.
	More bool `msgpack:"o,omitempty"`
}

// Size estimates the encoded size in bytes.
func (m Message) Size() int {
	size := 2*memberSize(m.From) + 9*len(m.Digest) + len(m.Buckets)
	for i := range m.Members {
		size += memberSize(m.Members[i])
	}
	for i := range m.Records {
		size += recordSize(m.Records[i])
	}
	return size
}

// fieldOverhead covers the msgpack field names and headers of one entry.
const fieldOverhead = 36

func memberSize(member topology.Member) int {
	return len(member.ID) + len(member.PeerAddress) + len(member.Place.Region) + len(member.Place.Zone) + fieldOverhead
}

func recordSize(record Record) int {
	return len(record.Key) + len(record.Value) + fieldOverhead
}
