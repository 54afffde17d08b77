// Package backendapi defines the HTTP and JSON protocol between doorpond and
// the back-end replicas.
//
//	POST /search  SearchRequest -> 200 SearchReply, or a Refusal
//	POST /call    CallRequest   -> 200 CallReply, or a Refusal
//	GET  /status  -> 200 Status (may be stale or wrong)
//
// A Refusal is sent with status 429, 503 or 410 and guarantees that the request
// was not executed. After any other error status, or a connection that breaks
// once the first byte of the request has been written, it is unknown whether
// the request was executed.
//
// Each response to a POST repeats the header AttemptHeader of its request, so
// that a surplus response is not taken for the response to another request. One
// without the header, of an older back end, is taken for the response that is due.
package backendapi

import (
	"encoding/json"
	"time"

	"github.com/doorpond/doorpond/client"
)

// AttemptHeader is the header that identifies one sending of a request.
const AttemptHeader = "Attempt-Id"

// Endpoint paths.
const (
	SearchPath = "/search"
	CallPath   = "/call"
	StatusPath = "/status"
)

// SearchRequest queries one shard of one index in one snapshot.
type SearchRequest struct {
	QueryID  string       `json:"query_id"`
	Attempt  int          `json:"attempt"`
	Snapshot uint64       `json:"snapshot"`
	Index    string       `json:"index"`
	Shard    int          `json:"shard"`
	Shards   int          `json:"shards"`
	Phrase   string       `json:"phrase,omitempty"`
	Card     string       `json:"card,omitempty"`
	Order    client.Order `json:"order"`
	Limit    int          `json:"limit"`
	// TimeoutMilliseconds is the remaining time budget; the back end may
	// abandon the search once it is spent.
	TimeoutMilliseconds int64 `json:"timeout_ms"`
}

// Load is the load of a replica at the time of its reply.
type Load struct {
	Slots    int `json:"slots"`
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// SearchReply is the result of a SearchRequest. It echoes the request's
// identifying fields, so that the caller can reject a mismatched or late reply.
type SearchReply struct {
	QueryID  string `json:"query_id"`
	Attempt  int    `json:"attempt"`
	Snapshot uint64 `json:"snapshot"`
	Index    string `json:"index"`
	Shard    int    `json:"shard"`
	Shards   int    `json:"shards"`
	// Count is the length of Hits, for detecting a truncated list.
	Count int          `json:"count"`
	Hits  []client.Hit `json:"hits"`
	// Total is the number of matches in the shard, including those beyond the
	// limit.
	Total int  `json:"total"`
	Load  Load `json:"load"`
	// Draining is true when the replica is shutting down.
	Draining bool `json:"draining,omitempty"`
	// Incarnation identifies the process that replied; it changes on restart.
	Incarnation string `json:"incarnation"`
}

// CallRequest requests a non-idempotent operation.
type CallRequest struct {
	Key       string          `json:"key"`
	Operation string          `json:"operation"`
	Payload   json.RawMessage `json:"payload,omitempty"`
	// TimeoutMilliseconds is the remaining time budget when the request is
	// sent.
	TimeoutMilliseconds int64 `json:"timeout_ms"`
	// NotAfterUnixMilliseconds is the deadline after which the back end must
	// refuse the request, so that a request from a sender that was suspended
	// is not executed late.
	NotAfterUnixMilliseconds int64 `json:"not_after_unix_ms"`
	// ResponseTimeout is how long the sender waits for the reply. It is not sent
	// to back ends. It exceeds TimeoutMilliseconds if the sender was paused.
	ResponseTimeout time.Duration `json:"-"`
}

// CallReply is the result of an executed operation.
type CallReply struct {
	Key         string          `json:"key"`
	Result      json.RawMessage `json:"result"`
	Load        Load            `json:"load"`
	Draining    bool            `json:"draining,omitempty"`
	Incarnation string          `json:"incarnation"`
}

// RefusalReason is the reason why a back end did not execute a request.
type RefusalReason string

// Refusal reasons.
const (
	RefusedShed            RefusalReason = "shed"
	RefusedDraining        RefusalReason = "draining"
	RefusedSnapshotNotHeld RefusalReason = "snapshot_not_held"
	RefusedDeadlinePassed  RefusalReason = "deadline_passed"
)

// Refusal is the response body for status 429, 503 and 410.
type Refusal struct {
	Reason                 RefusalReason `json:"reason"`
	NotRun                 bool          `json:"not_run"`
	RetryAfterMilliseconds int64         `json:"retry_after_ms,omitempty"`
	Load                   Load          `json:"load"`
	Draining               bool          `json:"draining,omitempty"`
	Incarnation            string        `json:"incarnation"`
}

// State is the lifecycle state that a replica reports.
type State string

// Replica states.
const (
	StateCold     State = "cold"
	StateServing  State = "serving"
	StateDraining State = "draining"
)

// Status is the response body of GET /status.
type Status struct {
	Incarnation string   `json:"incarnation"`
	State       State    `json:"state"`
	Load        Load     `json:"load"`
	Snapshots   []uint64 `json:"snapshots"`
}
