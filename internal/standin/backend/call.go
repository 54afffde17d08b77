package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
)

// CallOutcome is the result of the stand-in's operations.
type CallOutcome struct {
	Operation string `json:"operation"`
	// Executions is how often this replica has run the key by now.
	Executions int    `json:"executions"`
	Replica    string `json:"replica"`
}

func (r *Replica) serveCall(w http.ResponseWriter, request *http.Request) {
	r.counters.calls.Add(1)
	fault := r.arrive()
	var body backendapi.CallRequest
	if !decode(w, request, &body) {
		return
	}
	if r.tooLate(body) {
		r.refuseDeadline(w)
		return
	}
	timeout := time.Duration(body.TimeoutMilliseconds) * time.Millisecond
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	if !r.admit(ctx, w) {
		return
	}
	defer r.slots.release()
	if r.tooLate(body) {
		r.refuseDeadline(w)
		return
	}
	r.runCall(context.WithoutCancel(ctx), w, body, fault)
}

func (r *Replica) tooLate(body backendapi.CallRequest) bool {
	if body.TimeoutMilliseconds <= 0 {
		return true
	}
	notAfter := body.NotAfterUnixMilliseconds
	return notAfter > 0 && r.options.Now().UnixMilli() > notAfter
}

// runCall runs the operation. From its execution on it is not cancelled.
func (r *Replica) runCall(ctx context.Context, w http.ResponseWriter, body backendapi.CallRequest, fault ReplyFault) {
	executions := r.countExecution(body.Key)
	if err := r.serve(ctx); err != nil {
		panic(http.ErrAbortHandler)
	}
	r.counters.completed.Add(1)
	result, err := json.Marshal(CallOutcome{
		Operation:  body.Operation,
		Executions: executions,
		Replica:    r.options.Incarnation,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reply := backendapi.CallReply{
		Key:         body.Key,
		Result:      result,
		Load:        r.slots.load(),
		Draining:    r.showsDraining(),
		Incarnation: r.options.Incarnation,
	}
	if fault == FaultCrossed {
		reply.Key += "-other"
	}
	writeBody(w, reply, fault)
}
