// Package client is what a Go caller imports to send queries and calls to
// the doorpond daemon beside it. Its types are also the JSON documents of the
// daemon's callers' port, so a caller in another language reads them as the
// description of that interface.
package client

import "encoding/json"

// Order says how the hits of an answer are merged.
type Order string

// The orders in which hits can be asked for.
const (
	// OrderRank puts the highest rank first.
	OrderRank Order = "rank"
	// OrderTime puts the earliest time first.
	OrderTime Order = "time"
)

// Priority says which queries give way first under overload.
type Priority string

// The priorities, from the last to give way to the first.
const (
	PriorityCritical Priority = "critical"
	PriorityHigh     Priority = "high"
	PriorityNormal   Priority = "normal"
	PriorityBatch    Priority = "batch"
)

// Query is one search over the shards of a corpus. Exactly one of Phrase and
// Card is set.
type Query struct {
	// Group is the caller group, which the policy table maps to a policy.
	Group string `json:"group"`
	// Caller identifies the caller inside its group; a split assignment
	// hashes it. Empty means the group's name.
	Caller string `json:"caller,omitempty"`
	// Priority overrides the policy's priority downwards only.
	Priority Priority `json:"priority,omitempty"`
	// Corpus names the set of indexes searched together, such as "cards".
	Corpus string `json:"corpus"`
	// Indexes restricts the search to some of the corpus's indexes; empty
	// means all of them.
	Indexes []string `json:"indexes,omitempty"`
	// Phrase is searched for, without regard to case or punctuation.
	Phrase string `json:"phrase,omitempty"`
	// Card is a card number, matched whole.
	Card string `json:"card,omitempty"`
	// Order defaults to OrderRank for phrases and OrderTime for cards.
	Order Order `json:"order,omitempty"`
	// Limit is the greatest number of hits wanted; 0 means 100.
	Limit int `json:"limit,omitempty"`
	// DeadlineMilliseconds is the time allowed from the query's arrival at
	// the daemon; 0 means the policy's timeout alone applies.
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
	// LeastCoverage is the share of shards, from 0 to 1, below which the
	// caller wants an error in place of a partial answer.
	LeastCoverage float64 `json:"least_coverage,omitempty"`
}

// Hit is one record or cue that matched.
type Hit struct {
	// ID is unique inside its index.
	ID string `json:"id"`
	// Index names the index that holds the hit.
	Index string `json:"index"`
	// Document is the subtitle file or the card number.
	Document string `json:"document"`
	// Text is the cue's text or the record's description.
	Text string `json:"text"`
	// TimeMilliseconds is the cue's start from the beginning of its file, or
	// the record's Unix time.
	TimeMilliseconds int64 `json:"time_ms"`
	// Rank is higher for better matches.
	Rank float64 `json:"rank"`
}

// MissingReason says why a shard is not in an answer.
type MissingReason string

// The reasons for which a shard can be missing.
const (
	// MissingTimeout: asked, no whole reply before the answer was due.
	MissingTimeout MissingReason = "timeout"
	// MissingFailed: asked, and every attempt failed.
	MissingFailed MissingReason = "failed"
	// MissingInvalidReply: asked, and the replies failed their checks.
	MissingInvalidReply MissingReason = "invalid_reply"
	// MissingShed: asked, and every replica refused for load.
	MissingShed MissingReason = "shed"
	// MissingNoReplica: no usable replica was known.
	MissingNoReplica MissingReason = "no_replica"
	// MissingSnapshot: no replica held the pinned snapshot.
	MissingSnapshot MissingReason = "snapshot_not_held"
	// MissingComplete: asked, and the policy found the answer complete
	// enough before the shard replied.
	MissingComplete MissingReason = "complete_enough"
	// NotAskedPolicy: the policy's shard selection left the shard out.
	NotAskedPolicy MissingReason = "policy_selection"
	// NotAskedKey: the shard cannot hold the query's key.
	NotAskedKey MissingReason = "key_elsewhere"
)

// ShardReport names one shard that is not in the answer, and why.
type ShardReport struct {
	Index  string        `json:"index"`
	Shard  int           `json:"shard"`
	Reason MissingReason `json:"reason"`
}

// IndexCoverage is the coverage of one index.
// Shards = Asked + len(NotAsked) and Asked = Answered + len(Missing).
type IndexCoverage struct {
	Index string `json:"index"`
	// Shards is the number of shards of the index in the answer's snapshot.
	Shards int `json:"shards"`
	// Asked is the number of shards to which the query was meant to go.
	Asked int `json:"asked"`
	// Answered is the number whose whole, checked reply is in the answer.
	Answered int `json:"answered"`
	// Missing names the shards asked that are not in the answer.
	Missing []ShardReport `json:"missing"`
	// NotAsked names the shards that were left out on purpose.
	NotAsked []ShardReport `json:"not_asked"`
}

// Coverage says what was searched.
type Coverage struct {
	Asked    int `json:"asked"`
	Answered int `json:"answered"`
	// Share is Answered/Asked, or 1 when nothing needed asking.
	Share   float64         `json:"share"`
	Indexes []IndexCoverage `json:"indexes"`
}

// Answer is the merged answer to one Query.
type Answer struct {
	QueryID string `json:"query_id"`
	Hits    []Hit  `json:"hits"`
	// Truncated is true when more hits matched than Limit.
	Truncated bool `json:"truncated"`
	// Snapshot is the one version of the corpus that every hit comes from.
	Snapshot uint64   `json:"snapshot"`
	Coverage Coverage `json:"coverage"`
	// Policy and TableRevision say which row decided, at which revision of
	// the policy table.
	Policy        string `json:"policy"`
	TableRevision uint64 `json:"table_revision"`
	// Attempts is the number of sub-requests sent, hedges and retries
	// included.
	Attempts int `json:"attempts"`
	// TookMicroseconds is the time from arrival to answer at the daemon.
	TookMicroseconds int64 `json:"took_us"`
}

// Call is an operation that may not be repeated, such as a refund credit or
// a render. Its key is remembered for at least a day.
type Call struct {
	Group string `json:"group"`
	// Caller identifies the caller inside its group.
	Caller string `json:"caller,omitempty"`
	// Key names the operation for good: two calls with the same key run at
	// most once between them, through whichever daemons they go.
	Key string `json:"key"`
	// Service is the back-end service that runs the operation.
	Service string `json:"service"`
	// Operation is the service's name for what is to be done.
	Operation string `json:"operation"`
	// Payload is handed to the service as it is.
	Payload json.RawMessage `json:"payload,omitempty"`
	// DeadlineMilliseconds is the time allowed from arrival; 0 means 10 s.
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
}

// CallResult is the outcome of a Call that ran.
type CallResult struct {
	Key    string          `json:"key"`
	Result json.RawMessage `json:"result"`
	// Repeated is true when the result was remembered from an earlier call
	// with the same key.
	Repeated         bool  `json:"repeated"`
	TookMicroseconds int64 `json:"took_us"`
}

// Problem is the RFC 9457 document that the daemon answers with in place of
// an Answer or a CallResult.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Kind is one of the closed list of error kinds (docs/OPERATIONS.md).
	Kind string `json:"kind"`
	// NotRun is true only when no back end ran any of the request.
	NotRun bool `json:"not_run"`
	// RetryAfterMilliseconds is when to come back; 0 means that coming back
	// does not help. The Retry-After header has it in whole seconds.
	RetryAfterMilliseconds int64 `json:"retry_after_ms,omitempty"`
}

// Error makes a Problem an error.
func (p *Problem) Error() string {
	return p.Kind + ": " + p.Detail
}
