package once_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/once"
	"github.com/doorpond/doorpond/internal/store"
)

// pausableMeter is a running elapsed.Meter that is not read during pauses, like that of a
// paused process.
type pausableMeter struct {
	*elapsed.Meter
	stop context.CancelFunc
}

// startMeter starts a meter, which the test must stop within the synctest bubble.
func startMeter() *pausableMeter {
	start := time.Now()
	m := &pausableMeter{Meter: elapsed.New(elapsed.Config{Now: func() time.Duration { return time.Since(start) }})}
	m.run()
	return m
}

func (m *pausableMeter) run() {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go func() { _ = m.Run(ctx) }()
}

// pause lets time pass as in a paused process: timers expire, and nothing is received.
func (m *pausableMeter) pause(duration time.Duration) {
	m.stop()
	time.Sleep(duration)
	m.run()
}

// storeRequest is a kind of request to a store.
type storeRequest int

const (
	requestCommit storeRequest = iota
	requestGrant
	requestGet
)

// slowStore is a fakeStore that does not respond to one kind of request before a time. A request
// whose context ends first was applied all the same.
type slowStore struct {
	*fakeStore
	slow         storeRequest
	respondsFrom atomic.Pointer[time.Time]
}

func newSlowStore(fakeStore *fakeStore, slow storeRequest, silence time.Duration) *slowStore {
	s := &slowStore{fakeStore: fakeStore, slow: slow}
	s.beSilent(silence)
	return s
}

func (s *slowStore) beSilent(duration time.Duration) {
	respondsFrom := time.Now().Add(duration)
	s.respondsFrom.Store(&respondsFrom)
}

func (s *slowStore) CommitAll(ctx context.Context, transactions []store.Transaction) ([]store.Outcome, error) {
	outcomes, err := s.fakeStore.CommitAll(ctx, transactions)
	if !s.respond(ctx, requestCommit) {
		return nil, store.ErrOutcomeUnknown
	}
	return outcomes, err
}

func (s *slowStore) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	lease, err := s.fakeStore.Grant(ctx, ttl)
	if !s.respond(ctx, requestGrant) {
		return 0, store.ErrOutcomeUnknown
	}
	return lease, err
}

func (s *slowStore) Get(ctx context.Context, key string) (store.KeyValue, bool, int64, error) {
	value, found, revision, err := s.fakeStore.Get(ctx, key)
	if !s.respond(ctx, requestGet) {
		return store.KeyValue{}, false, 0, store.ErrUnavailable
	}
	return value, found, revision, err
}

// respond waits until the store responds. It returns false if ctx ends first.
func (s *slowStore) respond(ctx context.Context, request storeRequest) bool {
	if request != s.slow {
		return true
	}
	timer := time.NewTimer(max(time.Until(*s.respondsFrom.Load()), minTimerDuration))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// TestPausesDuringClaim guards against refusing a call whose claim the store confirmed while the
// process was paused, and against dispatching one whose deadline passed in a pause.
func TestPausesDuringClaim(t *testing.T) {
	const storeTimeout, active = 2 * time.Second, 10 * time.Millisecond
	cases := []struct {
		name              string
		slow              storeRequest
		pauses            []time.Duration
		silence, deadline time.Duration
		want              failure.Kind
		wantRuns          int
	}{
		{"longer than the store timeout", requestCommit, []time.Duration{3 * time.Second}, 4 * time.Second, time.Minute, "", 1},
		{"longer than the store timeout, while a lease is granted", requestGrant, []time.Duration{3 * time.Second}, 4 * time.Second, time.Minute, "", 1},
		{"two in a row", requestCommit, []time.Duration{time.Second, 3 * time.Second}, 5 * time.Second, time.Minute, "", 1},
		{"longer than the deadline", requestCommit, []time.Duration{3 * time.Second}, 4 * time.Second, storeTimeout, failure.StoreUnavailable, 0},
		{"no pause, store too slow", requestCommit, nil, 3 * time.Second, time.Minute, failure.StoreUnavailable, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				meter := startMeter()
				defer func() { meter.stop() }() // that of the last run
				memoryStore, backend := newSlowStore(newFakeStore(), test.slow, test.silence), newFakeBackend()
				service, stop := startServiceWithOptions(once.Options{
					Store: memoryStore, Dispatcher: backend, Holder: "a", StoreTimeout: storeTimeout, WithTimeout: meter.WithTimeout,
				})
				defer stop()
				result := make(chan error, 1)
				go func() {
					call := refundCall("k")
					call.DeadlineMilliseconds = test.deadline.Milliseconds()
					_, err := service.Call(context.Background(), call)
					result <- err
				}()
				for _, pause := range test.pauses {
					time.Sleep(active)
					meter.pause(pause)
				}
				checkError(t, <-result, test.want, true)
				time.Sleep(2 * time.Minute) // synctest time
				if got := backend.executionCount("k"); got != test.wantRuns {
					t.Errorf("%d executions, want %d", got, test.wantRuns)
				}
				if _, _, keys := memoryStore.stats(); keys != test.wantRuns {
					t.Errorf("%d keys in the store, want %d", keys, test.wantRuns)
				}
			})
		})
	}
}

// TestPauseBeforeDispatch guards against giving a replica only what a pause left of the deadline,
// and so losing the outcome of a call that ran.
func TestPauseBeforeDispatch(t *testing.T) {
	const (
		deadline = 3 * time.Second
		left     = 20 * time.Millisecond // until the deadline, at dispatch
		runs     = 700 * time.Millisecond
		active   = 10 * time.Millisecond
		// meterLoss is what a timeout can lose with each pause.
		meterLoss = 150 * time.Millisecond
	)
	cases := []struct {
		name           string
		pauseOnArrival time.Duration
		pauses         []time.Duration // while the key is claimed, each after active
		// suspended is paused time on arrival for which package time's clock stands still.
		suspended time.Duration
		runs      time.Duration
		want      failure.Kind
		wantTook  time.Duration
	}{
		{"pause on arrival", deadline - left - active, nil, 0, runs, "", deadline - left + runs},
		{"pause while claiming", 0, []time.Duration{deadline - left - active}, 0, runs, "", deadline - left + runs},
		{"two pauses while claiming", 0, []time.Duration{time.Second, deadline - left - time.Second - 2*active}, 0, runs, "", deadline - left + runs},
		{"both", time.Second, []time.Duration{deadline - left - time.Second - active}, 0, runs, "", deadline - left + runs},
		{"pause, replica too slow", 0, []time.Duration{deadline - left - active}, 0, 2 * deadline, failure.OutcomeUnknown, 2*deadline - left},
		{"suspension, replica too slow", 0, nil, time.Hour, 2 * deadline, failure.OutcomeUnknown, deadline},
		{"no pause, store slow", 0, nil, 0, runs, failure.OutcomeUnknown, deadline},
		{"no pause, store slow, replica fast", 0, nil, 0, left / 2, "", deadline - left/2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				meter := startMeter()
				defer func() { meter.stop() }() // that of the last run
				backend := newFakeBackend()
				backend.duration = test.runs
				arrival, arrived := time.Now(), make(chan struct{})
				var firstReading sync.Once
				var suspended atomic.Int64
				service, stop := startServiceWithOptions(once.Options{
					Store: newSlowStore(newFakeStore(), requestCommit, deadline-left), Dispatcher: backend, Holder: "a",
					StoreTimeout: time.Minute, WithTimeout: meter.WithTimeout,
					PausedTime: func() time.Duration { return meter.PausedTime() + time.Duration(suspended.Load()) },
					Now: func() time.Time {
						now := time.Now()
						firstReading.Do(func() {
							meter.pause(test.pauseOnArrival)
							suspended.Store(int64(test.suspended))
							close(arrived)
						})
						return now
					},
				})
				defer stop()
				result := make(chan error, 1)
				go func() {
					call := refundCall("k")
					call.DeadlineMilliseconds = deadline.Milliseconds()
					_, err := service.Call(context.Background(), call)
					result <- err
				}()
				<-arrived
				for _, pause := range test.pauses {
					time.Sleep(active)
					meter.pause(pause)
				}
				checkError(t, <-result, test.want, false)
				took, loss := time.Since(arrival), time.Duration(0)
				if test.want != "" {
					loss = meterLoss * time.Duration(len(test.pauses))
				}
				if took > test.wantTook || took < test.wantTook-loss {
					t.Errorf("took %v, want %v, at most %v less", took, test.wantTook, loss)
				}
				if got := backend.executionCount("k"); got != 1 {
					t.Errorf("%d executions, want 1", got)
				}
				request := backend.lastRequest
				if want := arrival.Add(deadline).UnixMilli(); request.NotAfterUnixMilliseconds != want || request.TimeoutMilliseconds != left.Milliseconds() {
					t.Errorf("may start until %d and within %d ms, want %d and %v", request.NotAfterUnixMilliseconds, request.TimeoutMilliseconds, want, left)
				}
			})
		})
	}
}

// TestPauseBeforePeerWatermark guards against a first commit without a peer's watermark because
// the process was paused while it waited. It would run calls of a restored store again.
func TestPauseBeforePeerWatermark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memoryStore, backend := newFakeStore(), newFakeBackend()
		announced := make(chan once.Watermark, 10)
		peer, stopPeer := startServiceWithOptions(once.Options{
			Store: memoryStore, Dispatcher: backend, Holder: "peer", Announce: func(watermark once.Watermark) { announced <- watermark },
		})
		defer stopPeer()
		empty := memoryStore.takeSnapshot()
		if _, err := peer.Call(t.Context(), refundCall("k")); err != nil {
			t.Fatal(err)
		}
		watermark := <-announced
		memoryStore.restore(empty)

		meter := startMeter()
		defer func() { meter.stop() }() // that of the last run
		service, stop := startServiceWithOptions(once.Options{
			Store: memoryStore, Dispatcher: backend, Holder: "a", WithTimeout: meter.WithTimeout, HasPeers: func() bool { return true },
		})
		defer stop()
		result := make(chan error, 1)
		go func() {
			_, err := service.Call(t.Context(), refundCall("k"))
			result <- err
		}()
		meter.pause(2 * once.PeerWatermarkTimeout)
		time.Sleep(once.PeerWatermarkTimeout / 10)
		service.MergeWatermark(watermark)
		err := <-result
		if got := backend.executionCount("k"); got != 1 {
			t.Errorf("%d executions, want 1", got)
		}
		checkError(t, err, failure.StoreRegressed, true)
	})
}

// TestPauseDuringRelease guards against keeping the claim of a call that did not run because the
// process was paused, for longer than it retries to release the claim, while it read the claim.
func TestPauseDuringRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const storeTimeout, pause = 2 * time.Second, 2 * time.Minute
		meter := startMeter()
		defer func() { meter.stop() }() // that of the last run
		backend := newFakeBackend()
		memoryStore := newSlowStore(newFakeStore(faultTimeoutApplied), requestGet, storeTimeout+pause+storeTimeout/2)
		service, stop := startServiceWithOptions(once.Options{
			Store: memoryStore, Dispatcher: backend, Holder: "a", StoreTimeout: storeTimeout, WithTimeout: meter.WithTimeout,
		})
		defer stop()
		_, err := service.Call(t.Context(), refundCall("k"))
		checkError(t, err, failure.StoreUnavailable, true)
		time.Sleep(storeTimeout / 10) // the claim is being read
		meter.pause(pause)
		time.Sleep(storeTimeout)
		if _, err := service.Call(t.Context(), refundCall("k")); err != nil {
			t.Error(err)
		}
		if got := backend.executionCount("k"); got != 1 {
			t.Errorf("%d executions, want 1", got)
		}
	})
}

// TestPauseDuringDrain guards against discarding a result that waits for the store when the
// process is paused for longer than its drain timeout of 5 s.
func TestPauseDuringDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const reply, pause = 100 * time.Millisecond, 6 * time.Second
		meter := startMeter()
		defer func() { meter.stop() }() // that of the last run
		backend := newFakeBackend()
		backend.duration = reply
		memoryStore := newSlowStore(newFakeStore(), requestCommit, 0)
		service, stop := startServiceWithOptions(once.Options{
			Store: memoryStore, Dispatcher: backend, Holder: "a", WithTimeout: meter.WithTimeout,
		})
		keys := []string{"first", "second"} // the second result waits until the first is recorded
		for _, key := range keys {
			go func() {
				_, err := service.Call(context.Background(), refundCall(key))
				checkError(t, err, "", false)
			}()
			time.Sleep(reply / 2)
		}
		memoryStore.beSilent(2*reply + pause)
		time.Sleep(reply)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			stop()
		}()
		synctest.Wait()
		meter.pause(pause)
		<-stopped
		restarted, stopRestarted := startService(memoryStore, backend, "b")
		defer stopRestarted()
		for _, key := range keys {
			if result, err := restarted.Call(t.Context(), refundCall(key)); err != nil || !result.Repeated {
				t.Errorf("%s: error %v, repeated %v", key, err, result.Repeated)
			}
		}
	})
}
