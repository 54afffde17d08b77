package query_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/query"
)

// answering is a replica that answers after some time.
func answering(after time.Duration) respond {
	return func(w http.ResponseWriter, r *http.Request, request backendapi.SearchRequest) {
		select {
		case <-r.Context().Done():
		case <-time.After(after):
			good(w, r, request)
		}
	}
}

// TestAnswersThatComeAsThePauseEndsAreDelivered: the process has not run from a second after the
// query's start on, and goes on at some time; what its replicas answer up to 0.2 s later is
// delivered, also after the deadline, and what comes later is not waited for.
func TestAnswersThatComeAsThePauseEndsAreDelivered(t *testing.T) {
	const (
		timeout = 30 * time.Second
		runs    = time.Second
	)
	cases := []struct {
		name          string
		paused, after time.Duration
		answered      bool
	}{
		{"over the deadline, answers meanwhile", 40 * time.Second, 35 * time.Second, true},
		{"over the deadline, answers just after", 40 * time.Second, 41200 * time.Millisecond, true},
		{"up to just before the deadline", 28900 * time.Millisecond, 30050 * time.Millisecond, true},
		{"an hour", time.Hour, time.Hour + 1100*time.Millisecond, true},
		{"answers long after", 40 * time.Second, 43 * time.Second, false},
		{"a pause that leaves time enough", 20 * time.Second, 30500 * time.Millisecond, false},
		{"no pause", 0, 30050 * time.Millisecond, false},
	}
	for _, test := range cases {
		bubble(t, test.name, func(t *testing.T) {
			f := newFixture(t, []respond{answering(test.after)}, []respond{answering(test.after)})
			began := time.Now()
			f.options.PausedTime = func() time.Duration { return min(max(0, time.Since(began)-runs), test.paused) }
			answer, err := query.NewService(f.options).Search(t.Context(), phraseQuery())
			if answered := err == nil && answer.Coverage.Answered == 2; answered != test.answered {
				t.Errorf("answered %v of 2 after %v, error %v", answer.Coverage.Answered, time.Since(began), err)
			}
			if over := time.Since(began) - max(timeout, runs+test.paused); over > 300*time.Millisecond {
				t.Errorf("ended %v later than it should", over)
			}
		})
	}
}

// TestAPauseBeforeTheFirstSubRequestFailsNoQuery: between the request's arrival, from which its
// deadline counts, and its run.
func TestAPauseBeforeTheFirstSubRequestFailsNoQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, []respond{good}, []respond{good})
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

// TestAPauseBetweenTwoReadingsFailsNoQuery: the process stands still right after it has read for
// how long it had not run, at each of the readings of a query in turn. Trace of one that failed
// (1 of 3,028 requests): deadline 1 s, sub-requests sent at 1.203 s and in flight, nothing allowed for.
func TestAPauseBetweenTwoReadingsFailsNoQuery(t *testing.T) {
	for at := 1; at <= 12; at++ {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, []respond{good}, []respond{good})
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
