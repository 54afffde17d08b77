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

// callWeights let a call go anywhere, nearest first.
var callWeights = policy.Replicas{ZoneWeight: 1, RegionWeight: 1, FarWeight: 1}

// maxCallAttempts is the greatest number of replicas that a call is offered to.
const maxCallAttempts = 4

// Call runs an operation that may not be repeated on one replica of a
// service. It goes to another replica only after a proof that it did not run.
// Errors are *failure.Error: NotRun is true for NoReplica, BackendRefused and
// DeadlineExceeded only; OutcomeUnknown means that it may have run.
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

// deadlinePassed looks at the wall clock as well, because a process that was
// frozen may not have seen its context end yet.
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
	exchanged := p.post(ctx, handle, handle.urls.call, request)
	defer exchanged.release()
	return p.classifyCall(handle, request, &exchanged)
}

func (p *Pool) classifyCall(handle *Handle, request backendapi.CallRequest, exchanged *exchangeResult) (backendapi.CallReply, *failure.Error) {
	if exchanged.err != nil {
		return backendapi.CallReply{}, callFailure(exchanged)
	}
	if exchanged.status != http.StatusOK {
		return backendapi.CallReply{}, p.callRefusal(handle, exchanged)
	}
	reply := backendapi.CallReply{}
	if err := json.Unmarshal(exchanged.body, &reply); err != nil {
		return backendapi.CallReply{}, failure.Wrap(err, failure.OutcomeUnknown, "decode the call's reply")
	}
	if reply.Key != request.Key {
		return backendapi.CallReply{}, failure.New(failure.OutcomeUnknown, "reply is for key "+reply.Key)
	}
	p.applyReplyState(handle, reply.Load, reply.Draining, reply.Incarnation)
	return reply, nil
}

func callFailure(exchanged *exchangeResult) *failure.Error {
	if exchanged.notSent {
		return failure.Wrap(exchanged.err, failure.BackendRefused, "no byte of the call was sent")
	}
	return failure.Wrap(exchanged.err, failure.OutcomeUnknown, "call the service")
}

func (p *Pool) callRefusal(handle *Handle, exchanged *exchangeResult) *failure.Error {
	refused := p.decodeRefusal(handle, exchanged)
	if !refused.NotRun {
		return failure.Wrap(refused.Err, failure.OutcomeUnknown, "call the service")
	}
	err := failure.Wrap(refused.Err, failure.BackendRefused, "call the service")
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
	broken := err != nil && ctx.Err() == nil && err.Kind == failure.OutcomeUnknown
	if broken {
		handle.observe(p.options.Now(), Observation{Outcome: decision.Failed})
	}
}
