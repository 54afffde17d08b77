package once

import (
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/store"
)

// ClaimTransaction creates a claim if its key is absent.
func ClaimTransaction(record Record, lease store.Lease) (store.Transaction, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return store.Transaction{}, eris.Wrap(err, "encode a claim")
	}
	key := StoreKey(record.Key)
	return store.Transaction{
		Compares: []store.Compare{{Key: key, Absent: true}},
		Writes:   []store.Write{{Key: key, Value: value, Lease: lease}},
	}, nil
}

// ResultTransaction writes the record of a finished call over its claim.
func ResultTransaction(finished Record, modRevision int64, lease store.Lease) (store.Transaction, error) {
	value, err := json.Marshal(finished)
	if err != nil {
		return store.Transaction{}, eris.Wrap(err, "encode a result")
	}
	key := StoreKey(finished.Key)
	return store.Transaction{
		Compares: []store.Compare{{Key: key, ModRevision: modRevision}},
		Writes:   []store.Write{{Key: key, Value: value, Lease: lease}},
	}, nil
}

// ReleaseTransaction deletes a claim at its revision.
func ReleaseTransaction(storeKey string, modRevision int64) store.Transaction {
	return store.Transaction{
		Compares: []store.Compare{{Key: storeKey, ModRevision: modRevision}},
		Writes:   []store.Write{{Key: storeKey, Delete: true}},
	}
}

// ClaimEvent turns the outcome of a ClaimTransaction, guarded by a fence whose
// verdict is given, into an event.
func ClaimEvent(outcome store.Outcome, verdict FenceStatus, err error) Event {
	switch {
	case errors.Is(err, store.ErrNotApplied):
		return Event{Kind: EventNotApplied, Failure: storeFailure(err)}
	case err != nil:
		return Event{Kind: EventOutcomeUnknown}
	case verdict == FenceRegressed && outcome.Applied:
		return Event{Kind: EventRegressed, ModRevision: outcome.Revision, Failure: regressedFailure()}
	case verdict == FenceRegressed:
		return Event{Kind: EventNotApplied, Failure: regressedFailure()}
	case verdict == FenceChanged:
		return Event{Kind: EventFenceChanged}
	case outcome.Applied:
		return Event{Kind: EventClaimed, ModRevision: outcome.Revision}
	default:
		return heldEvent(outcome)
	}
}

// heldEvent reads who holds the key; a claim that cannot be read is not ours
// to judge, so it is an unclear outcome.
func heldEvent(outcome store.Outcome) Event {
	for _, current := range outcome.Current {
		if current.Key != FenceKey {
			return heldBy(current)
		}
	}
	return Event{Kind: EventOutcomeUnknown}
}

func heldBy(current store.KeyValue) Event {
	held, err := decodeRecord(current.Value)
	if err != nil {
		return Event{Kind: EventOutcomeUnknown}
	}
	return Event{Kind: EventHeld, Record: held, ModRevision: current.ModRevision}
}

// IsPendingClaim tells whether a stored value is a claim of this ID that has no
// result yet, so that its owner may release it.
func IsPendingClaim(value []byte, claimID string) bool {
	held, err := decodeRecord(value)
	return err == nil && held.ClaimID == claimID && held.State == RecordClaimed
}

// DispatchEvent turns what came of dispatching a key into an event.
func DispatchEvent(key string, reply backendapi.CallReply, err error) Event {
	if err == nil && reply.Key != key {
		err = failure.New(failure.OutcomeUnknown, "the reply is for another key")
	}
	if err == nil {
		return Event{Kind: EventReplied, Result: reply.Result}
	}
	known := failure.From(err)
	if known.NotRun {
		return Event{Kind: EventRefused, Failure: known}
	}
	if known.Kind != failure.OutcomeUnknown {
		known = failure.Wrap(err, failure.OutcomeUnknown, "dispatch the call")
	}
	return Event{Kind: EventFailed, Failure: known}
}
