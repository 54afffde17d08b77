package replica

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/backendapi"
)

// ProbeOutcome is the result of one probe.
type ProbeOutcome int

// The outcomes of a probe. Only ProbeDraining changes the state of a replica.
const (
	// ProbeServing: the status is other than draining. It may be stale or
	// wrong.
	ProbeServing ProbeOutcome = iota
	// ProbeDraining: the process that answered is draining and was marked as
	// leaving.
	ProbeDraining
	// ProbeOtherProcess: another incarnation answered, which is not draining.
	ProbeOtherProcess
	// ProbeFailed: no status was received because of a connection error, a
	// timeout or an unexpected HTTP status.
	ProbeFailed
	// ProbeInvalid: the reply is not a valid status.
	ProbeInvalid
	// ProbeBusy: the probe was not sent because requests use the whole
	// connection budget. Their replies report a drain as well.
	ProbeBusy
)

// probeOutcomeNames holds the values of the "outcome" label.
var probeOutcomeNames = [...]string{
	ProbeServing:      "serving",
	ProbeDraining:     "draining",
	ProbeOtherProcess: "other_process",
	ProbeFailed:       "failed",
	ProbeInvalid:      "invalid",
	ProbeBusy:         "busy",
}

// Limits on a status reply.
const (
	maxStatusBytes      = 64 << 10
	maxIncarnationBytes = 256 // distributed to all daemons by gossip
)

// ProberOptions configures a Prober.
type ProberOptions struct {
	Pool *Pool
	// Tracker is notified of leaving replicas.
	Tracker *Tracker
	// RandomSeed seeds the jitter of the probe schedule.
	RandomSeed uint64
	// Now defaults to time.Now.
	Now        func() time.Time
	Registerer prometheus.Registerer
}

// Prober requests the status of the replicas assigned to this daemon, so that a
// leaving replica is detected even if it gets no requests. It uses the pool's
// connections, within their budget.
type Prober struct {
	options  ProberOptions
	schedule *probeSchedule
	outcomes [len(probeOutcomeNames)]prometheus.Counter
}

// NewProber returns a Prober. Call Run to start it.
func NewProber(options ProberOptions) *Prober {
	if options.Now == nil {
		options.Now = time.Now
	}
	prober := &Prober{options: options, schedule: newProbeSchedule(options.RandomSeed)}
	total := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_probes_total", Help: "Probes of replicas' status, by outcome.",
	}, []string{"outcome"})
	for outcome, name := range probeOutcomeNames {
		prober.outcomes[outcome] = total.WithLabelValues(name)
	}
	register(options.Registerer, total)
	return prober
}

// Run probes until ctx is done and then waits for the probes in progress.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(ProbeTick)
	defer ticker.Stop()
	var probes errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return probes.Wait()
		case <-ticker.C:
		}
		for _, handle := range p.Due() {
			probes.Go(func() error {
				limited, cancel := context.WithTimeout(ctx, ProbeTimeout)
				defer cancel()
				p.Probe(limited, handle)
				return nil
			})
		}
	}
}

// Due returns the replicas to probe now. It is not safe for concurrent use.
func (p *Prober) Due() []*Handle {
	return p.schedule.due(p.options.Now(), p.options.Pool.current().probed)
}

// Probe requests the status of one replica and counts the outcome.
func (p *Prober) Probe(ctx context.Context, handle *Handle) ProbeOutcome {
	outcome := p.probe(ctx, handle)
	p.outcomes[outcome].Inc()
	return outcome
}

func (p *Prober) probe(ctx context.Context, handle *Handle) ProbeOutcome {
	if !handle.connectionAvailable(int(handle.inFlight.Load())) {
		return ProbeBusy
	}
	handle.Begin()
	defer handle.release()
	result := p.options.Pool.getStatus(ctx, handle)
	defer result.release()
	switch {
	case exceedsConnectionBudget(result.err):
		return ProbeBusy
	case result.err != nil, result.status != http.StatusOK:
		return ProbeFailed
	default:
		return p.classifyStatus(handle, result.body)
	}
}

// classifyStatus acts on a status only if the process says that it is draining.
// Draining is final, whereas "serving" may be stale or wrong.
func (p *Prober) classifyStatus(handle *Handle, body []byte) ProbeOutcome {
	var status backendapi.Status
	if json.Unmarshal(body, &status) != nil {
		return ProbeInvalid
	}
	if status.Incarnation == "" || len(status.Incarnation) > maxIncarnationBytes {
		return ProbeInvalid
	}
	switch status.State {
	case backendapi.StateDraining:
		p.options.Tracker.MarkLeaving(handle.replica.Address, status.Incarnation)
		return ProbeDraining
	case backendapi.StateServing, backendapi.StateCold:
		if status.Incarnation != handle.replica.Incarnation {
			return ProbeOtherProcess
		}
		return ProbeServing
	default:
		return ProbeInvalid
	}
}

// statusHeader suppresses the default User-Agent of net/http.
var statusHeader = http.Header{"User-Agent": {""}}

// getStatus requests a replica's status over the pool's connections.
func (p *Pool) getStatus(ctx context.Context, handle *Handle) exchangeResult {
	target := handle.urls.status
	if p.options.Post != nil {
		posted := p.options.Post(ctx, target.Host, target.Path, nil)
		return exchangeResult{status: posted.Status, body: posted.Body, err: posted.Err}
	}
	request := (&http.Request{
		Method: http.MethodGet, URL: target, Host: target.Host, Header: statusHeader,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	response, err := handle.transport.RoundTrip(request)
	if err != nil {
		return exchangeResult{err: err}
	}
	return readBody(response, maxStatusBytes)
}
