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

// SubrequestResult is what came of one sub-request.
type SubrequestResult struct {
	Outcome decision.Outcome
	// NotRun is true only when the replica provably did not run it.
	NotRun     bool
	RetryAfter time.Duration
	// Reply is set on Success and has passed its checks.
	Reply *backendapi.SearchReply
	// UpstreamReply is the whole answer to a message. It is set on Success, and on
	// Failed when the replica itself answered with a failure.
	UpstreamReply *upstream.Reply
	// Blame is, for Ended, the share of it that falls on this sub-request: one, divided by
	// the number of those of this node that the replica was running.
	Blame float64
	Err   error
}

// Search sends one sub-request to an acquired replica, once, and releases it.
func (p *Pool) Search(ctx context.Context, handle *Handle, request *backendapi.SearchRequest) SubrequestResult {
	defer handle.release()
	started := p.options.Now()
	result := p.searchOnce(ctx, handle, request)
	p.recordSearch(ctx, handle, result, started)
	p.metrics.outcomes[result.Outcome].Inc()
	return result
}

func (p *Pool) searchOnce(ctx context.Context, handle *Handle, request *backendapi.SearchRequest) SubrequestResult {
	if handle.viaPeer {
		return p.forwardSearch(ctx, handle, request)
	}
	exchanged := p.post(ctx, handle, handle.urls.search, request)
	defer exchanged.release()
	return p.classifySearch(handle, request, &exchanged)
}

func (p *Pool) classifySearch(handle *Handle, request *backendapi.SearchRequest, exchanged *exchangeResult) SubrequestResult {
	switch {
	case exceedsConnectionBudget(exchanged.err):
		return SubrequestResult{Outcome: decision.Shed, NotRun: true, Err: exchanged.err}
	case exchanged.err != nil:
		return SubrequestResult{Outcome: decision.Failed, NotRun: exchanged.notSent, Err: exchanged.err}
	case exchanged.status == http.StatusOK:
		return p.decodeReply(handle, request, exchanged.body)
	default:
		return p.decodeRefusal(handle, exchanged)
	}
}

func (p *Pool) decodeReply(handle *Handle, request *backendapi.SearchRequest, body []byte) SubrequestResult {
	reply, err := decodeSearchReply(body)
	if err != nil {
		return SubrequestResult{Outcome: decision.Invalid, Err: eris.Wrap(err, "decode the reply")}
	}
	if err := validateReply(request, reply); err != nil {
		return SubrequestResult{Outcome: decision.Invalid, Err: err}
	}
	p.applyReplyState(handle, reply.Load, reply.Draining, reply.Incarnation)
	return SubrequestResult{Outcome: decision.Success, Reply: reply}
}

// decodeSearchReply decodes a whole reply. It is the costliest part of a
// sub-request that is ours, so it uses a faster library than encoding/json;
// FuzzDecodeSearchReply holds it to the same verdicts.
func decodeSearchReply(body []byte) (*backendapi.SearchReply, error) {
	reply := &backendapi.SearchReply{}
	err := gojson.Unmarshal(body, reply)
	return reply, err
}

// applyReplyState takes in what a reply says of its replica.
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

// parseRefusal returns the parseRefusal in an exchange, or nil if it is not one: only a
// decoded body that says so proves that the request did not run.
func parseRefusal(exchanged *exchangeResult) *backendapi.Refusal {
	switch exchanged.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGone:
	default:
		return nil
	}
	refused := &backendapi.Refusal{}
	if err := json.Unmarshal(exchanged.body, refused); err != nil || !refused.NotRun {
		return nil
	}
	return refused
}

func (p *Pool) decodeRefusal(handle *Handle, exchanged *exchangeResult) SubrequestResult {
	refused := parseRefusal(exchanged)
	if refused == nil {
		return SubrequestResult{Outcome: decision.Failed, Err: eris.Errorf("status %d", exchanged.status)}
	}
	draining := refused.Draining || refused.Reason == backendapi.RefusedDraining
	p.applyReplyState(handle, refused.Load, draining, refused.Incarnation)
	return SubrequestResult{
		Outcome:    refusalOutcome(refused.Reason),
		NotRun:     true,
		RetryAfter: time.Duration(refused.RetryAfterMilliseconds) * time.Millisecond,
		Err:        eris.Errorf("refused: %s", refused.Reason),
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
		return decision.DeadlinePassed
	default:
		return decision.Failed
	}
}

// recordSearch updates the health of the replica and of its group by an outcome.
func (p *Pool) recordSearch(ctx context.Context, handle *Handle, result SubrequestResult, started time.Time) {
	now := p.options.Now()
	ended := Observation{Outcome: result.Outcome, Canceled: ctx.Err() != nil, Elapsed: now.Sub(started), RetryAfter: result.RetryAfter}
	handle.observe(now, ended)
}
