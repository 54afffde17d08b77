package replica

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	gojson "github.com/goccy/go-json"
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/upstream"
)

// SubrequestResult is the result of one sub-request.
type SubrequestResult struct {
	Outcome decision.Outcome
	// NotRun is set only if the replica provably did not run the sub-request.
	NotRun     bool
	RetryAfter time.Duration
	// Reply is the validated reply to a search. It is set on Success.
	Reply *backendapi.SearchReply
	// UpstreamReply is the complete reply to a message. It is set on Success,
	// and on Failed if the replica answered with an error status.
	UpstreamReply *upstream.Response
	// Attribution is set for the outcome Crashed. It is 1 divided by the number
	// of this node's requests that the replica was running and that no other
	// replica has answered.
	Attribution float64
	Err         error
}

// Search sends one sub-request to an acquired replica, at most once, and
// releases the handle.
func (p *Pool) Search(ctx context.Context, handle *Handle, request *backendapi.SearchRequest) SubrequestResult {
	defer handle.release()
	start := p.options.Now()
	result := p.searchOnce(ctx, handle, request)
	p.recordSearch(ctx, handle, result, start)
	p.metrics.outcomes[result.Outcome].Inc()
	return result
}

func (p *Pool) searchOnce(ctx context.Context, handle *Handle, request *backendapi.SearchRequest) SubrequestResult {
	if handle.viaPeer {
		return p.forwardSearch(ctx, handle, request)
	}
	result := p.post(ctx, handle, handle.urls.search, request)
	defer result.release()
	return p.classifySearch(handle, request, &result)
}

func (p *Pool) classifySearch(handle *Handle, request *backendapi.SearchRequest, result *exchangeResult) SubrequestResult {
	switch {
	case exceedsConnectionBudget(result.err):
		return SubrequestResult{Outcome: decision.Shed, NotRun: true, Err: result.err}
	case result.err != nil:
		return SubrequestResult{Outcome: decision.Failed, NotRun: result.notSent, Err: result.err}
	case result.status == http.StatusOK:
		return p.decodeReply(handle, request, result.body)
	default:
		return p.decodeRefusal(handle, result)
	}
}

func (p *Pool) decodeReply(handle *Handle, request *backendapi.SearchRequest, body []byte) SubrequestResult {
	reply, err := decodeSearchReply(body)
	if err != nil {
		return SubrequestResult{Outcome: decision.Invalid, Err: eris.Wrap(err, "decode reply")}
	}
	if err := validateReply(request, reply); err != nil {
		return SubrequestResult{Outcome: decision.Invalid, Err: err}
	}
	p.applyReplyState(handle, reply.Load, reply.Draining, reply.Incarnation)
	return SubrequestResult{Outcome: decision.Success, Reply: reply}
}

// decodeSearchReply decodes a complete reply. Decoding is the most expensive
// local part of a sub-request, so it uses a faster library than encoding/json.
// FuzzDecodeSearchReply checks it against encoding/json.
func decodeSearchReply(body []byte) (*backendapi.SearchReply, error) {
	reply := &backendapi.SearchReply{}
	err := gojson.Unmarshal(body, reply)
	return reply, err
}

// applyReplyState records the load and the draining state reported in a reply.
func (p *Pool) applyReplyState(handle *Handle, load backendapi.Load, draining bool, incarnation string) {
	handle.ObserveLoad(load)
	if !draining || p.options.Tracker == nil {
		return
	}
	if incarnation == "" {
		incarnation = handle.replica.Incarnation
	}
	p.options.Tracker.MarkLeaving(handle.replica.Address, incarnation)
}

// parseRefusal returns the refusal in a response, or nil if there is none. Only
// a decoded body with NotRun set proves that the request did not run.
func parseRefusal(result *exchangeResult) *backendapi.Refusal {
	switch result.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGone:
	default:
		return nil
	}
	refusal := &backendapi.Refusal{}
	if err := json.Unmarshal(result.body, refusal); err != nil || !refusal.NotRun {
		return nil
	}
	return refusal
}

func (p *Pool) decodeRefusal(handle *Handle, result *exchangeResult) SubrequestResult {
	refusal := parseRefusal(result)
	if refusal == nil {
		return SubrequestResult{Outcome: decision.Failed, Err: eris.Errorf("unexpected status %d", result.status)}
	}
	draining := refusal.Draining || refusal.Reason == backendapi.RefusedDraining
	p.applyReplyState(handle, refusal.Load, draining, refusal.Incarnation)
	return SubrequestResult{
		Outcome:    refusalOutcome(refusal.Reason),
		NotRun:     true,
		RetryAfter: time.Duration(refusal.RetryAfterMilliseconds) * time.Millisecond,
		Err:        eris.Errorf("refused: %s", refusal.Reason),
	}
}

func refusalOutcome(reason backendapi.RefusalReason) decision.Outcome {
	switch reason {
	case backendapi.RefusedShed:
		return decision.Shed
	case backendapi.RefusedDraining:
		return decision.Draining
	case backendapi.RefusedSnapshotNotHeld:
		return decision.SnapshotNotHeld
	case backendapi.RefusedDeadlinePassed:
		return decision.DeadlineExceeded
	default:
		return decision.Failed
	}
}

// recordSearch updates the health of the replica and of its group.
func (p *Pool) recordSearch(ctx context.Context, handle *Handle, result SubrequestResult, start time.Time) {
	now := p.options.Now()
	observation := Observation{Outcome: result.Outcome, Canceled: ctx.Err() != nil, Elapsed: now.Sub(start), RetryAfter: result.RetryAfter}
	handle.observe(now, observation)
}
