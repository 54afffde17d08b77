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

// start runs a service until the test's bubble ends it by calling stop.
func start(held once.Store, backend once.Dispatcher, holder string) (service *once.Service, stop func()) {
	service = once.New(once.Options{Store: held, Dispatcher: backend, Holder: holder})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = service.Run(ctx)
	}()
	return service, func() {
		cancel()
		<-ended
	}
}

func refund(key string) client.Call {
	return client.Call{Group: "clerks", Key: key, Service: "refunds", Operation: "credit", Payload: json.RawMessage(`{"amount": 5}`)}
}

func TestCallUnderFaults(t *testing.T) {
	refusal := failure.New(failure.BackendRefused, "shed")
	unknown := failure.New(failure.OutcomeUnknown, "reset")
	cases := []struct {
		name     string
		faults   []fault
		always   fault
		err      error
		refuses  bool
		takes    time.Duration
		wantKind failure.Kind
		notRun   bool
		wantRuns int
		// repeatKind is the kind of a repeat after two minutes, empty where
		// the repeat has a result.
		repeatKind failure.Kind
		repeatRuns int
	}{
		{name: "no fault", wantRuns: 1, repeatRuns: 1},
		{name: "claim refused", faults: []fault{faultRefused}, wantKind: failure.StoreUnavailable, notRun: true, repeatRuns: 1},
		{name: "claim's answer lost", faults: []fault{faultLostAnswer}, wantRuns: 1, repeatRuns: 1},
		{name: "claim's request lost", faults: []fault{faultLostRequest}, wantRuns: 1, repeatRuns: 1},
		{name: "claim's answers lost twice", faults: []fault{faultLostAnswer, faultLostAnswer}, wantRuns: 1, repeatRuns: 1},
		{name: "store hangs", faults: []fault{faultHang}, wantKind: failure.StoreUnavailable, notRun: true, repeatRuns: 1},
		{name: "claim applied late", faults: []fault{faultLate}, wantKind: failure.StoreUnavailable, notRun: true, repeatRuns: 1},
		{name: "store out", always: faultLostRequest, wantKind: failure.StoreUnavailable, notRun: true,
			repeatKind: failure.StoreUnavailable},
		{name: "record's answer lost", faults: []fault{faultNone, faultLostAnswer}, wantRuns: 1, repeatRuns: 1},
		{name: "record refused for a while", faults: []fault{faultNone, faultRefused, faultRefused}, wantRuns: 1, repeatRuns: 1},
		{name: "back end refused", err: refusal, refuses: true, wantKind: failure.BackendRefused, notRun: true,
			repeatKind: failure.BackendRefused},
		{name: "back end refused, release's answer lost", faults: []fault{faultNone, faultLostAnswer}, err: refusal, refuses: true,
			wantKind: failure.BackendRefused, notRun: true, repeatKind: failure.BackendRefused},
		{name: "outcome unknown", err: unknown, wantKind: failure.OutcomeUnknown, wantRuns: 1,
			repeatKind: failure.OutcomeUnknown, repeatRuns: 1},
		{name: "untyped error", err: errors.New("reset"), wantKind: failure.OutcomeUnknown, wantRuns: 1,
			repeatKind: failure.OutcomeUnknown, repeatRuns: 1},
		{name: "deadline while running", takes: time.Hour, wantKind: failure.OutcomeUnknown, wantRuns: 1,
			repeatKind: failure.OutcomeUnknown, repeatRuns: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				held, backend := newFakeStore(c.faults...), newFakeBackend()
				held.always = c.always
				backend.err, backend.refuses, backend.takes = c.err, c.refuses, c.takes
				service, stop := start(held, backend, "a")
				defer stop()
				_, err := service.Call(t.Context(), refund("k"))
				check(t, err, c.wantKind, c.notRun)
				if got := backend.count("k"); got != c.wantRuns {
					t.Errorf("%d executions, want %d", got, c.wantRuns)
				}
				time.Sleep(2 * time.Minute) // virtual
				again, stopAgain := start(held, backend, "b")
				defer stopAgain()
				_, err = again.Call(t.Context(), refund("k"))
				check(t, err, c.repeatKind, failure.Lookup(c.repeatKind).NotRun)
				if got := backend.count("k"); got != c.repeatRuns {
					t.Errorf("%d executions after the repeat, want %d", got, c.repeatRuns)
				}
			})
		})
	}
}

func check(t *testing.T, err error, want failure.Kind, notRun bool) {
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
		t.Errorf("%v: not run %v, want %v", err, got, notRun)
	}
}

func TestRacingServicesRunAKeyOnce(t *testing.T) {
	for seed, faults := range [][]fault{
		{},
		{faultLostAnswer, faultNone, faultLostAnswer},
		{faultLostRequest, faultLostAnswer, faultLostAnswer, faultRefused},
		{faultHang, faultLate, faultLostAnswer},
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const keys, repeats = 50, 4
				held, backend := newFakeStore(faults...), newFakeBackend()
				first, stopFirst := start(held, backend, "a")
				defer stopFirst()
				second, stopSecond := start(held, backend, "b")
				defer stopSecond()
				var group sync.WaitGroup
				for i := range keys * repeats {
					service := []*once.Service{first, second}[i%2]
					group.Go(func() {
						_, err := service.Call(t.Context(), refund(fmt.Sprint(i/repeats)))
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
					if got := backend.count(fmt.Sprint(i)); got > 1 {
						t.Errorf("key %d ran %d times", i, got)
					}
				}
			})
		})
	}
}

func TestRepeatsAndConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held, backend := newFakeStore(), newFakeBackend()
		service, stop := start(held, backend, "a")
		defer stop()
		if _, err := service.Call(t.Context(), refund("k")); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		spaced := refund("k")
		spaced.Payload = json.RawMessage(`{"amount":5}`)
		repeated, err := service.Call(t.Context(), spaced)
		if err != nil || !repeated.Repeated || string(repeated.Result) != backend.result {
			t.Errorf("repeat: %+v, %v", repeated, err)
		}
		other := refund("k")
		other.Payload = json.RawMessage(`{"amount":6}`)
		_, err = service.Call(t.Context(), other)
		check(t, err, failure.Conflict, true)
		if got := backend.count("k"); got != 1 {
			t.Errorf("%d executions, want 1", got)
		}
	})
}

func TestLargeResultIsGivenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := newFakeBackend()
		backend.result = `"` + strings.Repeat("x", 65<<10) + `"`
		service, stop := start(newFakeStore(), backend, "a")
		defer stop()
		if first, err := service.Call(t.Context(), refund("k")); err != nil || string(first.Result) != backend.result {
			t.Fatal(err)
		}
		synctest.Wait()
		_, err := service.Call(t.Context(), refund("k"))
		check(t, err, failure.Conflict, false)
	})
}

func TestCallInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := newFakeBackend()
		backend.takes = 5 * time.Second
		held := newFakeStore()
		service, stop := start(held, backend, "a")
		defer stop()
		go func() { _, _ = service.Call(t.Context(), refund("k")) }()
		synctest.Wait()
		_, err := service.Call(t.Context(), refund("k"))
		check(t, err, failure.CallInProgress, false)
		if failure.From(err).RetryAfter == 0 {
			t.Error("no time to come back")
		}
	})
}

func TestCallerLeaves(t *testing.T) {
	cases := []struct {
		name   string
		faults []fault
		notRun bool
		runs   int
		keys   int
	}{
		{"while claiming", []fault{faultLate}, true, 0, 0},
		{"while running", nil, false, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				held, backend := newFakeStore(c.faults...), newFakeBackend()
				backend.takes = time.Second
				service, stop := start(held, backend, "a")
				defer stop()
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					synctest.Wait()
					cancel()
				}()
				began := time.Now()
				_, err := service.Call(ctx, refund("k"))
				check(t, err, failure.Canceled, c.notRun)
				if waited := time.Since(began); waited != 0 {
					t.Errorf("answered after %v", waited)
				}
				time.Sleep(2 * time.Minute) // virtual
				if _, _, keys := held.counts(); keys != c.keys || backend.count("k") != c.runs {
					t.Errorf("%d keys in the store, %d executions", keys, backend.count("k"))
				}
			})
		})
	}
}

func TestDispatchCarriesTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := newFakeBackend()
		service, stop := start(newFakeStore(), backend, "a")
		defer stop()
		call := refund("k")
		call.DeadlineMilliseconds = 1500
		if _, err := service.Call(t.Context(), call); err != nil {
			t.Fatal(err)
		}
		if want := time.Now().UnixMilli() + 1500; backend.last.NotAfterUnixMilliseconds != want || backend.last.TimeoutMilliseconds != 1500 {
			t.Errorf("not after %d, timeout %d", backend.last.NotAfterUnixMilliseconds, backend.last.TimeoutMilliseconds)
		}
	})
}

func TestClaimsAreGrouped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 64
		held, backend := newFakeStore(faultRefused), newFakeBackend()
		service := once.New(once.Options{Store: held, Dispatcher: backend, Holder: "a"})
		var group sync.WaitGroup
		for i := range calls {
			group.Go(func() { _, _ = service.Call(t.Context(), refund(fmt.Sprint(i))) })
		}
		synctest.Wait() // all claims wait, as Run has not begun
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- service.Run(ctx) }()
		group.Wait()
		requests, grants, _ := held.counts()
		if requests != 1 || grants != 1 {
			t.Errorf("%d commits and %d grants, want 1 of each", requests, grants)
		}
		cancel()
		<-ended
	})
}

func TestStoppedServiceRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, stop := start(newFakeStore(), newFakeBackend(), "a")
		stop()
		_, err := service.Call(t.Context(), refund("k"))
		check(t, err, failure.Draining, true)
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
			call := refund("k")
			c.change(&call)
			_, err := service.Call(t.Context(), call)
			check(t, err, c.want, true)
		})
	}
}
