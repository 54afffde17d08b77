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

// ProbeOutcome is what came of one probe.
type ProbeOutcome int

// The outcomes of a probe. Only ProbeDraining changes what is believed.
const (
	// ProbeServing is a status other than draining; it may lag or lie.
	ProbeServing ProbeOutcome = iota
	// ProbeDraining marked the process that answered as leaving.
	ProbeDraining
	// ProbeOtherProcess is a status of another incarnation, not draining.
	ProbeOtherProcess
	// ProbeFailed brought no status: no connection, no time, another HTTP status.
	ProbeFailed
	// ProbeInvalid brought something that is not a status.
	ProbeInvalid
	// ProbeBusy was not sent, as requests use all connections of the budget;
	// their replies tell of the drain.
	ProbeBusy
)

// probeOutcomeNames are the values of the label "outcome", by ProbeOutcome.
var probeOutcomeNames = [...]string{
	ProbeServing:      "serving",
	ProbeDraining:     "draining",
	ProbeOtherProcess: "other_process",
	ProbeFailed:       "failed",
	ProbeInvalid:      "invalid",
	ProbeBusy:         "busy",
}

// The bounds of a status.
const (
	maxStatusBytes      = 64 << 10
	maxIncarnationBytes = 256 // gossip carries it to all daemons
)

// ProberOptions are what a Prober needs.
type ProberOptions struct {
	Pool *Pool
	// Tracker learns of replicas that are leaving.
	Tracker *Tracker
	// RandomSeed seeds the times of the probes.
	RandomSeed uint64
	// Now defaults to time.Now.
	Now        func() time.Time
	Registerer prometheus.Registerer
}

// Prober asks for the status of the replicas that are this daemon's to probe,
// so that a leaving replica which nobody asks anything is learned of too. It
// uses the pool's connections, within their budget.
type Prober struct {
	options  ProberOptions
	schedule *probeSchedule
	outcomes [len(probeOutcomeNames)]prometheus.Counter
}

// NewProber makes a Prober; Run starts it.
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

// Run probes until ctx ends and then waits for the probes under way.
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

// Due returns the replicas to probe now. It is for one goroutine.
func (p *Prober) Due() []*Handle {
	return p.schedule.due(p.options.Now(), p.options.Pool.current().probed)
}

// Probe asks one replica for its status and counts what came of it.
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
	exchanged := p.options.Pool.getStatus(ctx, handle)
	defer exchanged.release()
	switch {
	case exceedsConnectionBudget(exchanged.err):
		return ProbeBusy
	case exchanged.err != nil, exchanged.status != http.StatusOK:
		return ProbeFailed
	default:
		return p.classifyStatus(handle, exchanged.body)
	}
}

// classifyStatus believes a status only when it says that its process is draining: a
// process does not come back from that, whereas "serving" may be old or false.
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

// statusHeader keeps net/http from sending a User-Agent, to save bytes.
var statusHeader = http.Header{"User-Agent": {""}}

// getStatus asks for a replica's status over the pool's connections to it.
func (p *Pool) getStatus(ctx context.Context, handle *Handle) exchangeResult {
	target := handle.urls.status
	if p.options.Post != nil {
		came := p.options.Post(ctx, target.Host, target.Path, nil)
		return exchangeResult{status: came.Status, body: came.Body, err: came.Err}
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
