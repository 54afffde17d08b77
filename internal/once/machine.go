package once

import (
	"encoding/json"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
)

// State is the state of a call.
type State int

// Values of State.
const (
	// StateQueued: the claim is waiting to be sent.
	StateQueued State = iota
	// StateClaiming: the claim was sent; its outcome is not known yet.
	StateClaiming
	// StateAbandoned: the call was given up while claiming; the claim may be in
	// the store.
	StateAbandoned
	// StateDispatching: the key was claimed and the call was dispatched.
	StateDispatching
	// StateRecording: the call ran; its result is being recorded.
	StateRecording
	// StateReleasing: the call certainly did not run; its claim is being
	// deleted.
	StateReleasing
	// StateEnded: the call is complete.
	StateEnded
)

// EventKind is the kind of an Event.
type EventKind int

// Values of EventKind.
const (
	// EventSending: the claim is about to be sent.
	EventSending EventKind = iota
	// EventClaimed: the claim was created at ModRevision.
	EventClaimed
	// EventHeld: the key exists, with Record at ModRevision.
	EventHeld
	// EventNotApplied: the claim was certainly not applied; Failure is set.
	EventNotApplied
	// EventOutcomeUnknown: the claim may have been applied.
	EventOutcomeUnknown
	// EventFenceChanged: the claim was not applied because the fence was written
	// since it was last read.
	EventFenceChanged
	// EventRegressed: the claim was created at ModRevision in a store that was
	// restored to an older state; Failure is set.
	EventRegressed
	// EventGiveUp: the caller canceled or a timeout expired; Reason is set.
	EventGiveUp
	// EventReplied: the back end ran the call; Result is set.
	EventReplied
	// EventRefused: the call certainly did not run; Failure is set.
	EventRefused
	// EventFailed: the call may or may not have run; Failure is set.
	EventFailed
	// EventSettled: the result was recorded or the claim was released, or its
	// retries were exhausted.
	EventSettled
)

// GiveUpReason is the reason why a call is given up.
type GiveUpReason int

// Values of GiveUpReason.
const (
	// CallerCanceled: the caller canceled its request.
	CallerCanceled GiveUpReason = iota
	// DeadlineExceeded: the call's deadline passed.
	DeadlineExceeded
	// StoreTimeout: the store did not respond in time. It is ignored after
	// dispatch.
	StoreTimeout
)

// Event is an input of a Machine.
type Event struct {
	Kind        EventKind
	ModRevision int64
	Record      *Record
	Result      json.RawMessage
	Failure     *failure.Error
	Reason      GiveUpReason
}

// ActionKind is the kind of an Action.
type ActionKind int

// Values of ActionKind.
const (
	// ActionClaim: send the claim, which is created if absent.
	ActionClaim ActionKind = iota
	// ActionRequeue: queue the claim again.
	ActionRequeue
	// ActionDispatch: call the back end.
	ActionDispatch
	// ActionRespond: return Result or Failure to the caller.
	ActionRespond
	// ActionRecord: replace the claim at ModRevision by Result.
	ActionRecord
	// ActionRelease: delete the claim if it still has the call's claim ID. Its
	// revision is ModRevision, or unknown if that is 0.
	ActionRelease
)

// Action is an output of a Machine that its driver must carry out.
type Action struct {
	Kind        ActionKind
	ModRevision int64
	Result      json.RawMessage
	Repeated    bool
	Failure     *failure.Error
}

// Machine is the state machine of one call. It does no I/O and uses no clock or
// goroutine. Its driver must hold a lock around Step, so that a call cannot be
// both given up and dispatched.
type Machine struct {
	claimID     string
	fingerprint string
	deadline    time.Time
	state       State
	responded   bool
	// maybeWritten is set once the outcome of sending the claim is unknown.
	maybeWritten bool
	modRevision  int64
}

// NewMachine returns the Machine of a queued call. The deadline is compared with
// the times passed to Step.
func NewMachine(claimID, fingerprint string, deadline time.Time) *Machine {
	return &Machine{claimID: claimID, fingerprint: fingerprint, deadline: deadline}
}

// State returns the current state of the call.
func (m *Machine) State() State { return m.state }

// Step handles an event at the given time and returns the actions to carry out,
// in order.
func (m *Machine) Step(now time.Time, event Event) []Action {
	switch m.state {
	case StateQueued:
		return m.stepQueued(now, event)
	case StateClaiming:
		return m.stepClaiming(now, event)
	case StateAbandoned:
		return m.stepAbandoned(event)
	case StateDispatching:
		return m.stepDispatching(event)
	case StateRecording, StateReleasing:
		if event.Kind == EventSettled {
			m.state = StateEnded
		}
	}
	return nil
}

func (m *Machine) stepQueued(now time.Time, event Event) []Action {
	switch event.Kind {
	case EventSending:
		if !now.Before(m.deadline) {
			return m.abortUnsent(claimFailure("deadline passed before the key was claimed"))
		}
		m.state = StateClaiming
		return []Action{{Kind: ActionClaim}}
	case EventGiveUp:
		return m.abortUnsent(failureBeforeDispatch(event.Reason))
	case EventNotApplied:
		return m.abortUnsent(event.Failure)
	default:
		return nil
	}
}

// abortUnsent ends a call that has no claim in flight. If an earlier claim may
// be in the store, it is released.
func (m *Machine) abortUnsent(cause *failure.Error) []Action {
	if m.maybeWritten {
		return m.release(cause)
	}
	m.state = StateEnded
	return m.fail(cause)
}

func (m *Machine) stepClaiming(now time.Time, event Event) []Action {
	switch event.Kind {
	case EventClaimed:
		return m.onClaimed(now, event.ModRevision)
	case EventHeld:
		if event.Record.ClaimID == m.claimID {
			return m.onClaimed(now, event.ModRevision)
		}
		m.state = StateEnded
		return m.respondHeld(now, event.Record)
	case EventNotApplied:
		return m.abortUnsent(event.Failure)
	case EventOutcomeUnknown:
		// Sending the claim again either creates it or returns the existing
		// one, which has this claim ID if the first attempt was applied.
		m.maybeWritten = true
		m.state = StateQueued
		return []Action{{Kind: ActionRequeue}}
	case EventFenceChanged:
		m.state = StateQueued
		return []Action{{Kind: ActionRequeue}}
	case EventRegressed:
		m.modRevision = event.ModRevision
		return m.release(event.Failure)
	case EventGiveUp:
		m.state = StateAbandoned
		return m.fail(failureBeforeDispatch(event.Reason))
	default:
		return nil
	}
}

// onClaimed dispatches the call, or releases its claim if the deadline has
// passed.
func (m *Machine) onClaimed(now time.Time, modRevision int64) []Action {
	m.modRevision = modRevision
	if !now.Before(m.deadline) {
		return m.release(claimFailure("deadline passed while the key was being claimed"))
	}
	m.state = StateDispatching
	return []Action{{Kind: ActionDispatch}}
}

func (m *Machine) stepAbandoned(event Event) []Action {
	switch event.Kind {
	case EventClaimed, EventRegressed:
		m.modRevision = event.ModRevision
		return m.release(nil)
	case EventHeld:
		if event.Record.ClaimID == m.claimID {
			m.modRevision = event.ModRevision
			return m.release(nil)
		}
		m.state = StateEnded
	case EventOutcomeUnknown:
		return m.release(nil)
	case EventNotApplied, EventFenceChanged:
		if m.maybeWritten {
			return m.release(nil)
		}
		m.state = StateEnded
	}
	return nil
}

func (m *Machine) stepDispatching(event Event) []Action {
	switch event.Kind {
	case EventReplied:
		m.state = StateRecording
		actions := m.respond(Action{Kind: ActionRespond, Result: event.Result})
		return append(actions, Action{Kind: ActionRecord, Result: event.Result, ModRevision: m.modRevision})
	case EventRefused:
		return m.release(event.Failure.WithNotRun(true))
	case EventFailed:
		m.state = StateEnded // keep the claim, as the call may have run
		return m.fail(event.Failure.WithNotRun(false))
	case EventGiveUp:
		if event.Reason == StoreTimeout {
			return nil
		}
		return m.fail(failureAfterDispatch(event.Reason))
	default:
		return nil
	}
}

// release deletes the claim of a call that certainly did not run, and responds
// with cause unless it is nil.
func (m *Machine) release(cause *failure.Error) []Action {
	m.state = StateReleasing
	var actions []Action
	if cause != nil {
		actions = m.fail(cause)
	}
	return append(actions, Action{Kind: ActionRelease, ModRevision: m.modRevision})
}

func (m *Machine) fail(cause *failure.Error) []Action {
	return m.respond(Action{Kind: ActionRespond, Failure: cause})
}

// respond responds to the caller. Only the first response is sent.
func (m *Machine) respond(action Action) []Action {
	if m.responded {
		return nil
	}
	m.responded = true
	return []Action{action}
}
