package backend

import (
	"context"
	"errors"
	"net/http"

	"github.com/doorpond/doorpond/internal/backendapi"
)

// arrive counts a request and applies the faults that come before admission.
func (r *Replica) arrive() ReplyFault {
	r.counters.lastArrival.Store(r.options.Now().UnixMilli())
	if r.faults.current().Outage {
		panic(http.ErrAbortHandler)
	}
	fault := r.faults.takeReply()
	if fault == FaultResetBefore {
		panic(http.ErrAbortHandler)
	}
	return fault
}

// admit takes a slot, or refuses and returns false.
func (r *Replica) admit(ctx context.Context, w http.ResponseWriter) bool {
	if r.draining.Load() {
		r.counters.refusedDraining.Add(1)
		r.refuse(w, http.StatusServiceUnavailable, backendapi.RefusedDraining)
		return false
	}
	err := errShed
	if !r.faults.current().Shed {
		err = r.slots.acquire(ctx)
	}
	switch {
	case err == nil:
		return true
	case errors.Is(err, errShed):
		r.counters.shed.Add(1)
		r.refuse(w, http.StatusServiceUnavailable, backendapi.RefusedShed)
	case errors.Is(err, context.DeadlineExceeded):
		r.refuseDeadline(w)
	default:
		r.counters.canceled.Add(1)
	}
	return false
}

func (r *Replica) refuseDeadline(w http.ResponseWriter) {
	r.counters.deadlinePassed.Add(1)
	r.refuse(w, http.StatusServiceUnavailable, backendapi.RefusedDeadlinePassed)
}

// refuse answers that the request was not run.
func (r *Replica) refuse(w http.ResponseWriter, status int, reason backendapi.RefusalReason) {
	refusal := backendapi.Refusal{
		Reason:      reason,
		NotRun:      true,
		Load:        r.slots.load(),
		Draining:    r.draining.Load(),
		Incarnation: r.options.Incarnation,
	}
	if reason == backendapi.RefusedShed {
		refusal.RetryAfterMilliseconds = r.options.ShedRetryAfter.Milliseconds()
	}
	writeJSON(w, status, refusal)
}
