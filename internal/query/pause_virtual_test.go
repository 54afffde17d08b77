package query_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/query"
)

// replyAfter replies after the given time.
func replyAfter(after time.Duration) replyFunc {
	return func(w http.ResponseWriter, r *http.Request, request backendapi.SearchRequest) {
		select {
		case <-r.Context().Done():
		case <-time.After(after):
			replyValid(w, r, request)
		}
	}
}

// TestSearchRepliesAfterPause suspends the process one second after a query's start.
// Replies up to 0.2 s after the end of the pause must be delivered, also after the deadline;
// later ones must not be waited for.
func TestSearchRepliesAfterPause(t *testing.T) {
	const (
		timeout    = 30 * time.Second
		pauseStart = time.Second
	)
	cases := []struct {
		name              string
		paused, repliesAt time.Duration
		answered          bool
	}{
		{"past the deadline, reply during the pause", 40 * time.Second, 35 * time.Second, true},
		{"past the deadline, reply shortly after the pause", 40 * time.Second, 41200 * time.Millisecond, true},
		{"until shortly before the deadline", 28900 * time.Millisecond, 30050 * time.Millisecond, true},
		{"one hour", time.Hour, time.Hour + 1100*time.Millisecond, true},
		{"reply long after the pause", 40 * time.Second, 43 * time.Second, false},
		{"enough time left", 20 * time.Second, 30500 * time.Millisecond, false},
		{"no pause", 0, 30050 * time.Millisecond, false},
	}
	for _, test := range cases {
		runSynctest(t, test.name, func(t *testing.T) {
			f := newFixture(t, []replyFunc{replyAfter(test.repliesAt)}, []replyFunc{replyAfter(test.repliesAt)})
			began := time.Now()
			f.options.PausedTime = func() time.Duration { return min(max(0, time.Since(began)-pauseStart), test.paused) }
			answer, err := query.NewService(f.options).Search(t.Context(), phraseQuery())
			if answered := err == nil && answer.Coverage.Answered == 2; answered != test.answered {
				t.Errorf("%v of 2 shards answered after %v, error %v", answer.Coverage.Answered, time.Since(began), err)
			}
			if over := time.Since(began) - max(timeout, pauseStart+test.paused); over > 300*time.Millisecond {
				t.Errorf("ended %v after the limit", over)
			}
		})
	}
}

// TestSearchPauseBeforeFirstSubRequest suspends the process between the arrival of a query,
// from which its deadline counts, and its run.
func TestSearchPauseBeforeFirstSubRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, []replyFunc{replyValid}, []replyFunc{replyValid})
		paused := time.Duration(0)
		f.options.Now = func() time.Time { return time.Now().Add(paused) }
		f.options.PausedTime = func() time.Duration { return paused }
		f.options.NewID = func() string {
			paused = time.Minute
			return "q"
		}
		answer, err := query.NewService(f.options).Search(t.Context(), phraseQuery())
		if err != nil || answer.Coverage.Answered != 2 {
			t.Errorf("answered %d, error %v", answer.Coverage.Answered, err)
		}
	})
}

// TestSearchPauseBetweenClockReadings suspends the process right after each of the readings
// of the paused time. A pause between the readings of two clocks went uncompensated.
func TestSearchPauseBetweenClockReadings(t *testing.T) {
	for at := 1; at <= 12; at++ {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, []replyFunc{replyValid}, []replyFunc{replyValid})
			paused, readings := time.Duration(0), 0
			f.options.PausedTime = func() time.Duration {
				read := paused
				if readings++; readings == at {
					time.Sleep(time.Minute)
					paused = time.Minute
				}
				return read
			}
			answer, err := query.NewService(f.options).Search(t.Context(), phraseQuery())
			if err != nil || answer.Coverage.Answered != 2 {
				t.Errorf("paused at reading %d of %d: answered %d, error %v", at, readings, answer.Coverage.Answered, err)
			}
		})
	}
}

// TestSearchAdmittedAfterPause guards against rejecting queries after a pause as too short for the
// fastest recent answer, when the recent answers took long only for the pause.
func TestSearchAdmittedAfterPause(t *testing.T) {
	const timeout, pause, repliesAfter = time.Second, 5500 * time.Millisecond, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, []replyFunc{replyAfter(repliesAfter)}, []replyFunc{replyAfter(repliesAfter)})
		f.row.Wait.Timeout = policy.Duration(timeout)
		f.publishPolicy()
		paused := time.Duration(0)
		pauseNext := true
		f.options.PausedTime = func() time.Duration { return paused }
		f.options.WaitFresh = func(context.Context, time.Duration) bool {
			if pauseNext {
				pauseNext = false
				time.Sleep(pause)
				paused += pause
			}
			return true
		}
		service := query.NewService(f.options)
		for number := range 3 {
			if _, err := service.Search(t.Context(), phraseQuery()); err != nil {
				t.Errorf("query %d: %v", number, err)
			}
		}
	})
}

// TestSearchPausesWhileWaitingForTable guards against counting pauses in the wait for the policy
// table towards the deadline of the query, of which nothing was left for the replicas.
func TestSearchPausesWhileWaitingForTable(t *testing.T) {
	const pause, between = 5500 * time.Millisecond, 30 * time.Millisecond
	for _, pauses := range []int{1, 4, 20} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, []replyFunc{replyAfter(between)}, []replyFunc{replyAfter(between)})
			f.row.Wait.Timeout = policy.Duration(20 * time.Second)
			f.publishPolicy()
			paused := time.Duration(0)
			f.options.PausedTime = func() time.Duration { return paused }
			f.options.WaitFresh = func(context.Context, time.Duration) bool {
				for range pauses {
					time.Sleep(pause)
					paused += pause
					time.Sleep(between)
				}
				return true
			}
			answer, err := query.NewService(f.options).Search(t.Context(), phraseQuery())
			if err != nil || answer.Coverage.Answered != 2 {
				t.Errorf("%d pauses: answered %d, error %v", pauses, answer.Coverage.Answered, err)
			}
		})
	}
}

// TestSearchSeriesOfPauses guards against losing replies that are about to come in a series of
// pauses with little time in between, at the end of which the deadline has passed.
func TestSearchSeriesOfPauses(t *testing.T) {
	const pause, repliesAfter = 5500 * time.Millisecond, 100 * time.Millisecond
	for _, between := range []time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(between.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const pauses = 6
				cycle := pause + between
				// the replicas are paused as well: they need repliesAfter of active time
				repliesAt := (repliesAfter/between+1)*pause + repliesAfter
				f := newFixture(t, []replyFunc{replyAfter(repliesAt)}, []replyFunc{replyAfter(repliesAt)})
				f.row.Wait.Timeout = policy.Duration(20 * time.Second)
				f.publishPolicy()
				began := time.Now()
				f.options.PausedTime = func() time.Duration {
					since := time.Since(began)
					whole := since / cycle
					return min(whole*pause+min(since-whole*cycle, pause), pauses*pause)
				}
				answer, err := query.NewService(f.options).Search(t.Context(), phraseQuery())
				if err != nil || answer.Coverage.Answered != 2 {
					t.Errorf("answered %d after %v, error %v", answer.Coverage.Answered, time.Since(began), err)
				}
			})
		})
	}
}
