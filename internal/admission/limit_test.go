package admission

import (
	"log/slog"
	"testing"
	"time"
)

func TestAdaptiveLimit(t *testing.T) {
	refused := func(shard string) Outcome { return Outcome{Queried: 2, Answered: 1, Refused: 1, RefusedShard: shard} }
	all := Outcome{Queried: 1, Refused: 1, RefusedShard: "a"}
	whole := Outcome{Queried: 2, Answered: 2}
	partial := Outcome{Queried: 2, Answered: 1}
	cases := []struct {
		name     string
		inFlight int64
		ended    []Outcome // one each 100 ms
		want     int64     // for critical queries, of 100 at the start
	}{
		{"refused shards cut to less than what was in flight", 20, []Outcome{refused("a")}, 19},
		{"one shard refused again is no sign", 20, []Outcome{refused("a"), refused("a"), refused("a")}, 19},
		{"refused shards that differ cut again", 20, []Outcome{refused("a"), refused("b")}, 18},
		{"all shards refused cut again", 20, []Outcome{all, all}, 18},
		{"shards missing for another reason are no sign", 20, []Outcome{partial}, 100},
		{"the limit keeps a trickle", 1, []Outcome{refused("a")}, minLimit},
		{"whole answers raise it", 20, append([]Outcome{refused("a")}, many(whole, 20)...), 20},
		{"a limit that is not in use is not raised", 1, append([]Outcome{refused("a")}, many(whole, 19)...), minLimit},
		{"after calm it grows by each answer", 20, append([]Outcome{refused("a")}, many(whole, 30)...), 30},
		{"never over the start", 100, many(whole, 40), 100},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			limit := newLimit(100)
			now := time.Unix(1000, 0)
			for _, ended := range test.ended {
				limit.observe(now, test.inFlight, &ended)
				now = now.Add(100 * time.Millisecond)
			}
			if got := limit.forRank(3); got != test.want {
				t.Errorf("limit %d, want %d", got, test.want)
			}
		})
	}
}

func TestCutsPause(t *testing.T) {
	limit := newLimit(100)
	now := time.Unix(1000, 0)
	for _, shard := range []string{"a", "b", "c"} {
		limit.observe(now, 20, &Outcome{Duration: time.Second, Queried: 2, Refused: 1, RefusedShard: shard})
		now = now.Add(100 * time.Millisecond)
	}
	if got := limit.forRank(3); got != 19 {
		t.Errorf("limit %d, want 19: one cut for the queries let in before it", got)
	}
}

func many(ended Outcome, count int) []Outcome {
	all := make([]Outcome, count)
	for i := range all {
		all[i] = ended
	}
	return all
}

// newLimit makes the limit of back ends that have been seen without strain.
func newLimit(total int) *adaptiveLimit {
	limit := &adaptiveLimit{logger: slog.New(slog.DiscardHandler)}
	limit.start(total)
	limit.uncongestedWindows.Store(calibrationWindows)
	return limit
}

// TestACutLimitIsGivenBackWithTime: a node that few callers come to never makes use of what it
// was cut to, and so its limit was never raised: a soak's request was refused (429, limit of 3 for
// its priority) 27 s after the last trouble. Without a sign of strain the limit comes back by
// itself; while there are such signs it does not.
func TestACutLimitIsGivenBackWithTime(t *testing.T) {
	const most = 100
	refused := Outcome{Queried: 2, Answered: 1, Refused: 1, RefusedShard: "a"}
	strained := Outcome{Queried: 2, Answered: 2, Objective: time.Second, Congested: true}
	whole := Outcome{Queried: 2, Answered: 2, Objective: time.Second}
	cases := []struct {
		name string
		// each second one query ends so.
		ended Outcome
		after time.Duration
		want  int64
	}{
		{"not at once", whole, restoreDelay - time.Second, minLimit},
		{"a little, after that", whole, restoreDelay, 2 * minLimit},
		{"whole in the end", whole, restoreDelay + 8*restoreInterval, most},
		{"not while queries are strained", strained, time.Minute, minLimit},
		{"not while shards are refused", refused, time.Minute, minLimit},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			limit := newLimit(most)
			now := time.Unix(1000, 0)
			limit.observe(now, 1, &refused)
			for end := now.Add(test.after); now.Before(end); {
				now = now.Add(time.Second)
				limit.restore(now)
				ended := test.ended
				limit.observe(now, 1, &ended)
			}
			if got := limit.forRank(3); got != test.want {
				t.Errorf("limit %d, want %d", got, test.want)
			}
		})
	}
}
