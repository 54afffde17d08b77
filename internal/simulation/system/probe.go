package system

import (
	"net/http"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/replica"
)

// probe runs the probes that are due, as replica.Prober.Run does.
func (d *daemon) probe() {
	if d.prober == nil {
		return
	}
	for _, handle := range d.prober.Due() {
		d.world.spawn(d.process, nil, func() {
			ctx, cancel := newContext(d.process).withTimeout(replica.ProbeTimeout)
			defer cancel()
			d.prober.Probe(ctx, handle)
		})
	}
	d.process.After(replica.ProbeTick, d.probe)
}

// statusLag is how old the state is that a back end's status shows.
const statusLag = 300 * time.Millisecond

// serveStatus answers a probe. The status lags, and a lying back end now and
// then says that it serves while it leaves.
func (b *backend) serveStatus(answer exchangeReply) {
	state := backendapi.StateServing
	if b.leaving && b.world.engine.Now()-b.leftAt >= statusLag {
		state = backendapi.StateDraining
	}
	if b.lying && b.world.engine.Random().IntN(lyingOdds) == 0 {
		state = backendapi.StateServing
	}
	answer(replica.PostResult{Status: http.StatusOK, Body: encode(backendapi.Status{
		Incarnation: b.incarnationName(), State: state, Load: b.load(),
	})})
}
