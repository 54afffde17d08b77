// Package client is the Go client for the doorpond daemon. Its types also define
// the JSON documents of the daemon's HTTP API, for clients in other languages.
package client

import "encoding/json"

// Order is the sort order of the hits in an answer.
type Order string

const (
	// OrderRank sorts by descending rank.
	OrderRank Order = "rank"
	// OrderTime sorts by ascending time.
	OrderTime Order = "time"
)

// Priority determines which queries are shed first under overload.
type Priority string

// The priorities, from the last to be shed to the first.
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
	// Caller identifies the caller within its group; a split assignment hashes
	// it. It defaults to the name of the group.
	Caller string `json:"caller,omitempty"`
	// Priority overrides the policy's priority; it can only lower it.
	Priority Priority `json:"priority,omitempty"`
	// Corpus names the set of indexes searched together, such as "cards".
	Corpus string `json:"corpus"`
	// Indexes restricts the search to some of the corpus's indexes; empty
	// means all of them.
	Indexes []string `json:"indexes,omitempty"`
	// Phrase is the text to search for, ignoring case and punctuation.
	Phrase string `json:"phrase,omitempty"`
	// Card is a complete card number.
	Card string `json:"card,omitempty"`
	// Order defaults to OrderRank for phrases and OrderTime for cards.
	Order Order `json:"order,omitempty"`
	// Limit is the maximum number of hits; 0 means 100.
	Limit int `json:"limit,omitempty"`
	// DeadlineMilliseconds is the time limit from the arrival of the query at
	// the daemon; 0 means that only the policy's timeout applies.
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
	// LeastCoverage is the share of shards, from 0 to 1, below which the daemon
	// returns an error instead of a partial answer.
	LeastCoverage float64 `json:"least_coverage,omitempty"`
}

// Hit is a record or subtitle cue that matches a query.
type Hit struct {
	// ID is unique within its index.
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

// MissingReason is the reason why a shard is not included in an answer.
type MissingReason string

const (
	// MissingTimeout: queried, but no complete reply arrived before the deadline.
	MissingTimeout MissingReason = "timeout"
	// MissingFailed: queried, but every attempt failed.
	MissingFailed MissingReason = "failed"
	// MissingInvalidReply: queried, but the replies failed validation.
	MissingInvalidReply MissingReason = "invalid_reply"
	// MissingShed: queried, but every replica rejected the query due to load.
	MissingShed MissingReason = "shed"
	// MissingNoReplica: no usable replica was known.
	MissingNoReplica MissingReason = "no_replica"
	// MissingSnapshot: no replica held the pinned snapshot.
	MissingSnapshot MissingReason = "snapshot_not_held"
	// MissingComplete: queried, but the policy accepted the answer as complete
	// enough before the shard replied.
	MissingComplete MissingReason = "complete_enough"
	// NotAskedPolicy: excluded by the policy's shard selection.
	NotAskedPolicy MissingReason = "policy_selection"
	// NotAskedKey: the shard cannot contain the query's key.
	NotAskedKey MissingReason = "key_elsewhere"
)

// ShardReport identifies a shard that is not included in the answer.
type ShardReport struct {
	Index  string        `json:"index"`
	Shard  int           `json:"shard"`
	Reason MissingReason `json:"reason"`
}

// IndexCoverage is the coverage of one index:
// Shards = Asked + len(NotAsked) and Asked = Answered + len(Missing).
type IndexCoverage struct {
	Index string `json:"index"`
	// Shards is the number of shards of the index in the answer's snapshot.
	Shards int `json:"shards"`
	// Asked is the number of shards selected for the query.
	Asked int `json:"asked"`
	// Answered is the number of shards whose complete, valid reply is in
	// the answer.
	Answered int `json:"answered"`
	// Missing lists the selected shards that are not in the answer.
	Missing []ShardReport `json:"missing"`
	// NotAsked lists the shards that were not selected.
	NotAsked []ShardReport `json:"not_asked"`
}

// Coverage describes which part of the corpus was searched.
type Coverage struct {
	Asked    int `json:"asked"`
	Answered int `json:"answered"`
	// Share is Answered/Asked, or 1 if no shard was selected.
	Share   float64         `json:"share"`
	Indexes []IndexCoverage `json:"indexes"`
}

// Answer is the merged answer to one Query.
type Answer struct {
	QueryID string `json:"query_id"`
	Hits    []Hit  `json:"hits"`
	// Truncated is true if more than Limit hits matched.
	Truncated bool `json:"truncated"`
	// Snapshot is the version of the corpus that all hits come from.
	Snapshot uint64   `json:"snapshot"`
	Coverage Coverage `json:"coverage"`
	// Policy and TableRevision identify the row of the policy table that was
	// applied and the revision of the table.
	Policy        string `json:"policy"`
	TableRevision uint64 `json:"table_revision"`
	// Attempts is the number of sub-requests sent, including hedges and retries.
	Attempts int `json:"attempts"`
	// TookMicroseconds is the time from arrival to answer at the daemon.
	TookMicroseconds int64 `json:"took_us"`
}

// Call is an operation that runs at most once, such as a refund credit or a
// render. The daemons store its key for at least a day.
type Call struct {
	Group string `json:"group"`
	// Caller identifies the caller within its group.
	Caller string `json:"caller,omitempty"`
	// Key is the idempotency key: of all calls with the same key, through any
	// daemons, at most one runs.
	Key string `json:"key"`
	// Service is the back-end service that runs the operation.
	Service string `json:"service"`
	// Operation is the name of the operation within the service.
	Operation string `json:"operation"`
	// Payload is passed to the service unchanged.
	Payload json.RawMessage `json:"payload,omitempty"`
	// DeadlineMilliseconds is the time limit from arrival at the daemon; 0 means 10 s.
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
}

// CallResult is the outcome of a Call that ran.
type CallResult struct {
	Key    string          `json:"key"`
	Result json.RawMessage `json:"result"`
	// Repeated is true if the result was stored by an earlier call with the same
	// key.
	Repeated         bool  `json:"repeated"`
	TookMicroseconds int64 `json:"took_us"`
}

// Problem is the RFC 9457 problem document that the daemon returns on errors.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Kind is one of the error kinds listed in docs/OPERATIONS.md.
	Kind string `json:"kind"`
	// NotRun is true only if no back end ran any part of the request.
	NotRun bool `json:"not_run"`
	// RetryAfterMilliseconds is the delay before a retry; 0 means that a retry
	// does not help. The Retry-After header contains it in whole seconds.
	RetryAfterMilliseconds int64 `json:"retry_after_ms,omitempty"`
}

// Error implements the error interface.
func (p *Problem) Error() string {
	return p.Kind + ": " + p.Detail
}
