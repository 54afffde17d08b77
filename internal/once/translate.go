package once

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/store"
)

// ClaimTransaction returns a transaction that creates a claim if its key is
// absent.
func ClaimTransaction(record Record, lease store.Lease) (store.Transaction, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return store.Transaction{}, eris.Wrap(err, "encode claim")
	}
	key := StoreKey(record.Key)
	return store.Transaction{
		Compares: []store.Compare{{Key: key, Absent: true}},
		Writes:   []store.Write{{Key: key, Value: value, Lease: lease}},
	}, nil
}

// ResultTransaction returns a transaction that replaces a claim by the record of
// the completed call.
func ResultTransaction(completed Record, modRevision int64, lease store.Lease) (store.Transaction, error) {
	value, err := json.Marshal(completed)
	if err != nil {
		return store.Transaction{}, eris.Wrap(err, "encode result")
	}
	key := StoreKey(completed.Key)
	return store.Transaction{
		Compares: []store.Compare{{Key: key, ModRevision: modRevision}},
		Writes:   []store.Write{{Key: key, Value: value, Lease: lease}},
	}, nil
}

// ReleaseTransaction returns a transaction that deletes the claim at
// modRevision.
func ReleaseTransaction(storeKey string, modRevision int64) store.Transaction {
	return store.Transaction{
		Compares: []store.Compare{{Key: storeKey, ModRevision: modRevision}},
		Writes:   []store.Write{{Key: storeKey, Delete: true}},
	}
}

// ClaimEvent converts the outcome of a guarded ClaimTransaction and the status
// of its fence into an event.
func ClaimEvent(outcome store.Outcome, status FenceStatus, err error) Event {
	switch {
	case errors.Is(err, store.ErrNotApplied):
		return Event{Kind: EventNotApplied, Failure: storeFailure(err)}
	case err != nil:
		return Event{Kind: EventOutcomeUnknown}
	case status == FenceRegressed && outcome.Applied:
		return Event{Kind: EventRegressed, ModRevision: outcome.Revision, Failure: storeRegressedFailure()}
	case status == FenceRegressed:
		return Event{Kind: EventNotApplied, Failure: storeRegressedFailure()}
	case status == FenceChanged:
		return Event{Kind: EventFenceChanged}
	case outcome.Applied:
		return Event{Kind: EventClaimed, ModRevision: outcome.Revision}
	default:
		return heldEvent(outcome)
	}
}

// heldEvent returns the event for a key that exists. The outcome is unknown if
// the claim is missing or cannot be decoded.
func heldEvent(outcome store.Outcome) Event {
	for _, current := range outcome.Current {
		if current.Key != FenceKey {
			return heldByEvent(current)
		}
	}
	return Event{Kind: EventOutcomeUnknown}
}

func heldByEvent(current store.KeyValue) Event {
	record, err := decodeRecord(current.Value)
	if err != nil {
		return Event{Kind: EventOutcomeUnknown}
	}
	return Event{Kind: EventHeld, Record: record, ModRevision: current.ModRevision}
}

// IsPendingClaim reports whether a stored value is the claim with the given ID
// and has no result yet, so that its holder may release it.
func IsPendingClaim(value []byte, claimID string) bool {
	record, err := decodeRecord(value)
	return err == nil && record.ClaimID == claimID && record.State == RecordClaimed
}

// DispatchEvent converts the result of dispatching the call with the given key
// into an event.
func DispatchEvent(key string, reply backendapi.CallReply, err error) Event {
	if err == nil && reply.Key != key {
		err = failure.New(failure.OutcomeUnknown, "reply is for another key")
	}
	if err == nil {
		return Event{Kind: EventReplied, Result: reply.Result}
	}
	cause := failure.From(err)
	if cause.NotRun {
		return Event{Kind: EventRefused, Failure: cause}
	}
	if cause.Kind != failure.OutcomeUnknown {
		cause = failure.Wrap(err, failure.OutcomeUnknown, "dispatch call")
	}
	return Event{Kind: EventFailed, Failure: cause}
}
