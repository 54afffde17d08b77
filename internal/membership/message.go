package membership

import (
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// RecordKind is the kind of a Record.
type RecordKind uint8

// The kinds of records.
const (
	// RecordDocument: Key is a document's name, Version its revision.
	RecordDocument RecordKind = iota + 1
	// RecordReplicaLeaving: Key is "address|incarnation" of a replica.
	RecordReplicaLeaving
	// RecordStoreWatermark: Key is StoreWatermarkKey, Version a packed once.Watermark, the
	// minimum state that the store must have reached.
	RecordStoreWatermark
)

// StoreWatermarkKey is the only key of RecordStoreWatermark.
const StoreWatermarkKey = "store"

// Record is a small versioned value that is replicated to every daemon. Of two
// records with the same kind and key, the one with the higher version wins.
type Record struct {
	Kind    RecordKind `msgpack:"k"`
	Key     string     `msgpack:"y"`
	Version uint64     `msgpack:"v"`
	Value   []byte     `msgpack:"b,omitempty"`
	// AgeSeconds is sent with the record, so that a daemon that received it late
	// does not reintroduce it after it has expired elsewhere.
	AgeSeconds uint32 `msgpack:"g,omitempty"`
}

func (r Record) age() time.Duration { return time.Duration(r.AgeSeconds) * time.Second }

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages. All but MessageReply are requests, to which the receiver
// responds with a MessageReply.
const (
	// MessagePing probes the receiver.
	MessagePing MessageKind = iota + 1
	// MessagePingRequest asks the receiver to ping Target on behalf of the sender.
	MessagePingRequest
	// MessageIndirectAck reports that Target replied to the sender's ping.
	MessageIndirectAck
	// MessageGossip carries only rumors.
	MessageGossip
	// MessageSync carries a Digest and requests the entries that differ.
	MessageSync
	// MessagePush carries the entries that the peer of a MessageSync lacks.
	MessagePush
	// MessageReply is the response to a request.
	MessageReply
)

// DigestBuckets is the number of buckets in a digest.
const DigestBuckets = 64

// Message is a request or reply between daemons, encoded as msgpack.
type Message struct {
	Kind MessageKind     `msgpack:"k"`
	From topology.Member `msgpack:"f"`
	// Target is the probed member, for MessagePingRequest and
	// MessageIndirectAck.
	Target topology.Member `msgpack:"t"`
	// Members and Records are rumors, and the entries of Buckets.
	Members []topology.Member `msgpack:"m,omitempty"`
	Records []Record          `msgpack:"r,omitempty"`
	// Digest contains one hash for each of the DigestBuckets buckets.
	Digest []uint64 `msgpack:"d,omitempty"`
	// Buckets lists the buckets whose entries are all in the message.
	Buckets []int `msgpack:"u,omitempty"`
	// More is true if more buckets differ.
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

// fieldOverhead is the estimated size of the msgpack field names and headers of an entry.
const fieldOverhead = 36

func memberSize(member topology.Member) int {
	return len(member.ID) + len(member.PeerAddress) + len(member.Place.Region) + len(member.Place.Zone) + fieldOverhead
}

func recordSize(record Record) int {
	return len(record.Key) + len(record.Value) + fieldOverhead
}
