package once_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/once"
)

// cluster is several services on one store that exchange their watermarks unless
// noGossip is set.
type cluster struct {
	store    *fakeStore
	backend  *fakeBackend
	services []*once.Service
	noGossip bool
}

// startCluster runs services until the returned function is called, which must
// happen within the synctest bubble.
func startCluster(size int, noGossip bool) (*cluster, func()) {
	cl := &cluster{store: newFakeStore(), backend: newFakeBackend(), noGossip: noGossip}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{}, size)
	for index := range size {
		cl.services = append(cl.services, once.New(once.Options{
			Store: cl.store, Dispatcher: cl.backend, Holder: string(rune('a' + index)),
			Announce: func(watermark once.Watermark) { cl.gossip(index, watermark) },
		}))
	}
	for _, service := range cl.services {
		go func() {
			_ = service.Run(ctx)
			stopped <- struct{}{}
		}()
	}
	return cl, func() {
		cancel()
		for range size {
			<-stopped
		}
	}
}

func (cl *cluster) gossip(from int, watermark once.Watermark) {
	for index, service := range cl.services {
		if index != from && !cl.noGossip {
			service.MergeWatermark(watermark)
		}
	}
}

// call makes a call at one of the services and checks the kind of its error.
func (cl *cluster) call(t *testing.T, index int, key string, want failure.Kind) {
	t.Helper()
	_, err := cl.services[index].Call(t.Context(), refundCall(key))
	checkError(t, err, want, want != "")
}

func TestCallsAfterStoreRestore(t *testing.T) {
	cases := []struct {
		name     string
		noGossip bool
		// faults are those of the first requests after the restore.
		faults []fault
		// detectedBy is the service whose call detects the regression,
		// repeatedAt the one at which the lost call is then repeated.
		detectedBy, repeatedAt int
		want                   failure.Kind
	}{
		{name: "detected by the repeating daemon", detectedBy: 0, repeatedAt: 0, want: failure.StoreRegressed},
		{name: "detected by another daemon", detectedBy: 1, repeatedAt: 0, want: failure.StoreRegressed},
		{name: "detected by a daemon informed by gossip", detectedBy: 2, repeatedAt: 1, want: failure.StoreRegressed},
		{name: "no gossip", noGossip: true, detectedBy: 0, repeatedAt: 2, want: failure.StoreRegressed},
		{name: "first request not applied", faults: []fault{faultNotApplied}, detectedBy: 0, repeatedAt: 0, want: failure.StoreUnavailable},
		{name: "response lost after the restore", faults: []fault{faultResponseLost}, detectedBy: 0, repeatedAt: 2, want: failure.StoreRegressed},
		{name: "request lost after the restore", faults: []fault{faultRequestLost}, detectedBy: 1, repeatedAt: 1, want: failure.StoreRegressed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl, stop := startCluster(3, c.noGossip)
				defer stop()
				cl.call(t, 1, "before", "")
				snap := cl.store.takeSnapshot()
				cl.call(t, 0, "lost", "")
				time.Sleep(2 * once.AnnounceInterval) // synctest time
				cl.store.restore(snap)
				cl.store.setFaults(c.faults...)
				cl.call(t, c.detectedBy, "finds", c.want)
				time.Sleep(time.Second)
				cl.call(t, c.repeatedAt, "lost", failure.StoreRegressed)
				cl.call(t, c.repeatedAt, "other", failure.StoreRegressed)
				time.Sleep(2 * time.Minute)
				opened, err := cl.services[c.detectedBy].Acknowledge(t.Context(), "ama")
				if err != nil || !opened {
					t.Fatal(opened, err)
				}
				time.Sleep(time.Minute)
				for index := range cl.services {
					cl.call(t, index, "after", "")
					time.Sleep(time.Second)
				}
				for key, runs := range map[string]int{"before": 1, "lost": 1, "finds": 0, "other": 0, "after": 1} {
					if got := cl.backend.executionCount(key); got != runs {
						t.Errorf("%s ran %d times, want %d", key, got, runs)
					}
				}
			})
		})
	}
}

// A restore from before an acknowledgment brings back an older fence. It must be
// detected even if the store's revision is higher than before.
func TestRestoreBeforeAcknowledgment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, stop := startCluster(2, true)
		defer stop()
		snap := cl.store.takeSnapshot()
		cl.call(t, 0, "first", "")
		cl.store.restore(snap)
		cl.call(t, 0, "first", failure.StoreRegressed)
		time.Sleep(time.Second) // the fence is closed by then
		snap = cl.store.takeSnapshot()
		if opened, err := cl.services[0].Acknowledge(t.Context(), "ama"); err != nil || !opened {
			t.Fatal(opened, err)
		}
		cl.call(t, 0, "second", "")
		snap.revision += 100
		cl.store.restore(snap)
		cl.call(t, 0, "second", failure.StoreRegressed)
		if got := cl.backend.executionCount("second"); got != 1 {
			t.Errorf("%d executions, want 1", got)
		}
	})
}

func TestAcknowledgeRequiresRegression(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, stop := startCluster(1, false)
		defer stop()
		empty := cl.store.takeSnapshot()
		cl.call(t, 0, "k", "")
		if opened, err := cl.services[0].Acknowledge(t.Context(), "ama"); opened || err != nil {
			t.Error(opened, err)
		}
		cl.store.restore(empty)
		cl.call(t, 0, "k", failure.StoreRegressed)
		if _, err := cl.services[0].Acknowledge(t.Context(), ""); failure.KindOf(err) != failure.InvalidRequest {
			t.Error(err)
		}
		time.Sleep(time.Second) // the fence is closed by then
		cl.store.setFaults(faultResponseLost)
		if _, err := cl.services[0].Acknowledge(t.Context(), "ama"); failure.KindOf(err) != failure.OutcomeUnknown {
			t.Error(err)
		}
		cl.call(t, 0, "other", failure.StoreRegressed)
		if opened, err := cl.services[0].Acknowledge(t.Context(), "ama"); err != nil || !opened {
			t.Fatal(opened, err)
		}
		cl.call(t, 0, "other", "")
	})
}
