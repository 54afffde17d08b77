package failure

import (
	"net/http"
	"time"
)

// Response is what the table gives for a kind.
type Response struct {
	Status int
	Title  string
	// NotRun is the default of Error.NotRun: true for kinds that are only
	// ever given before anything was dispatched.
	NotRun bool
	// RetryAfter is the default of Error.RetryAfter.
	RetryAfter time.Duration
}

// statusClientClosedRequest is the customary status for a request that the
// client gave up on; nobody reads it but the access counters.
const statusClientClosedRequest = 499

const (
	shortWait  = 100 * time.Millisecond
	mediumWait = time.Second
)

var table = map[Kind]Response{
	InvalidRequest:       {http.StatusBadRequest, "The request is not valid", true, 0},
	Unauthorized:         {http.StatusUnauthorized, "The operator's token is missing or wrong", true, 0},
	NotFound:             {http.StatusNotFound, "There is no such thing", true, 0},
	TooLarge:             {http.StatusRequestEntityTooLarge, "The request is over a size limit", true, 0},
	Conflict:             {http.StatusConflict, "Another change came first", true, 0},
	Overloaded:           {http.StatusTooManyRequests, "The daemon is over its limits", true, shortWait},
	Draining:             {http.StatusServiceUnavailable, "The daemon is stopping", true, shortWait},
	DeadlineUnreachable:  {http.StatusServiceUnavailable, "The deadline cannot be met", true, shortWait},
	DeadlineExceeded:     {http.StatusGatewayTimeout, "The deadline passed", false, 0},
	Canceled:             {statusClientClosedRequest, "The caller gave up", false, 0},
	NoTable:              {http.StatusServiceUnavailable, "No policy table is known yet", true, mediumWait},
	StaleTable:           {http.StatusServiceUnavailable, "The policy table is being confirmed after a pause", true, shortWait},
	NoCatalogue:          {http.StatusServiceUnavailable, "No snapshot of the corpus is known yet", true, mediumWait},
	StoreUnavailable:     {http.StatusServiceUnavailable, "The store cannot be reached", true, mediumWait},
	StoreRegressed:       {http.StatusConflict, "The store was restored to an older state", true, 0},
	NoReplica:            {http.StatusServiceUnavailable, "No usable replica is known", true, mediumWait},
	BackendRefused:       {http.StatusServiceUnavailable, "Every back end asked refused to run the request", true, shortWait},
	InsufficientCoverage: {http.StatusServiceUnavailable, "Too few shards answered", false, mediumWait},
	SnapshotLost:         {http.StatusServiceUnavailable, "The snapshot was retired during the query", false, shortWait},
	CallInProgress:       {http.StatusConflict, "A call with this key is running", false, mediumWait},
	OutcomeUnknown:       {http.StatusBadGateway, "The call may or may not have run", false, 0},
	Quarantined:          {http.StatusServiceUnavailable, "Replicas end by running the request", true, 0},
	Internal:             {http.StatusInternalServerError, "Internal error", false, 0},
}

// Lookup returns the table's row for a kind; an unknown kind gets the row of
// Internal.
func Lookup(kind Kind) Response {
	row, known := table[kind]
	if !known {
		return table[Internal]
	}
	return row
}

// Kinds returns every kind of the closed list that has a row.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for kind := range table {
		kinds = append(kinds, kind)
	}
	return kinds
}
