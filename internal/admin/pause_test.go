package admin

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/comparison"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/peer"
)

// latePeers reply from a time on.
type latePeers struct {
	fakePeers
	repliesFrom time.Time
}

func (p *latePeers) await(ctx context.Context) error {
	timer := time.NewTimer(time.Until(p.repliesFrom))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}

func (p *latePeers) State(ctx context.Context, address string) (peer.NodeState, error) {
	if err := p.await(ctx); err != nil {
		return peer.NodeState{}, err
	}
	return p.fakePeers.State(ctx, address)
}

func (p *latePeers) Statistics(ctx context.Context, address string, window time.Duration) ([]byte, error) {
	if err := p.await(ctx); err != nil {
		return nil, err
	}
	return p.fakePeers.Statistics(ctx, address, window)
}

// TestPeersReachableAfterPause guards against telling operators that peers are unreachable whose
// replies came while the daemon was paused.
func TestPeersReachableAfterPause(t *testing.T) {
	const pause = 2 * peerTimeout
	for _, path := range []string{"/v1/status", "/v1/compare?a=fast&b=old"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				// A meter that does not run yet is that of a paused process.
				meter := elapsed.New(elapsed.Config{Now: func() time.Duration { return time.Since(start) }})
				peers := &latePeers{fakePeers{activeAfter: map[string]time.Duration{"b": 0, "c": 0}}, start.Add(pause + peerTimeout/2)}
				options := newOptions(&fakeEditor{}, &peers.fakePeers)
				options.Peers, options.WithTimeout = peers, meter.WithTimeout
				options.Statistics = func(time.Duration) ([]byte, error) { return encodeStatistics("a"), nil }
				served := make(chan []byte, 1)
				go func() { served <- serve(New(options), "GET", path, "", "").Body.Bytes() }()
				time.Sleep(pause)
				go func() { _ = meter.Run(t.Context()) }()
				var status Status
				var compared comparison.ClusterReport
				body := <-served
				if err := json.Unmarshal(body, &status); err != nil {
					t.Fatal(err)
				}
				if err := json.Unmarshal(body, &compared); err != nil {
					t.Fatal(err)
				}
				if daemons := len(status.Nodes) + compared.Daemons; daemons != 3 || len(status.Unreachable) != 0 {
					t.Errorf("%d daemons, unreachable %v; want 3 daemons, none unreachable", daemons, status.Unreachable)
				}
			})
		})
	}
}
