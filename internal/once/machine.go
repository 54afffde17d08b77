package once

import (
	"encoding/json"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
)

// State is where a call is.
type State int

// The states of a call.
const (
	// StateQueued: the claim waits to be sent.
	StateQueued State = iota
	// StateClaiming: the claim is sent, its outcome not known.
	StateClaiming
	// StateAbandoned: given up while claiming; the claim may be in the store.
	StateAbandoned
	// StateDispatching: the claim is ours and the call was dispatched.
	StateDispatching
	// StateRecording: the call ran; its result is being written.
	StateRecording
	// StateReleasing: the call certainly did not run; the claim is being
	// removed.
	StateReleasing
	// StateEnded: nothing is left to do.
	StateEnded
)

// EventKind names what happened to a call.
type EventKind int

// The events.
const (
	// EventSending: the claim is about to be sent.
	EventSending EventKind = iota
	// EventClaimed: the claim was created at ModRevision.
	EventClaimed
	// EventHeld: the key exists, with Record at ModRevision.
	EventHeld
	// EventNotApplied: the store certainly did not take the claim; Failure is
	// set.
	EventNotApplied
	// EventOutcomeUnknown: the store may have taken the claim.
	EventOutcomeUnknown
	// EventFenceChanged: the claim was not applied, as the fence was written meanwhile.
	EventFenceChanged
	// EventRegressed: the claim was created at ModRevision, in a store that
	// went back to an older state; Failure is set.
	EventRegressed
	// EventGiveUp: the caller left, or a time limit passed; Reason says which.
	EventGiveUp
	// EventReplied: the back end ran the call; Result is set.
	EventReplied
	// EventRefused: every attempt was provably refused; Failure is set.
	EventRefused
	// EventFailed: the call may or may not have run; Failure is set.
	EventFailed
	// EventSettled: the result was recorded or the claim released, or that
	// was given up.
	EventSettled
)

// GiveUpReason says why a call is given up.
type GiveUpReason int

// The reasons.
const (
	// CallerCanceled: the caller cancelled its request.
	CallerCanceled GiveUpReason = iota
	// DeadlineExceeded: the call's own time is over.
	DeadlineExceeded
	// StoreTimeout: the store took too long; it counts only before dispatch.
	StoreTimeout
)

// Event is one thing that happened to a call.
type Event struct {
	Kind        EventKind
	ModRevision int64
	Record      *Record
	Result      json.RawMessage
	Failure     *failure.Error
	Reason      GiveUpReason
}

// ActionKind names what the shell must do.
type ActionKind int

// The actions.
const (
	// ActionClaim: send the claim, create-if-absent.
	ActionClaim ActionKind = iota
	// ActionRequeue: put the claim into the queue again.
	ActionRequeue
	// ActionDispatch: call the back end.
	ActionDispatch
	// ActionRespond: give the caller Result or Failure.
	ActionRespond
	// ActionRecord: write Result over the claim at ModRevision.
	ActionRecord
	// ActionRelease: delete the claim, guarded by its ID; its revision is
	// ModRevision, or unknown when 0.
	ActionRelease
)

// Action is one thing that the shell must do.
type Action struct {
	Kind        ActionKind
	ModRevision int64
	Result      json.RawMessage
	Repeated    bool
	Failure     *failure.Error
}

// Machine is the state of one call. It has no I/O, clock or goroutine; the
// shell holds a lock around Step, so that giving up and dispatching cannot
// both happen.
type Machine struct {
	claimID     string
	fingerprint string
	deadline    time.Time
	state       State
	answered    bool
	// maybeWritten is true once a claim was sent whose outcome is not known.
	maybeWritten bool
	modRevision  int64
}

// NewMachine returns a queued call. The deadline is compared with the times
// given to Step.
func NewMachine(claimID, fingerprint string, deadline time.Time) *Machine {
	return &Machine{claimID: claimID, fingerprint: fingerprint, deadline: deadline}
}

// State returns where the call is.
func (m *Machine) State() State { return m.state }

// Step takes an event at a time and returns what to do, in order.
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
			return m.leaveQueue(notClaimed("the deadline passed before the key was claimed"))
		}
		m.state = StateClaiming
		return []Action{{Kind: ActionClaim}}
	case EventGiveUp:
		return m.leaveQueue(notDispatched(event.Reason))
	case EventNotApplied:
		return m.leaveQueue(event.Failure)
	default:
		return nil
	}
}

// leaveQueue ends a call whose claim is not under way; an earlier one may be
// in the store.
func (m *Machine) leaveQueue(cause *failure.Error) []Action {
	if m.maybeWritten {
		return m.release(cause)
	}
	m.state = StateEnded
	return m.fail(cause)
}

func (m *Machine) stepClaiming(now time.Time, event Event) []Action {
	switch event.Kind {
	case EventClaimed:
		return m.claimed(now, event.ModRevision)
	case EventHeld:
		if event.Record.ClaimID == m.claimID {
			return m.claimed(now, event.ModRevision)
		}
		m.state = StateEnded
		return m.heldByOther(now, event.Record)
	case EventNotApplied:
		return m.leaveQueue(event.Failure)
	case EventOutcomeUnknown:
		// Sending the claim again reads back and claims in one transaction:
		// if it is there already, the key is held under our own claim ID.
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
		return m.fail(notDispatched(event.Reason))
	default:
		return nil
	}
}

// claimed dispatches unless it is too late.
func (m *Machine) claimed(now time.Time, modRevision int64) []Action {
	m.modRevision = modRevision
	if !now.Before(m.deadline) {
		return m.release(notClaimed("the deadline passed while the key was claimed"))
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
		actions := m.answer(Action{Kind: ActionRespond, Result: event.Result})
		return append(actions, Action{Kind: ActionRecord, Result: event.Result, ModRevision: m.modRevision})
	case EventRefused:
		return m.release(event.Failure.WithNotRun(true))
	case EventFailed:
		m.state = StateEnded // the claim stays, as the call may have run
		return m.fail(event.Failure.WithNotRun(false))
	case EventGiveUp:
		if event.Reason == StoreTimeout {
			return nil
		}
		return m.fail(dispatched(event.Reason))
	default:
		return nil
	}
}

// release removes the claim of a call that was not dispatched, or that every
// back end provably refused.
func (m *Machine) release(cause *failure.Error) []Action {
	m.state = StateReleasing
	var actions []Action
	if cause != nil {
		actions = m.fail(cause)
	}
	return append(actions, Action{Kind: ActionRelease, ModRevision: m.modRevision})
}

func (m *Machine) fail(cause *failure.Error) []Action {
	return m.answer(Action{Kind: ActionRespond, Failure: cause})
}

// answer gives the caller its one answer; a later one is dropped.
func (m *Machine) answer(action Action) []Action {
	if m.answered {
		return nil
	}
	m.answered = true
	return []Action{action}
}
