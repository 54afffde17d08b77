// Package backendapi is the HTTP and JSON interface of a back-end replica, as
// doorpond uses it and as the stand-in back ends serve it.
//
//	POST /search  SearchRequest -> 200 SearchReply, or a Refusal
//	POST /call    CallRequest   -> 200 CallReply, or a Refusal
//	GET  /status  -> 200 Status (may lag or mislead)
//
// A Refusal comes with status 429, 503 or 410 and promises that the request
// did not run. Any other status, and any broken connection after the first
// byte was written, says nothing about whether it ran.
package backendapi

import (
	"encoding/json"

	"github.com/doorpond/doorpond/client"
)

// The paths of the interface.
const (
	SearchPath = "/search"
	CallPath   = "/call"
	StatusPath = "/status"
)

// SearchRequest asks one shard of one index in one snapshot.
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
	// TimeoutMilliseconds is the time left; the back end may stop after it.
	TimeoutMilliseconds int64 `json:"timeout_ms"`
}

// Load is what a reply says of its replica at that moment.
type Load struct {
	Slots    int `json:"slots"`
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// SearchReply echoes what it answers, so that a crossed or late reply can be
// told from the right one.
type SearchReply struct {
	QueryID  string `json:"query_id"`
	Attempt  int    `json:"attempt"`
	Snapshot uint64 `json:"snapshot"`
	Index    string `json:"index"`
	Shard    int    `json:"shard"`
	Shards   int    `json:"shards"`
	// Count is the number of Hits, so that a short reply shows.
	Count int          `json:"count"`
	Hits  []client.Hit `json:"hits"`
	// Total is the number of matches in the shard, Hits or not.
	Total int  `json:"total"`
	Load  Load `json:"load"`
	// Draining is true when the replica is leaving.
	Draining bool `json:"draining,omitempty"`
	// Incarnation names the process that replied.
	Incarnation string `json:"incarnation"`
}

// CallRequest runs an operation that may not be repeated.
type CallRequest struct {
	Key       string          `json:"key"`
	Operation string          `json:"operation"`
	Payload   json.RawMessage `json:"payload,omitempty"`
	// TimeoutMilliseconds is the time left when the request was written.
	TimeoutMilliseconds int64 `json:"timeout_ms"`
	// NotAfterUnixMilliseconds is the moment after which the back end must
	// refuse, so that a request written by a process that was frozen does not
	// run late.
	NotAfterUnixMilliseconds int64 `json:"not_after_unix_ms"`
}

// CallReply is the result of an operation that ran.
type CallReply struct {
	Key         string          `json:"key"`
	Result      json.RawMessage `json:"result"`
	Load        Load            `json:"load"`
	Draining    bool            `json:"draining,omitempty"`
	Incarnation string          `json:"incarnation"`
}

// RefusalReason says why a back end did not run a request.
type RefusalReason string

// The reasons of a Refusal.
const (
	RefusedShed            RefusalReason = "shed"
	RefusedDraining        RefusalReason = "draining"
	RefusedSnapshotNotHeld RefusalReason = "snapshot_not_held"
	RefusedDeadlinePassed  RefusalReason = "deadline_passed"
)

// Refusal is the body of status 429, 503 or 410.
type Refusal struct {
	Reason                 RefusalReason `json:"reason"`
	NotRun                 bool          `json:"not_run"`
	RetryAfterMilliseconds int64         `json:"retry_after_ms,omitempty"`
	Load                   Load          `json:"load"`
	Draining               bool          `json:"draining,omitempty"`
	Incarnation            string        `json:"incarnation"`
}

// State is what a replica says of itself.
type State string

// The states in a Status.
const (
	StateCold     State = "cold"
	StateServing  State = "serving"
	StateDraining State = "draining"
)

// Status is what /status answers.
type Status struct {
	Incarnation string   `json:"incarnation"`
	State       State    `json:"state"`
	Load        Load     `json:"load"`
	Snapshots   []uint64 `json:"snapshots"`
}
