package once

import (
	"fmt"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
)

// lostHolderAfter is how long after a claim's last moment of dispatch its
// holder is taken to have ended without recording an outcome. It only changes
// the answer from "running" to "unknown": the claim is never taken over.
const lostHolderAfter = time.Minute

// heldByOther answers a call whose key another claim holds.
func (m *Machine) heldByOther(now time.Time, record *Record) []Action {
	switch {
	case record.Fingerprint != m.fingerprint:
		detail := fmt.Sprintf("key %q was used for another service, operation or payload", record.Key)
		return m.fail(failure.New(failure.Conflict, detail))
	case record.State == RecordDone && record.ResultBytes > 0:
		detail := fmt.Sprintf("key %q ran already; its result of %d bytes was too large to be kept",
			record.Key, record.ResultBytes)
		return m.fail(failure.New(failure.Conflict, detail).WithNotRun(false))
	case record.State == RecordDone:
		return m.answer(Action{Kind: ActionRespond, Result: record.Result, Repeated: true})
	case now.UnixMilli() > record.NotAfterUnixMilliseconds+lostHolderAfter.Milliseconds():
		detail := fmt.Sprintf("key %q was claimed by %s, which recorded no outcome", record.Key, record.Holder)
		return m.fail(failure.New(failure.OutcomeUnknown, detail))
	default:
		detail := fmt.Sprintf("key %q is claimed by %s", record.Key, record.Holder)
		return m.fail(failure.New(failure.CallInProgress, detail))
	}
}

// notClaimed is the answer where the store did not confirm the claim in time.
func notClaimed(detail string) *failure.Error {
	return failure.New(failure.StoreUnavailable, detail)
}

// notDispatched is the answer to a call given up before its dispatch.
func notDispatched(reason GiveUpReason) *failure.Error {
	switch reason {
	case CallerCanceled:
		return failure.New(failure.Canceled, "the caller left before the call was dispatched").WithNotRun(true)
	case DeadlineExceeded:
		return notClaimed("the deadline passed before the store confirmed the claim")
	default:
		return notClaimed("the store did not confirm the claim in time")
	}
}

// dispatched is the answer to a call given up after its dispatch.
func dispatched(reason GiveUpReason) *failure.Error {
	if reason == CallerCanceled {
		return failure.New(failure.Canceled, "the caller left while the call was running").WithNotRun(false)
	}
	return failure.New(failure.OutcomeUnknown, "the deadline passed while the call was running").WithNotRun(false)
}
