package once_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/once"
)

// fleet is a few services on one store that may hear each other's marks.
type fleet struct {
	store    *fakeStore
	backend  *fakeBackend
	services []*once.Service
	deaf     bool
}

// startFleet runs services until the test's bubble ends it by calling stop.
func startFleet(size int, deaf bool) (*fleet, func()) {
	f := &fleet{store: newFakeStore(), backend: newFakeBackend(), deaf: deaf}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, size)
	for number := range size {
		f.services = append(f.services, once.New(once.Options{
			Store: f.store, Dispatcher: f.backend, Holder: string(rune('a' + number)),
			Announce: func(mark once.Watermark) { f.tell(number, mark) },
		}))
	}
	for _, service := range f.services {
		go func() {
			_ = service.Run(ctx)
			ended <- struct{}{}
		}()
	}
	return f, func() {
		cancel()
		for range size {
			<-ended
		}
	}
}

func (f *fleet) tell(from int, mark once.Watermark) {
	for number, service := range f.services {
		if number != from && !f.deaf {
			service.MergeWatermark(mark)
		}
	}
}

// call runs a call at one of the services, and checks the kind of its error.
func (f *fleet) call(t *testing.T, at int, key string, want failure.Kind) {
	t.Helper()
	_, err := f.services[at].Call(t.Context(), refund(key))
	check(t, err, want, want != "")
}

func TestCallsAcrossARestore(t *testing.T) {
	cases := []struct {
		name string
		deaf bool
		// faults befall the first requests after the restore.
		faults []fault
		// found is the service whose call finds the regression, repeated the
		// one at which the lost call is then made again.
		found, repeated int
		want            failure.Kind
	}{
		{name: "found by the call itself", found: 0, repeated: 0, want: failure.StoreRegressed},
		{name: "found by another daemon", found: 1, repeated: 0, want: failure.StoreRegressed},
		{name: "found by a daemon that knew from peers", found: 2, repeated: 1, want: failure.StoreRegressed},
		{name: "nobody hears of it", deaf: true, found: 0, repeated: 2, want: failure.StoreRegressed},
		{name: "store refuses at first", faults: []fault{faultRefused}, found: 0, repeated: 0, want: failure.StoreUnavailable},
		{name: "answer lost after the restore", faults: []fault{faultLostAnswer}, found: 0, repeated: 2, want: failure.StoreRegressed},
		{name: "request lost after the restore", faults: []fault{faultLostRequest}, found: 1, repeated: 1, want: failure.StoreRegressed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, stop := startFleet(3, c.deaf)
				defer stop()
				f.call(t, 1, "before", "")
				saved := f.store.save()
				f.call(t, 0, "lost", "")
				time.Sleep(2 * once.AnnounceInterval) // virtual
				f.store.restore(saved)
				f.store.fail(c.faults...)
				f.call(t, c.found, "finds", c.want)
				time.Sleep(time.Second)
				f.call(t, c.repeated, "lost", failure.StoreRegressed)
				f.call(t, c.repeated, "other", failure.StoreRegressed)
				time.Sleep(2 * time.Minute)
				opened, err := f.services[c.found].Acknowledge(t.Context(), "ama")
				if err != nil || !opened {
					t.Fatal(opened, err)
				}
				time.Sleep(time.Minute)
				for at := range f.services {
					f.call(t, at, "after", "")
					time.Sleep(time.Second)
				}
				for key, runs := range map[string]int{"before": 1, "lost": 1, "finds": 0, "other": 0, "after": 1} {
					if got := f.backend.count(key); got != runs {
						t.Errorf("%s ran %d times, want %d", key, got, runs)
					}
				}
			})
		})
	}
}

// A backup from before an acknowledgment brings back an older fence, which
// shows even if the store's revision has grown past the old one.
func TestARestoreFromBeforeAnAcknowledgment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := startFleet(2, true)
		defer stop()
		saved := f.store.save()
		f.call(t, 0, "first", "")
		f.store.restore(saved)
		f.call(t, 0, "first", failure.StoreRegressed)
		time.Sleep(time.Second) // virtual; the fence is closed by then
		saved = f.store.save()
		if opened, err := f.services[0].Acknowledge(t.Context(), "ama"); err != nil || !opened {
			t.Fatal(opened, err)
		}
		f.call(t, 0, "second", "")
		saved.revision += 100
		f.store.restore(saved)
		f.call(t, 0, "second", failure.StoreRegressed)
		if got := f.backend.count("second"); got != 1 {
			t.Errorf("%d executions", got)
		}
	})
}

func TestAcknowledgeNeedsARegression(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := startFleet(1, false)
		defer stop()
		empty := f.store.save()
		f.call(t, 0, "k", "")
		if opened, err := f.services[0].Acknowledge(t.Context(), "ama"); opened || err != nil {
			t.Error(opened, err)
		}
		f.store.restore(empty)
		f.call(t, 0, "k", failure.StoreRegressed)
		if _, err := f.services[0].Acknowledge(t.Context(), ""); failure.KindOf(err) != failure.InvalidRequest {
			t.Error(err)
		}
		time.Sleep(time.Second) // virtual; the fence is closed by then
		f.store.fail(faultLostAnswer)
		if _, err := f.services[0].Acknowledge(t.Context(), "ama"); failure.KindOf(err) != failure.OutcomeUnknown {
			t.Error(err)
		}
		f.call(t, 0, "other", failure.StoreRegressed)
		if opened, err := f.services[0].Acknowledge(t.Context(), "ama"); err != nil || !opened {
			t.Fatal(opened, err)
		}
		f.call(t, 0, "other", "")
	})
}
