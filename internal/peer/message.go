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

// The routes of the protocol between daemons. Each takes a POST request with a
// msgpack body and replies with status 200 and a msgpack body, or with another
// status and a Problem.
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

// ContentType is the media type of request and reply bodies.
const ContentType = "application/msgpack"

// DocumentRequest requests a document.
type DocumentRequest struct {
	Name document.Name `msgpack:"n"`
	// MinimumRevision is the lowest acceptable revision; the reply is not found
	// if the peer only has an older one.
	MinimumRevision uint64 `msgpack:"r"`
	// Confirmed requests the document only if the peer knows that it is current. One that has
	// just been paused itself replies stale_table.
	Confirmed bool `msgpack:"c,omitempty"`
}

// StateRequest requests the NodeState.
type StateRequest struct{}

// NodeState is the state that a daemon reports about itself.
type NodeState struct {
	Member            topology.Member        `msgpack:"m" json:"member"`
	TableRevision     uint64                 `msgpack:"t" json:"table_revision"`
	CatalogueRevision uint64                 `msgpack:"c" json:"catalogue_revision"`
	Store             blackboard.StoreStatus `msgpack:"s" json:"store"`
	Phase             blackboard.Phase       `msgpack:"p" json:"phase"`
	// MembersKnown is the number of live daemons in its member list, itself
	// included.
	MembersKnown int `msgpack:"k" json:"members_known"`
	// The number of replicas that receive less than their full share of
	// traffic, by reason.
	ReplicasLeaving int `msgpack:"l" json:"replicas_leaving"`
	ReplicasCold    int `msgpack:"d" json:"replicas_cold"`
	ReplicasEjected int `msgpack:"e" json:"replicas_ejected"`
	// Version is the version of the program.
	Version string `msgpack:"v" json:"version"`
	// DegradedReplicas lists the replicas counted above, at most
	// MaxDegradedReplicas of them.
	DegradedReplicas []DegradedReplica `msgpack:"x,omitempty" json:"replicas_troubled"`
}

// MaxDegradedReplicas bounds the replicas listed in a NodeState.
const MaxDegradedReplicas = 64

// DegradedReason is why a replica receives less than its full share of traffic.
type DegradedReason string

// The reasons for which a replica is degraded.
const (
	ReasonLeaving DegradedReason = "leaving"
	ReasonCold    DegradedReason = "cold"
	ReasonEjected DegradedReason = "ejected"
)

// DegradedReplica is a replica that receives less than its full share of
// traffic.
type DegradedReplica struct {
	Address     string         `msgpack:"a" json:"address"`
	Incarnation string         `msgpack:"n" json:"incarnation"`
	Group       string         `msgpack:"g" json:"group"`
	Place       topology.Place `msgpack:"p" json:"place"`
	Reason      DegradedReason `msgpack:"t" json:"trouble"`
}

// StatisticsRequest requests the statistics of the most recent window.
type StatisticsRequest struct {
	Window time.Duration `msgpack:"s"`
}

// StatisticsReply carries statistics in the msgpack format that package
// statistics defines.
type StatisticsReply struct {
	Encoded []byte `msgpack:"e"`
}

// ForwardRequest asks a peer to send a sub-request to a replica that it can
// reach.
type ForwardRequest struct {
	// Group is the name of the replica group.
	Group string `msgpack:"g"`
	// TimeoutMilliseconds is how long the sender waits for the reply.
	TimeoutMilliseconds int64                    `msgpack:"t"`
	Search              backendapi.SearchRequest `msgpack:"s"`
	// Call, if set, is a call that must not be retried; Search is then ignored.
	Call *backendapi.CallRequest `msgpack:"c,omitempty"`
}

// ForwardReply is the unmodified reply of the replica: one of Refusal, Call and
// Search.
type ForwardReply struct {
	Search backendapi.SearchReply `msgpack:"s"`
	// Refusal is the replica's statement that it did not run the sub-request.
	Refusal *backendapi.Refusal   `msgpack:"r,omitempty"`
	Call    *backendapi.CallReply `msgpack:"c,omitempty"`
	// Address is the address of the replica.
	Address string `msgpack:"a"`
}

// Problem is the wire format of a failure.Error.
type Problem struct {
	Kind       failure.Kind  `msgpack:"k"`
	Detail     string        `msgpack:"d"`
	NotRun     bool          `msgpack:"n"`
	RetryAfter time.Duration `msgpack:"r"`
}

func newProblem(err error) Problem {
	known := failure.From(err)
	return Problem{Kind: known.Kind, Detail: known.Detail, NotRun: known.NotRun, RetryAfter: known.RetryAfter}
}

// toError returns the error that p describes. A kind that this daemon does not
// know becomes Internal.
func (p Problem) toError() *failure.Error {
	kind := p.Kind
	if !slices.Contains(failure.Kinds(), kind) {
		kind = failure.Internal
	}
	return failure.New(kind, p.Detail).WithNotRun(p.NotRun).WithRetryAfter(p.RetryAfter)
}
