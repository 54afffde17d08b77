package admission

import (
	"log/slog"
	"testing"
	"time"
)

func TestAdaptiveLimit(t *testing.T) {
	refused := func(shard string) Outcome { return Outcome{Queried: 2, Answered: 1, Refused: 1, RefusedShard: shard} }
	all := Outcome{Queried: 1, Refused: 1, RefusedShard: "a"}
	complete := Outcome{Queried: 2, Answered: 2}
	partial := Outcome{Queried: 2, Answered: 1}
	cases := []struct {
		name     string
		inFlight int64
		outcomes []Outcome // one every 100 ms
		want     int64     // limit for critical queries, starting at 100
	}{
		{"refused shards cut below the queries in flight", 20, []Outcome{refused("a")}, 19},
		{"the same refused shard does not cut again", 20, []Outcome{refused("a"), refused("a"), refused("a")}, 19},
		{"different refused shards cut again", 20, []Outcome{refused("a"), refused("b")}, 18},
		{"all shards refused cut again", 20, []Outcome{all, all}, 18},
		{"shards missing for another reason do not cut", 20, []Outcome{partial}, 100},
		{"minimum limit", 1, []Outcome{refused("a")}, minLimit},
		{"complete answers raise the limit", 20, append([]Outcome{refused("a")}, repeat(complete, 20)...), 20},
		{"an unused limit is not raised", 1, append([]Outcome{refused("a")}, repeat(complete, 19)...), minLimit},
		{"after the overload each answer raises the limit", 20, append([]Outcome{refused("a")}, repeat(complete, 30)...), 30},
		{"never above the initial limit", 100, repeat(complete, 40), 100},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			limit := newLimit(100)
			now := time.Unix(1000, 0)
			for _, outcome := range test.outcomes {
				limit.observe(now, test.inFlight, &outcome)
				now = now.Add(100 * time.Millisecond)
			}
			if got := limit.forRank(3); got != test.want {
				t.Errorf("limit %d, want %d", got, test.want)
			}
		})
	}
}

func TestAdaptiveLimitMinCutInterval(t *testing.T) {
	limit := newLimit(100)
	now := time.Unix(1000, 0)
	for _, shard := range []string{"a", "b", "c"} {
		limit.observe(now, 20, &Outcome{Duration: time.Second, Queried: 2, Refused: 1, RefusedShard: shard})
		now = now.Add(100 * time.Millisecond)
	}
	if got := limit.forRank(3); got != 19 {
		t.Errorf("limit %d, want 19: queries admitted before a cut must not cause another", got)
	}
}

func repeat(outcome Outcome, count int) []Outcome {
	all := make([]Outcome, count)
	for i := range all {
		all[i] = outcome
	}
	return all
}

// newLimit returns a limit that is already calibrated.
func newLimit(maxInFlight int) *adaptiveLimit {
	limit := &adaptiveLimit{logger: slog.New(slog.DiscardHandler)}
	limit.start(maxInFlight)
	limit.uncongestedWindows.Store(calibrationWindows)
	return limit
}

// Guards against a node with little traffic keeping its reduced limit forever: the
// limit must recover without congestion, and only then.
func TestAdaptiveLimitRestore(t *testing.T) {
	const maxInFlight = 100
	refused := Outcome{Queried: 2, Answered: 1, Refused: 1, RefusedShard: "a"}
	congested := Outcome{Queried: 2, Answered: 2, Objective: time.Second, Congested: true}
	complete := Outcome{Queried: 2, Answered: 2, Objective: time.Second}
	cases := []struct {
		name string
		// outcome of the one query per second.
		outcome Outcome
		after   time.Duration
		want    int64
	}{
		{"before the delay", complete, restoreDelay - time.Second, minLimit},
		{"first step after the delay", complete, restoreDelay, 2 * minLimit},
		{"fully restored", complete, restoreDelay + 8*restoreInterval, maxInFlight},
		{"congested queries", congested, time.Minute, minLimit},
		{"refused shards", refused, time.Minute, minLimit},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			limit := newLimit(maxInFlight)
			now := time.Unix(1000, 0)
			limit.observe(now, 1, &refused)
			for end := now.Add(test.after); now.Before(end); {
				now = now.Add(time.Second)
				limit.restore(now)
				outcome := test.outcome
				limit.observe(now, 1, &outcome)
			}
			if got := limit.forRank(3); got != test.want {
				t.Errorf("limit %d, want %d", got, test.want)
			}
		})
	}
}
