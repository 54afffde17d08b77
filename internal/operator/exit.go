package operator

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
)

// Exit codes of the command line.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailure means a failure without a more specific code.
	ExitFailure = 1
	// ExitUsage means that the command line, a file or a value is invalid.
	ExitUsage = 2
	// ExitConflict means that the request conflicts with another change or call.
	ExitConflict = 3
	// ExitUnavailable means that the request was not executed because a
	// dependency is unavailable. It may succeed later.
	ExitUnavailable = 4
	// ExitUncertain means that a change was accepted but not in force on all
	// daemons in time, or that the outcome of the request is unknown.
	ExitUncertain = 5
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, values ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, values...)}
}

// withExitCode attaches an exit code to an error, unless it has one. A mutating
// request that was sent and got no response may have taken effect.
func withExitCode(err error, mutating bool) error {
	var existing *exitError
	if err == nil || errors.As(err, &existing) {
		return err
	}
	var problem *client.Problem
	if errors.As(err, &problem) {
		return &exitError{code: problemExitCode(problem, mutating), err: err}
	}
	var operation *net.OpError
	dialFailed := errors.As(err, &operation) && operation.Op == "dial"
	if mutating && !dialFailed {
		return &exitError{code: ExitUncertain, err: fmt.Errorf("no response; the request may or may not have taken effect: %w", err)}
	}
	return &exitError{code: ExitUnavailable, err: err}
}

func problemExitCode(problem *client.Problem, mutating bool) int {
	switch failure.Kind(problem.Kind) {
	case failure.InvalidRequest, failure.TooLarge:
		return ExitUsage
	case failure.Conflict, failure.CallInProgress, failure.StoreRegressed:
		return ExitConflict
	case failure.OutcomeUnknown:
		return ExitUncertain
	case failure.NotFound, failure.Unauthorized:
		return ExitFailure
	}
	switch {
	case mutating && !problem.NotRun:
		return ExitUncertain
	case problem.NotRun, problem.RetryAfterMilliseconds > 0:
		return ExitUnavailable
	default:
		return ExitFailure
	}
}

// ExitCode prints an error returned by Run to w and returns its exit code.
// Errors without a code come from parsing the command line, so the code is
// ExitUsage.
func ExitCode(err error, w io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(w, "doorpond:", err)
	var problem *client.Problem
	if errors.As(err, &problem) {
		printAdvice(problem, w)
	}
	var withCode *exitError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	return ExitUsage
}

func printAdvice(problem *client.Problem, w io.Writer) {
	if problem.NotRun {
		fmt.Fprintln(w, "Nothing was run or changed.")
	}
	if problem.RetryAfterMilliseconds > 0 {
		fmt.Fprintln(w, "Try again in", time.Duration(problem.RetryAfterMilliseconds)*time.Millisecond)
	}
}
