// Package failure holds the closed list of error kinds that doorpond answers
// with, and the one table from kind to answer. Every error that reaches a
// caller, an operator or a peer is one of these kinds.
package failure

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is one of the closed list of error kinds.
type Kind string

// The closed list. Each has exactly one row in the table of answers.
const (
	InvalidRequest       Kind = "invalid_request"
	Unauthorized         Kind = "unauthorized"
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
	// Quarantined: replicas end by running the request.
	Quarantined Kind = "quarantined"
	Internal    Kind = "internal"
)

// Error is an error of a known kind.
type Error struct {
	Kind   Kind
	Detail string
	// NotRun is true only when no back end ran any part of the request.
	NotRun bool
	// RetryAfter is when to come back; 0 means that it does not help.
	RetryAfter time.Duration
	cause      error
}

// Error returns the kind and the detail.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Detail
}

// Unwrap returns the cause, if there is one.
func (e *Error) Unwrap() error { return e.cause }

// New makes an Error of a kind, with the table's defaults for NotRun and
// RetryAfter.
func New(kind Kind, detail string) *Error {
	row := Lookup(kind)
	return &Error{Kind: kind, Detail: detail, NotRun: row.NotRun, RetryAfter: row.RetryAfter}
}

// Wrap makes an Error of a kind from a cause. The detail says what was
// attempted.
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

// From finds the Error in a chain, or makes one of kind Internal that does
// not claim that nothing ran.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return &Error{Kind: Internal, Detail: err.Error(), cause: err}
}

// KindOf returns the kind of an error, Internal for one of no known kind.
func KindOf(err error) Kind { return From(err).Kind }
