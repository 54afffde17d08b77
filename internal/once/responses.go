package once

import (
	"fmt"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
)

// lostHolderTimeout is the time after a claim's deadline at which its holder is
// assumed to have stopped without recording an outcome. It only changes the
// error from CallInProgress to OutcomeUnknown; the claim is never taken over.
const lostHolderTimeout = time.Minute

// respondHeld responds to a call whose key is held by another claim.
func (m *Machine) respondHeld(now time.Time, record *Record) []Action {
	switch {
	case record.Fingerprint != m.fingerprint:
		detail := fmt.Sprintf("key %q was already used for another service, operation or payload", record.Key)
		return m.fail(failure.New(failure.Conflict, detail))
	case record.State == RecordDone && record.ResultBytes > 0:
		detail := fmt.Sprintf("key %q has already run; its result of %d bytes was too large to store",
			record.Key, record.ResultBytes)
		return m.fail(failure.New(failure.Conflict, detail).WithNotRun(false))
	case record.State == RecordDone:
		return m.respond(Action{Kind: ActionRespond, Result: record.Result, Repeated: true})
	case now.UnixMilli() > record.NotAfterUnixMilliseconds+lostHolderTimeout.Milliseconds():
		detail := fmt.Sprintf("key %q was claimed by %s, which recorded no outcome", record.Key, record.Holder)
		return m.fail(failure.New(failure.OutcomeUnknown, detail))
	default:
		detail := fmt.Sprintf("key %q is claimed by %s", record.Key, record.Holder)
		return m.fail(failure.New(failure.CallInProgress, detail))
	}
}

// claimFailure returns the error for a claim that the store did not confirm in
// time.
func claimFailure(detail string) *failure.Error {
	return failure.New(failure.StoreUnavailable, detail)
}

// failureBeforeDispatch returns the error of a call given up before dispatch.
func failureBeforeDispatch(reason GiveUpReason) *failure.Error {
	switch reason {
	case CallerCanceled:
		return failure.New(failure.Canceled, "caller canceled before the call was dispatched").WithNotRun(true)
	case DeadlineExceeded:
		return claimFailure("deadline passed before the store confirmed the claim")
	default:
		return claimFailure("store did not confirm the claim in time")
	}
}

// failureAfterDispatch returns the error of a call given up after dispatch.
func failureAfterDispatch(reason GiveUpReason) *failure.Error {
	if reason == CallerCanceled {
		return failure.New(failure.Canceled, "caller canceled while the call was running").WithNotRun(false)
	}
	return failure.New(failure.OutcomeUnknown, "deadline passed while the call was running").WithNotRun(false)
}
