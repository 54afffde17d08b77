package replica

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
)

// callWeights allow replicas at any distance, with equal weights.
var callWeights = policy.Replicas{ZoneWeight: 1, RegionWeight: 1, FarWeight: 1}

// maxCallAttempts limits the number of replicas to which one call is offered.
const maxCallAttempts = 4

// Call runs a non-idempotent operation on one replica of a service. It moves on
// to another replica only if the previous one provably did not run the
// operation.
//
// Errors are of type *failure.Error. NotRun is true only for NoReplica,
// BackendRefused and DeadlineExceeded; OutcomeUnknown means that the operation
// may have run.
func (p *Pool) Call(ctx context.Context, service string, request backendapi.CallRequest) (backendapi.CallReply, error) {
	tried := make([]*Handle, 0, maxCallAttempts)
	last := failure.New(failure.NoReplica, "no usable replica of service "+service)
	for len(tried) < maxCallAttempts {
		if deadlinePassed(p, ctx, request) {
			return backendapi.CallReply{}, failure.New(failure.DeadlineExceeded, "deadline passed before the call was sent").WithNotRun(true)
		}
		handle := p.acquire(service, callWeights, tried, decision.ChooseReplica)
		if handle == nil {
			break
		}
		tried = append(tried, handle)
		reply, err := p.callOnce(ctx, handle, request)
		if err == nil {
			return reply, nil
		}
		if !err.NotRun {
			return backendapi.CallReply{}, err
		}
		last = err
	}
	return backendapi.CallReply{}, last
}

// deadlinePassed also compares the wall clock, because a process resuming from
// suspension may not have seen its context expire yet.
func deadlinePassed(p *Pool, ctx context.Context, request backendapi.CallRequest) bool {
	if ctx.Err() != nil {
		return true
	}
	last := request.NotAfterUnixMilliseconds
	return last > 0 && p.options.Now().UnixMilli() > last
}

func (p *Pool) callOnce(ctx context.Context, handle *Handle, request backendapi.CallRequest) (backendapi.CallReply, *failure.Error) {
	defer handle.release()
	reply, err := p.exchangeCall(ctx, handle, request)
	p.recordCall(ctx, handle, err)
	return reply, err
}

func (p *Pool) exchangeCall(ctx context.Context, handle *Handle, request backendapi.CallRequest) (backendapi.CallReply, *failure.Error) {
	if handle.viaPeer {
		return p.forwardCall(ctx, handle, request)
	}
	result := p.post(ctx, handle, handle.urls.call, request)
	defer result.release()
	return p.classifyCall(handle, request, &result)
}

func (p *Pool) classifyCall(handle *Handle, request backendapi.CallRequest, result *exchangeResult) (backendapi.CallReply, *failure.Error) {
	if result.err != nil {
		return backendapi.CallReply{}, callFailure(result)
	}
	if result.status != http.StatusOK {
		return backendapi.CallReply{}, p.callRefusal(handle, result)
	}
	reply := backendapi.CallReply{}
	if err := json.Unmarshal(result.body, &reply); err != nil {
		return backendapi.CallReply{}, failure.Wrap(err, failure.OutcomeUnknown, "decode call reply")
	}
	if reply.Key != request.Key {
		return backendapi.CallReply{}, failure.New(failure.OutcomeUnknown, "reply is for key "+reply.Key)
	}
	p.applyReplyState(handle, reply.Load, reply.Draining, reply.Incarnation)
	return reply, nil
}

func callFailure(result *exchangeResult) *failure.Error {
	if result.notSent {
		return failure.Wrap(result.err, failure.BackendRefused, "call not sent")
	}
	return failure.Wrap(result.err, failure.OutcomeUnknown, "call backend")
}

func (p *Pool) callRefusal(handle *Handle, result *exchangeResult) *failure.Error {
	refused := p.decodeRefusal(handle, result)
	if !refused.NotRun {
		return failure.Wrap(refused.Err, failure.OutcomeUnknown, "call backend")
	}
	err := failure.Wrap(refused.Err, failure.BackendRefused, "call backend")
	if refused.RetryAfter > 0 {
		err = err.WithRetryAfter(refused.RetryAfter)
	}
	if refused.Outcome == decision.Shed {
		handle.observe(p.options.Now(), Observation{Outcome: decision.Shed, RetryAfter: refused.RetryAfter})
	}
	return err
}

func (p *Pool) recordCall(ctx context.Context, handle *Handle, err *failure.Error) {
	switch {
	case err == nil:
		handle.failures.Store(0)
		p.metrics.calls.WithLabelValues("success").Inc()
	case err.NotRun:
		p.metrics.calls.WithLabelValues("not_run").Inc()
	default:
		p.metrics.calls.WithLabelValues("unknown").Inc()
	}
	failed := err != nil && ctx.Err() == nil && err.Kind == failure.OutcomeUnknown
	if failed {
		handle.observe(p.options.Now(), Observation{Outcome: decision.Failed})
	}
}
