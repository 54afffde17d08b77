package decision

import (
	"testing"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/policy"
)

// withSoftDeadline sets a soft deadline of 50 ms and a minimum of two shards.
func withSoftDeadline(plan *Plan, row *policy.Row) {
	plan.SoftDeadline = 50 * ms
	plan.MinShards = min(2, len(plan.Shards))
	row.Retry.Attempts = 2
}

func dispatched(at time.Duration, shard, attempt int, delay time.Duration) timedEvent {
	return timedEvent{at, Event{Kind: Dispatched, Shard: shard, Attempt: attempt, HedgeDelay: delay}}
}

func busy(at time.Duration, shard, attempt int) timedEvent {
	return timedEvent{at, Event{Kind: AttemptCompleted, Shard: shard, Attempt: attempt, Outcome: NoReplica, Busy: true}}
}

func fired(at time.Duration) timedEvent { return timedEvent{at, Event{Kind: TimerFired}} }

// The cases use plan fields and events that only forwarded requests have.
func TestForwardedQuery(t *testing.T) {
	cases := []struct {
		name   string
		shards int
		change func(*Plan, *policy.Row)
		events []timedEvent
		want   []string
		status []ShardStatus
	}{
		{
			name: "partial answer at the soft deadline", shards: 3, change: withSoftDeadline,
			events: []timedEvent{reply(10*ms, 0, 0, Success), reply(11*ms, 1, 0, Success), fired(50 * ms)},
			want: []string{
				"0s send 0/0 in 100ms", "0s send 1/0 in 100ms", "0s send 2/0 in 100ms", "0s timer 100ms",
				"11ms timer 50ms", "50ms cancel 2/0", "50ms finish 1",
			},
			status: []ShardStatus{{Answered: true}, {Answered: true}, {Reason: client.MissingComplete}},
		},
		{
			name: "continues past the soft deadline until the minimum is reached", shards: 3, change: withSoftDeadline,
			events: []timedEvent{reply(10*ms, 0, 0, Success), fired(50 * ms), reply(70*ms, 1, 0, Success)},
			want: []string{
				"0s send 0/0 in 100ms", "0s send 1/0 in 100ms", "0s send 2/0 in 100ms", "0s timer 100ms",
				"50ms timer 100ms", "70ms cancel 2/0", "70ms finish 1",
			},
			status: []ShardStatus{{Answered: true}, {Answered: true}, {Reason: client.MissingComplete}},
		},
		{
			name: "finishes at once when the minimum cannot be reached", shards: 3,
			change: func(plan *Plan, row *policy.Row) {
				withSoftDeadline(plan, row)
				row.Retry.Attempts = 1
			},
			events: []timedEvent{reply(10*ms, 0, 0, Failed), reply(12*ms, 1, 0, Failed)},
			want: []string{
				"0s send 0/0 in 100ms", "0s send 1/0 in 100ms", "0s send 2/0 in 100ms", "0s timer 100ms",
				"12ms cancel 2/0", "12ms finish 0",
			},
			status: []ShardStatus{{Reason: client.MissingFailed}, {Reason: client.MissingFailed}, {Reason: client.MissingFailed}},
		},
		{
			name: "hedge delay of the chosen replica", shards: 1, change: withSoftDeadline,
			events: []timedEvent{dispatched(0, 0, 0, 20*ms), fired(20 * ms), reply(25*ms, 0, 1, Success)},
			want: []string{
				"0s send 0/0 in 100ms", "0s timer 100ms", "0s timer 20ms", "20ms hedge 0/1 in 80ms", "20ms timer 100ms",
				"25ms cancel 0/0", "25ms finish 0",
			},
			status: []ShardStatus{{Answered: true}},
		},
		{
			name: "no hedge that could not complete in time", shards: 3,
			change: func(plan *Plan, row *policy.Row) {
				withSoftDeadline(plan, row)
				plan.Shards[2].ExpectedLatency = 20 * ms
			},
			events: []timedEvent{
				dispatched(0, 2, 0, 35*ms), reply(10*ms, 0, 0, Success), reply(11*ms, 1, 0, Success), fired(35 * ms),
			},
			want: []string{
				"0s send 0/0 in 100ms", "0s send 1/0 in 100ms", "0s send 2/0 in 100ms", "0s timer 100ms",
				"0s timer 35ms", "35ms timer 50ms",
			},
			status: []ShardStatus{{Answered: true}, {Answered: true}, {}},
		},
		{
			name: "busy replicas do not use up attempts", shards: 1, change: withSoftDeadline,
			events: []timedEvent{
				busy(0, 0, 0), fired(2 * ms), busy(2*ms, 0, 0), fired(4 * ms), reply(9*ms, 0, 0, Failed), reply(12*ms, 0, 1, Success),
			},
			want: []string{
				"0s send 0/0 in 100ms", "0s timer 100ms", "0s timer 2ms", "2ms send 0/0 in 98ms", "2ms timer 100ms",
				"2ms timer 4ms", "4ms send 0/0 in 96ms", "4ms timer 100ms", "9ms send 0/1 in 91ms", "12ms finish 0",
			},
			status: []ShardStatus{{Answered: true}},
		},
		{
			name: "dispatch deadline with busy replicas", shards: 1,
			change: func(plan *Plan, _ *policy.Row) { plan.DispatchDeadline = 5 * ms },
			events: []timedEvent{busy(0, 0, 0), fired(2 * ms), busy(2*ms, 0, 0), fired(4 * ms), busy(4*ms, 0, 0)},
			want: []string{
				"0s send 0/0 in 100ms", "0s timer 100ms", "0s timer 2ms", "2ms send 0/0 in 98ms", "2ms timer 100ms",
				"2ms timer 4ms", "4ms send 0/0 in 96ms", "4ms timer 100ms", "4ms finish 0",
			},
			status: []ShardStatus{{Reason: client.MissingNoReplica}},
		},
		{
			name: "sends nothing in the step that finishes the query", shards: 3, change: withSoftDeadline,
			events: []timedEvent{
				reply(10*ms, 0, 0, Success), reply(11*ms, 1, 0, Success), busy(47*ms, 2, 0), fired(52 * ms),
			},
			want: []string{
				"0s send 0/0 in 100ms", "0s send 1/0 in 100ms", "0s send 2/0 in 100ms", "0s timer 100ms",
				"11ms timer 50ms", "47ms timer 49ms", "52ms finish 1",
			},
			status: []ShardStatus{{Answered: true}, {Answered: true}, {Reason: client.MissingComplete}},
		},
		{
			name: "connect failures do not use up attempts", shards: 1, change: withSoftDeadline,
			events: []timedEvent{
				reply(1*ms, 0, 0, ConnectFailed), reply(2*ms, 0, 1, ConnectFailed), fired(42 * ms),
				reply(43*ms, 0, 2, Failed), reply(44*ms, 0, 3, Failed),
			},
			want: []string{
				"0s send 0/0 in 100ms", "0s timer 100ms", "1ms send 0/1 in 99ms", "2ms timer 42ms",
				"42ms send 0/2 in 58ms", "42ms timer 100ms", "43ms send 0/3 in 57ms", "44ms finish 0",
			},
			status: []ShardStatus{{Reason: client.MissingFailed}},
		},
		{
			name: "reset before write is retried later without budget", shards: 3,
			change: func(plan *Plan, row *policy.Row) {
				withSoftDeadline(plan, row)
				plan.MinShards = 3
				plan.Shards[0].Budget = NewTokenBudget(0, 0)
				row.Retry.Attempts = 1
			},
			events: []timedEvent{
				reply(3*ms, 0, 0, ResetBeforeWrite), reply(10*ms, 1, 0, Success), reply(11*ms, 2, 0, Success), fired(23 * ms),
				reply(25*ms, 0, 1, ResetBeforeWrite), fired(65 * ms), reply(90*ms, 0, 2, Success),
			},
			want: []string{
				"0s send 0/0 in 100ms", "0s send 1/0 in 100ms", "0s send 2/0 in 100ms", "0s timer 100ms", "3ms timer 23ms",
				"23ms send 0/1 in 77ms", "23ms timer 100ms", "25ms timer 65ms", "65ms send 0/2 in 35ms", "65ms timer 100ms",
				"90ms finish 0",
			},
			status: []ShardStatus{{Answered: true}, {Answered: true}, {Answered: true}},
		},
		{
			name: "interrupted before the deadline", shards: 3, change: withSoftDeadline,
			events: []timedEvent{reply(10*ms, 0, 0, Success), {20 * ms, Event{Kind: Interrupted}}},
			want: []string{
				"0s send 0/0 in 100ms", "0s send 1/0 in 100ms", "0s send 2/0 in 100ms", "0s timer 100ms",
				"20ms cancel 1/0", "20ms cancel 2/0", "20ms finish 2",
			},
			status: []ShardStatus{{Answered: true}, {Reason: client.MissingTimeout}, {Reason: client.MissingTimeout}},
		},
		{
			name: "does not wait for unreachable replicas", shards: 3, change: withSoftDeadline,
			events: []timedEvent{
				reply(1*ms, 0, 0, ConnectFailed), reply(2*ms, 0, 1, ConnectFailed), reply(10*ms, 1, 0, Success), reply(11*ms, 2, 0, Success),
			},
			want: []string{
				"0s send 0/0 in 100ms", "0s send 1/0 in 100ms", "0s send 2/0 in 100ms", "0s timer 100ms",
				"1ms send 0/1 in 99ms", "2ms timer 42ms", "11ms finish 1",
			},
			status: []ShardStatus{{Reason: client.MissingFailed}, {Answered: true}, {Answered: true}},
		},
		{
			name: "waits for replicas that reset before write", shards: 3, change: withSoftDeadline,
			events: []timedEvent{
				reply(1*ms, 0, 0, ResetBeforeWrite), reply(10*ms, 1, 0, Success), reply(11*ms, 2, 0, Success), fired(21 * ms),
				reply(22*ms, 0, 1, ResetBeforeWrite), fired(50 * ms),
			},
			want: []string{
				"0s send 0/0 in 100ms", "0s send 1/0 in 100ms", "0s send 2/0 in 100ms", "0s timer 100ms", "1ms timer 21ms",
				"21ms send 0/1 in 79ms", "21ms timer 50ms", "50ms finish 1",
			},
			status: []ShardStatus{{Reason: client.MissingComplete}, {Answered: true}, {Answered: true}},
		},
		{
			name: "reset after write uses the budget", shards: 2,
			change: func(plan *Plan, _ *policy.Row) {
				plan.Shards[0].Budget = NewTokenBudget(0, 1)
				plan.Shards[1].Budget = NewTokenBudget(0, 0)
			},
			events: []timedEvent{reply(3*ms, 0, 0, ResetAfterWrite), reply(4*ms, 1, 0, ResetAfterWrite), reply(5*ms, 0, 1, ResetAfterWrite)},
			want: []string{
				"0s send 0/0 in 100ms", "0s send 1/0 in 100ms", "0s timer 100ms", "3ms send 0/1 in 97ms", "5ms finish 0",
			},
			status: []ShardStatus{{Reason: client.MissingFailed}, {Reason: client.MissingFailed}},
		},
		{
			name: "reset after write uses up an attempt", shards: 1,
			change: func(_ *Plan, row *policy.Row) { row.Retry.Attempts = 2 },
			events: []timedEvent{reply(3*ms, 0, 0, ResetAfterWrite), reply(5*ms, 0, 1, ResetAfterWrite)},
			want: []string{
				"0s send 0/0 in 100ms", "0s timer 100ms", "3ms send 0/1 in 97ms", "5ms finish 0",
			},
			status: []ShardStatus{{Reason: client.MissingFailed}},
		},
		{
			name: "at most once: retried after reset before write", shards: 1,
			change: func(plan *Plan, _ *policy.Row) { plan.AtMostOnce = true },
			events: []timedEvent{reply(3*ms, 0, 0, ResetBeforeWrite), fired(23 * ms), reply(30*ms, 0, 1, Success)},
			want: []string{
				"0s send 0/0 in 100ms", "0s timer 100ms", "3ms timer 23ms", "23ms send 0/1 in 77ms", "23ms timer 100ms", "30ms finish 0",
			},
			status: []ShardStatus{{Answered: true}},
		},
		{
			name: "at most once: not retried after reset after write", shards: 1,
			change: func(plan *Plan, _ *policy.Row) { plan.AtMostOnce = true },
			events: []timedEvent{reply(3*ms, 0, 0, ResetAfterWrite)},
			want:   []string{"0s send 0/0 in 100ms", "0s timer 100ms", "3ms finish 0"},
			status: []ShardStatus{{Reason: client.MissingFailed}},
		},
		{
			name: "at most once: neither hedged nor retried after failure", shards: 1,
			change: func(plan *Plan, _ *policy.Row) { plan.AtMostOnce = true },
			events: []timedEvent{dispatched(0, 0, 0, 10*ms), reply(30*ms, 0, 0, Failed)},
			want:   []string{"0s send 0/0 in 100ms", "0s timer 100ms", "30ms finish 0"},
			status: []ShardStatus{{Reason: client.MissingFailed}},
		},
		{
			name: "at most once: retried after proof that it has not run", shards: 1,
			change: func(plan *Plan, _ *policy.Row) { plan.AtMostOnce = true },
			events: []timedEvent{reply(3*ms, 0, 0, Misdirected), reply(5*ms, 0, 1, Shed), reply(9*ms, 0, 2, Invalid)},
			want: []string{
				"0s send 0/0 in 100ms", "0s timer 100ms", "3ms send 0/1 in 97ms", "5ms send 0/2 in 95ms", "9ms finish 0",
			},
			status: []ShardStatus{{Reason: client.MissingInvalidReply}},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			checkTrace(t, testPlan(test.shards, test.change), test.events, test.want, test.status)
		})
	}
}

// Attempts that fail to connect do not count towards the policy's limit, but are
// bounded by maxAttempts.
func TestConnectFailuresAreBounded(t *testing.T) {
	query := New(testPlan(1, func(plan *Plan, _ *policy.Row) { plan.Deadline = time.Hour }))
	sent, finished := 0, false
	var at, wake time.Duration
	step := func(event Event) {
		for _, action := range query.Step(at, event) {
			switch action.Kind {
			case Send:
				sent++
			case SetTimer:
				wake = action.At
			case Finish:
				finished = true
			}
		}
	}
	step(Event{Kind: Started})
	for !finished && sent < 100 {
		step(Event{Kind: AttemptCompleted, Attempt: sent - 1, Outcome: ConnectFailed})
		if !finished {
			at = wake
			step(Event{Kind: TimerFired})
		}
	}
	if !finished || sent > maxAttempts {
		t.Errorf("%d attempts, finished %v", sent, finished)
	}
}

func TestTokenBudgetWithReserve(t *testing.T) {
	budget := NewTokenBudgetWithReserve(0, 10, 0.2)
	hedges, retries := 0, 0
	for budget.WithdrawHedge() {
		hedges++
	}
	for budget.Withdraw() {
		retries++
	}
	if hedges != 8 || retries != 2 {
		t.Errorf("%d hedges and %d retries, want 8 and 2", hedges, retries)
	}
}

func TestChooseReplicaUnresponsive(t *testing.T) {
	weights := policy.Replicas{ZoneWeight: 1, RegionWeight: 1, FarWeight: 1}
	available := Candidate{Limit: 2, Slots: 2, Warmth: 1, ConnectionAvailable: true}
	saturated, unresponsive, backingOff := available, available, available
	saturated.InFlight, unresponsive.Unresponsive, backingOff.BackingOff = 2, true, true
	for _, test := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"available before unresponsive", []Candidate{unresponsive, available}, 1},
		{"saturated before unresponsive", []Candidate{unresponsive, saturated}, 1},
		{"unresponsive before backing off", []Candidate{backingOff, unresponsive}, 1},
		{"unresponsive before none", []Candidate{unresponsive}, 0},
	} {
		if got := ChooseReplica(test.candidates, weights, 0); got != test.want {
			t.Errorf("%s: chose %d, want %d", test.name, got, test.want)
		}
	}
}
