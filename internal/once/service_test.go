package once_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/once"
)

// startService runs a service until stop is called, which must happen within the
// synctest bubble.
func startService(memoryStore once.Store, backend once.Dispatcher, holder string) (service *once.Service, stop func()) {
	return startServiceWithOptions(once.Options{Store: memoryStore, Dispatcher: backend, Holder: holder})
}

func startServiceWithOptions(options once.Options) (service *once.Service, stop func()) {
	service = once.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = service.Run(ctx)
	}()
	return service, func() {
		cancel()
		<-stopped
	}
}

func refundCall(key string) client.Call {
	return client.Call{Group: "clerks", Key: key, Service: "refunds", Operation: "credit", Payload: json.RawMessage(`{"amount": 5}`)}
}

func TestCallUnderFaults(t *testing.T) {
	refused := failure.New(failure.BackendRefused, "shed")
	unknown := failure.New(failure.OutcomeUnknown, "reset")
	cases := []struct {
		name         string
		faults       []fault
		defaultFault fault
		err          error
		rejects      bool
		duration     time.Duration
		wantKind     failure.Kind
		notRun       bool
		wantRuns     int
		// repeatKind is the error kind of a repeated call after two minutes, or
		// empty if it returns a result.
		repeatKind failure.Kind
		repeatRuns int
	}{
		{name: "no fault", wantRuns: 1, repeatRuns: 1},
		{name: "claim not applied", faults: []fault{faultNotApplied}, wantKind: failure.StoreUnavailable, notRun: true, repeatRuns: 1},
		{name: "claim response lost", faults: []fault{faultResponseLost}, wantRuns: 1, repeatRuns: 1},
		{name: "claim request lost", faults: []fault{faultRequestLost}, wantRuns: 1, repeatRuns: 1},
		{name: "claim response lost twice", faults: []fault{faultResponseLost, faultResponseLost}, wantRuns: 1, repeatRuns: 1},
		{name: "store request times out", faults: []fault{faultTimeout}, wantKind: failure.StoreUnavailable, notRun: true, repeatRuns: 1},
		{name: "claim applied after timeout", faults: []fault{faultTimeoutApplied}, wantKind: failure.StoreUnavailable, notRun: true, repeatRuns: 1},
		{name: "store unavailable", defaultFault: faultRequestLost, wantKind: failure.StoreUnavailable, notRun: true,
			repeatKind: failure.StoreUnavailable},
		{name: "record response lost", faults: []fault{faultNone, faultResponseLost}, wantRuns: 1, repeatRuns: 1},
		{name: "record not applied twice", faults: []fault{faultNone, faultNotApplied, faultNotApplied}, wantRuns: 1, repeatRuns: 1},
		{name: "back end refused", err: refused, rejects: true, wantKind: failure.BackendRefused, notRun: true,
			repeatKind: failure.BackendRefused},
		{name: "back end refused, release response lost", faults: []fault{faultNone, faultResponseLost}, err: refused, rejects: true,
			wantKind: failure.BackendRefused, notRun: true, repeatKind: failure.BackendRefused},
		{name: "outcome unknown", err: unknown, wantKind: failure.OutcomeUnknown, wantRuns: 1,
			repeatKind: failure.OutcomeUnknown, repeatRuns: 1},
		{name: "untyped error", err: errors.New("reset"), wantKind: failure.OutcomeUnknown, wantRuns: 1,
			repeatKind: failure.OutcomeUnknown, repeatRuns: 1},
		{name: "deadline while running", duration: time.Hour, wantKind: failure.OutcomeUnknown, wantRuns: 1,
			repeatKind: failure.OutcomeUnknown, repeatRuns: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memoryStore, backend := newFakeStore(c.faults...), newFakeBackend()
				memoryStore.defaultFault = c.defaultFault
				backend.err, backend.rejects, backend.duration = c.err, c.rejects, c.duration
				service, stop := startService(memoryStore, backend, "a")
				defer stop()
				_, err := service.Call(t.Context(), refundCall("k"))
				checkError(t, err, c.wantKind, c.notRun)
				if got := backend.executionCount("k"); got != c.wantRuns {
					t.Errorf("%d executions, want %d", got, c.wantRuns)
				}
				time.Sleep(2 * time.Minute) // synctest time
				restarted, stopRestarted := startService(memoryStore, backend, "b")
				defer stopRestarted()
				_, err = restarted.Call(t.Context(), refundCall("k"))
				checkError(t, err, c.repeatKind, failure.Lookup(c.repeatKind).NotRun)
				if got := backend.executionCount("k"); got != c.repeatRuns {
					t.Errorf("%d executions after the repeated call, want %d", got, c.repeatRuns)
				}
			})
		})
	}
}

func checkError(t *testing.T, err error, want failure.Kind, notRun bool) {
	t.Helper()
	if want == "" {
		if err != nil {
			t.Fatal(err)
		}
		return
	}
	if err == nil || failure.KindOf(err) != want {
		t.Fatalf("error %v, want kind %s", err, want)
	}
	if got := failure.From(err).NotRun; got != notRun {
		t.Errorf("%v: NotRun %v, want %v", err, got, notRun)
	}
}

func TestConcurrentServicesRunKeyOnce(t *testing.T) {
	for seed, faults := range [][]fault{
		{},
		{faultResponseLost, faultNone, faultResponseLost},
		{faultRequestLost, faultResponseLost, faultResponseLost, faultNotApplied},
		{faultTimeout, faultTimeoutApplied, faultResponseLost},
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const keys, repeats = 50, 4
				memoryStore, backend := newFakeStore(faults...), newFakeBackend()
				first, stopFirst := startService(memoryStore, backend, "a")
				defer stopFirst()
				second, stopSecond := startService(memoryStore, backend, "b")
				defer stopSecond()
				var group sync.WaitGroup
				for i := range keys * repeats {
					service := []*once.Service{first, second}[i%2]
					group.Go(func() {
						_, err := service.Call(t.Context(), refundCall(fmt.Sprint(i/repeats)))
						if err == nil {
							return
						}
						kind := failure.KindOf(err)
						if kind != failure.CallInProgress && kind != failure.StoreUnavailable {
							t.Errorf("call %d: %v", i, err)
						}
					})
				}
				group.Wait()
				for i := range keys {
					if got := backend.executionCount(fmt.Sprint(i)); got > 1 {
						t.Errorf("key %d ran %d times, want at most once", i, got)
					}
				}
			})
		})
	}
}

func TestRepeatsAndConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memoryStore, backend := newFakeStore(), newFakeBackend()
		service, stop := startService(memoryStore, backend, "a")
		defer stop()
		if _, err := service.Call(t.Context(), refundCall("k")); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		reformatted := refundCall("k")
		reformatted.Payload = json.RawMessage(`{"amount":5}`)
		repeated, err := service.Call(t.Context(), reformatted)
		if err != nil || !repeated.Repeated || string(repeated.Result) != backend.result {
			t.Errorf("repeated call: %+v, %v", repeated, err)
		}
		other := refundCall("k")
		other.Payload = json.RawMessage(`{"amount":6}`)
		_, err = service.Call(t.Context(), other)
		checkError(t, err, failure.Conflict, true)
		if got := backend.executionCount("k"); got != 1 {
			t.Errorf("%d executions, want 1", got)
		}
	})
}

func TestLargeResultNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := newFakeBackend()
		backend.result = `"` + strings.Repeat("x", 65<<10) + `"`
		service, stop := startService(newFakeStore(), backend, "a")
		defer stop()
		if first, err := service.Call(t.Context(), refundCall("k")); err != nil || string(first.Result) != backend.result {
			t.Fatal(err)
		}
		synctest.Wait()
		_, err := service.Call(t.Context(), refundCall("k"))
		checkError(t, err, failure.Conflict, false)
	})
}

func TestCallInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := newFakeBackend()
		backend.duration = 5 * time.Second
		memoryStore := newFakeStore()
		service, stop := startService(memoryStore, backend, "a")
		defer stop()
		go func() { _, _ = service.Call(t.Context(), refundCall("k")) }()
		synctest.Wait()
		_, err := service.Call(t.Context(), refundCall("k"))
		checkError(t, err, failure.CallInProgress, false)
		if failure.From(err).RetryAfter == 0 {
			t.Error("no RetryAfter")
		}
	})
}

func TestCallerCancels(t *testing.T) {
	cases := []struct {
		name   string
		faults []fault
		notRun bool
		runs   int
		keys   int
	}{
		{"while claiming", []fault{faultTimeoutApplied}, true, 0, 0},
		{"while running", nil, false, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memoryStore, backend := newFakeStore(c.faults...), newFakeBackend()
				backend.duration = time.Second
				service, stop := startService(memoryStore, backend, "a")
				defer stop()
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					synctest.Wait()
					cancel()
				}()
				startedAt := time.Now()
				_, err := service.Call(ctx, refundCall("k"))
				checkError(t, err, failure.Canceled, c.notRun)
				if waited := time.Since(startedAt); waited != 0 {
					t.Errorf("returned after %v, want immediately", waited)
				}
				time.Sleep(2 * time.Minute) // synctest time
				if _, _, keys := memoryStore.stats(); keys != c.keys || backend.executionCount("k") != c.runs {
					t.Errorf("got %d keys in the store and %d executions", keys, backend.executionCount("k"))
				}
			})
		})
	}
}

func TestDispatchCarriesDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := newFakeBackend()
		service, stop := startService(newFakeStore(), backend, "a")
		defer stop()
		call := refundCall("k")
		call.DeadlineMilliseconds = 1500
		if _, err := service.Call(t.Context(), call); err != nil {
			t.Fatal(err)
		}
		if want := time.Now().UnixMilli() + 1500; backend.lastRequest.NotAfterUnixMilliseconds != want || backend.lastRequest.TimeoutMilliseconds != 1500 {
			t.Errorf("got NotAfter %d and timeout %d", backend.lastRequest.NotAfterUnixMilliseconds, backend.lastRequest.TimeoutMilliseconds)
		}
	})
}

func TestClaimsBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 64
		memoryStore, backend := newFakeStore(faultNotApplied), newFakeBackend()
		service := once.New(once.Options{Store: memoryStore, Dispatcher: backend, Holder: "a"})
		var group sync.WaitGroup
		for i := range calls {
			group.Go(func() { _, _ = service.Call(t.Context(), refundCall(fmt.Sprint(i))) })
		}
		synctest.Wait() // all claims are queued, as Run has not started
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan error, 1)
		go func() { stopped <- service.Run(ctx) }()
		group.Wait()
		requests, grants, _ := memoryStore.stats()
		if requests != 1 || grants != 1 {
			t.Errorf("%d commits and %d leases granted, want 1 of each", requests, grants)
		}
		cancel()
		<-stopped
	})
}

func TestStoppedServiceRejectsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, stop := startService(newFakeStore(), newFakeBackend(), "a")
		stop()
		_, err := service.Call(t.Context(), refundCall("k"))
		checkError(t, err, failure.Draining, true)
	})
}

func TestInvalidCalls(t *testing.T) {
	cases := []struct {
		name   string
		change func(*client.Call)
		want   failure.Kind
	}{
		{"no key", func(c *client.Call) { c.Key = "" }, failure.InvalidRequest},
		{"long key", func(c *client.Call) { c.Key = strings.Repeat("k", 513) }, failure.InvalidRequest},
		{"no service", func(c *client.Call) { c.Service = "" }, failure.InvalidRequest},
		{"no operation", func(c *client.Call) { c.Operation = "" }, failure.InvalidRequest},
		{"negative deadline", func(c *client.Call) { c.DeadlineMilliseconds = -1 }, failure.InvalidRequest},
		{"large payload", func(c *client.Call) { c.Payload = make([]byte, 1<<20+1) }, failure.TooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			service := once.New(once.Options{Store: newFakeStore(), Dispatcher: newFakeBackend()})
			call := refundCall("k")
			c.change(&call)
			_, err := service.Call(t.Context(), call)
			checkError(t, err, c.want, true)
		})
	}
}
