package failure

import (
	"net/http"
	"time"
)

// Response describes how errors of a kind are answered.
type Response struct {
	Status int
	Title  string
	// NotRun is the default of Error.NotRun: true for kinds that are returned
	// only before a request is dispatched.
	NotRun bool
	// RetryAfter is the default of Error.RetryAfter.
	RetryAfter time.Duration
}

// statusClientClosedRequest is the non-standard status for requests that the
// client canceled. It is seen only in access metrics.
const statusClientClosedRequest = 499

const (
	shortRetryDelay = 100 * time.Millisecond
	longRetryDelay  = time.Second
)

var responses = map[Kind]Response{
	InvalidRequest:       {http.StatusBadRequest, "The request is not valid", true, 0},
	Unauthorized:         {http.StatusUnauthorized, "The operator's token is missing or wrong", true, 0},
	Unauthenticated:      {http.StatusUnauthorized, "The API key is missing or unknown", true, 0},
	QuotaExceeded:        {http.StatusTooManyRequests, "The tenant is over its rate limit", true, shortRetryDelay},
	NotFound:             {http.StatusNotFound, "There is no such thing", true, 0},
	TooLarge:             {http.StatusRequestEntityTooLarge, "The request is over a size limit", true, 0},
	Conflict:             {http.StatusConflict, "Another change came first", true, 0},
	Overloaded:           {http.StatusTooManyRequests, "The daemon is over its limits", true, shortRetryDelay},
	Draining:             {http.StatusServiceUnavailable, "The daemon is stopping", true, shortRetryDelay},
	DeadlineUnreachable:  {http.StatusServiceUnavailable, "The deadline cannot be met", true, shortRetryDelay},
	DeadlineExceeded:     {http.StatusGatewayTimeout, "The deadline passed", false, 0},
	Canceled:             {statusClientClosedRequest, "The caller gave up", false, 0},
	NoTable:              {http.StatusServiceUnavailable, "No policy table is known yet", true, longRetryDelay},
	StaleTable:           {http.StatusServiceUnavailable, "The policy table is being confirmed after a pause", true, shortRetryDelay},
	NoCatalogue:          {http.StatusServiceUnavailable, "No snapshot of the corpus is known yet", true, longRetryDelay},
	StoreUnavailable:     {http.StatusServiceUnavailable, "The store cannot be reached", true, longRetryDelay},
	StoreRegressed:       {http.StatusConflict, "The store was restored to an older state", true, 0},
	NoReplica:            {http.StatusServiceUnavailable, "No usable replica is known", true, longRetryDelay},
	BackendRefused:       {http.StatusServiceUnavailable, "Every back end asked refused to run the request", true, shortRetryDelay},
	InsufficientCoverage: {http.StatusServiceUnavailable, "Too few shards answered", false, longRetryDelay},
	SnapshotLost:         {http.StatusServiceUnavailable, "The snapshot was retired during the query", false, shortRetryDelay},
	CallInProgress:       {http.StatusConflict, "A call with this key is running", false, longRetryDelay},
	OutcomeUnknown:       {http.StatusBadGateway, "The call may or may not have run", false, 0},
	Quarantined:          {http.StatusServiceUnavailable, "Replicas end by running the request", true, 0},
	Internal:             {http.StatusInternalServerError, "Internal error", false, 0},
}

// Lookup returns the response for a kind, or that of Internal for an unknown
// kind.
func Lookup(kind Kind) Response {
	response, known := responses[kind]
	if !known {
		return responses[Internal]
	}
	return response
}

// Kinds returns all kinds that have a response, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for kind := range responses {
		kinds = append(kinds, kind)
	}
	return kinds
}
