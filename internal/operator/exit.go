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

// The exit codes of the command line.
const (
	// ExitOK: done.
	ExitOK = 0
	// ExitFailure: refused or failed for a reason that has no code of its own.
	ExitFailure = 1
	// ExitUsage: the command line, a file or a value is not valid.
	ExitUsage = 2
	// ExitConflict: another change or call came first.
	ExitConflict = 3
	// ExitUnavailable: not done, because something needed is not available;
	// trying again later may help.
	ExitUnavailable = 4
	// ExitUncertain: accepted but not in force everywhere in time, or it is not
	// known whether it was done.
	ExitUncertain = 5
)

// codedError is an error with its exit code.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

func usage(format string, values ...any) error {
	return &codedError{code: ExitUsage, err: fmt.Errorf(format, values...)}
}

// coded gives an error its exit code. A request that changes something and
// got no answer may have taken effect.
func coded(err error, changes bool) error {
	var already *codedError
	if err == nil || errors.As(err, &already) {
		return err
	}
	var problem *client.Problem
	if errors.As(err, &problem) {
		return &codedError{code: codeOf(problem, changes), err: err}
	}
	var operation *net.OpError
	unsent := errors.As(err, &operation) && operation.Op == "dial"
	if changes && !unsent {
		return &codedError{code: ExitUncertain, err: fmt.Errorf("no answer, so it may or may not have been done: %w", err)}
	}
	return &codedError{code: ExitUnavailable, err: err}
}

func codeOf(problem *client.Problem, changes bool) int {
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
	case changes && !problem.NotRun:
		return ExitUncertain
	case problem.NotRun, problem.RetryAfterMilliseconds > 0:
		return ExitUnavailable
	default:
		return ExitFailure
	}
}

// ExitCode prints an error that Run returned and gives its exit code. Errors
// of the command line's own parsing count as usage.
func ExitCode(err error, to io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(to, "doorpond:", err)
	var problem *client.Problem
	if errors.As(err, &problem) {
		explain(problem, to)
	}
	var known *codedError
	if errors.As(err, &known) {
		return known.code
	}
	return ExitUsage
}

func explain(problem *client.Problem, to io.Writer) {
	if problem.NotRun {
		fmt.Fprintln(to, "Nothing was run or changed.")
	}
	if problem.RetryAfterMilliseconds > 0 {
		fmt.Fprintln(to, "Try again in", time.Duration(problem.RetryAfterMilliseconds)*time.Millisecond)
	}
}
