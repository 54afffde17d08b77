package peer

import (
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/topology"
)

// The routes of the internal protocol. All take POST with a msgpack body and
// answer 200 with a msgpack body, or another status with a Problem.
const (
	// ExchangePath: membership.Message -> membership.Message.
	ExchangePath = "/peer/v1/exchange"
	// DocumentPath: DocumentRequest -> document.Document.
	DocumentPath = "/peer/v1/document"
	// StatePath: StateRequest -> NodeState.
	StatePath = "/peer/v1/state"
	// StatisticsPath: StatisticsRequest -> StatisticsReply.
	StatisticsPath = "/peer/v1/statistics"
	// ForwardPath: ForwardRequest -> ForwardReply.
	ForwardPath = "/peer/v1/forward"
)

// ContentType is the media type of all bodies.
const ContentType = "application/msgpack"

// DocumentRequest asks for a document.
type DocumentRequest struct {
	Name document.Name `msgpack:"n"`
	// MinimumRevision is the lowest that helps the asker; one lower answers
	// not found.
	MinimumRevision uint64 `msgpack:"r"`
}

// StateRequest asks for the NodeState.
type StateRequest struct{}

// NodeState is what a daemon says of itself.
type NodeState struct {
	Member            topology.Member        `msgpack:"m" json:"member"`
	TableRevision     uint64                 `msgpack:"t" json:"table_revision"`
	CatalogueRevision uint64                 `msgpack:"c" json:"catalogue_revision"`
	Store             blackboard.StoreStatus `msgpack:"s" json:"store"`
	Phase             blackboard.Phase       `msgpack:"p" json:"phase"`
	// MembersKnown is the number of live daemons it knows, itself included.
	MembersKnown int `msgpack:"k" json:"members_known"`
	// The counts of replicas that do not take their whole share.
	ReplicasLeaving int `msgpack:"l" json:"replicas_leaving"`
	ReplicasCold    int `msgpack:"d" json:"replicas_cold"`
	ReplicasEjected int `msgpack:"e" json:"replicas_ejected"`
	// Version is the program's.
	Version string `msgpack:"v" json:"version"`
	// DegradedReplicas names the replicas counted above, at most MaxTroubled of them.
	DegradedReplicas []DegradedReplica `msgpack:"x,omitempty" json:"replicas_troubled"`
}

// MaxDegradedReplicas bounds the replicas named in a NodeState.
const MaxDegradedReplicas = 64

// DegradedReason is why a replica does not take its whole share.
type DegradedReason string

// The troubles.
const (
	ReasonLeaving DegradedReason = "leaving"
	ReasonCold    DegradedReason = "cold"
	ReasonEjected DegradedReason = "ejected"
)

// DegradedReplica is a replica that does not take its whole share.
type DegradedReplica struct {
	Address     string         `msgpack:"a" json:"address"`
	Incarnation string         `msgpack:"n" json:"incarnation"`
	Group       string         `msgpack:"g" json:"group"`
	Place       topology.Place `msgpack:"p" json:"place"`
	Reason      DegradedReason `msgpack:"t" json:"trouble"`
}

// StatisticsRequest asks for the statistics of the last while.
type StatisticsRequest struct {
	Window time.Duration `msgpack:"s"`
}

// StatisticsReply carries msgpack whose shape package statistics defines.
type StatisticsReply struct {
	Encoded []byte `msgpack:"e"`
}

// ForwardRequest asks a peer to ask a replica in its reach.
type ForwardRequest struct {
	// Group names the replicas.
	Group string `msgpack:"g"`
	// TimeoutMilliseconds is the time left to the asker.
	TimeoutMilliseconds int64                    `msgpack:"t"`
	Search              backendapi.SearchRequest `msgpack:"s"`
	// Call, where it is set, is a call that may not be repeated, and Search is
	// not looked at.
	Call *backendapi.CallRequest `msgpack:"c,omitempty"`
}

// ForwardReply is the replica's reply, unchanged: one of Refusal, Call and
// Search.
type ForwardReply struct {
	Search backendapi.SearchReply `msgpack:"s"`
	// Refusal is the replica's proof that it did not run the sub-request.
	Refusal *backendapi.Refusal   `msgpack:"r,omitempty"`
	Call    *backendapi.CallReply `msgpack:"c,omitempty"`
	// Address is the replica's.
	Address string `msgpack:"a"`
}

// Problem is a failure.Error on the wire.
type Problem struct {
	Kind       failure.Kind  `msgpack:"k"`
	Detail     string        `msgpack:"d"`
	NotRun     bool          `msgpack:"n"`
	RetryAfter time.Duration `msgpack:"r"`
}

func problemOf(err error) Problem {
	known := failure.From(err)
	return Problem{Kind: known.Kind, Detail: known.Detail, NotRun: known.NotRun, RetryAfter: known.RetryAfter}
}

// failure makes the error again; a kind that this daemon does not know reads
// as Internal.
func (p Problem) failure() *failure.Error {
	kind := p.Kind
	if !slices.Contains(failure.Kinds(), kind) {
		kind = failure.Internal
	}
	return failure.New(kind, p.Detail).WithNotRun(p.NotRun).WithRetryAfter(p.RetryAfter)
}
