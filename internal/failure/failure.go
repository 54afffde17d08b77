// Package failure defines the error kinds that doorpond returns and maps each of
// them to an HTTP problem response. Every error returned to a caller, an operator
// or a peer has one of these kinds.
package failure

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Kind identifies an error kind. Its value is part of the API.
type Kind string

// All error kinds. Each has exactly one entry in responses.
const (
	InvalidRequest Kind = "invalid_request"
	Unauthorized   Kind = "unauthorized"
	// Unauthenticated means that the caller sent no API key, or one that no tenant holds.
	Unauthenticated Kind = "unauthenticated"
	// QuotaExceeded means that the tenant's requests are over its rate limit.
	QuotaExceeded        Kind = "quota_exceeded"
	NotFound             Kind = "not_found"
	TooLarge             Kind = "too_large"
	Conflict             Kind = "conflict"
	Overloaded           Kind = "overloaded"
	Draining             Kind = "draining"
	DeadlineUnreachable  Kind = "deadline_unreachable"
	DeadlineExceeded     Kind = "deadline_exceeded"
	Canceled             Kind = "canceled"
	NoTable              Kind = "no_table"
	StaleTable           Kind = "stale_table"
	NoCatalogue          Kind = "no_catalogue"
	StoreUnavailable     Kind = "store_unavailable"
	StoreRegressed       Kind = "store_regressed"
	NoReplica            Kind = "no_replica"
	BackendRefused       Kind = "backend_refused"
	InsufficientCoverage Kind = "insufficient_coverage"
	SnapshotLost         Kind = "snapshot_lost"
	CallInProgress       Kind = "call_in_progress"
	OutcomeUnknown       Kind = "outcome_unknown"
	// Quarantined means that the request is refused because replicas crashed while
	// running it.
	Quarantined Kind = "quarantined"
	Internal    Kind = "internal"
)

// Error is an error with a kind.
type Error struct {
	Kind   Kind
	Detail string
	// NotRun is true only if no back end ran any part of the request.
	NotRun bool
	// RetryAfter is the recommended delay before a retry; 0 means that a retry is
	// not expected to succeed.
	RetryAfter time.Duration
	cause      error
}

func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Detail
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// New returns an Error with the kind's defaults for NotRun and RetryAfter.
func New(kind Kind, detail string) *Error {
	response := Lookup(kind)
	return &Error{Kind: kind, Detail: detail, NotRun: response.NotRun, RetryAfter: response.RetryAfter}
}

// Wrap returns an Error of the given kind with a cause. The detail names the
// operation that failed.
func Wrap(cause error, kind Kind, detail string) *Error {
	wrapped := New(kind, detail+": "+cause.Error())
	wrapped.cause = eris.Wrap(cause, detail)
	return wrapped
}

// WithNotRun returns a copy with NotRun set.
func (e *Error) WithNotRun(notRun bool) *Error {
	changed := *e
	changed.NotRun = notRun
	return &changed
}

// WithRetryAfter returns a copy with RetryAfter set.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	changed := *e
	changed.RetryAfter = wait
	return &changed
}

// From returns the Error in err's chain, or an Error of kind Internal with NotRun
// false if there is none.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return &Error{Kind: Internal, Detail: err.Error(), cause: err}
}

// KindOf returns the kind of an error, or Internal if it has none.
func KindOf(err error) Kind { return From(err).Kind }
