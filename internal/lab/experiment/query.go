package experiment

import (
	"strconv"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/simulation"
)

// query is one query in a daemon: the shell around the decision core.
type query struct {
	daemon   *daemon
	class    int
	arrived  time.Duration
	row      *policy.Row
	core     *decision.Query
	shards   []queryShard
	timer    *simulation.Timer
	finished bool
	release  func(conclusion)
	attempts int
}

type queryShard struct {
	tried    []*link
	attempts []*attempt
}

// conclusion is what a query came to.
type conclusion struct {
	took     time.Duration
	asked    int
	answered int
	attempts int
	// refused is the number of shards that no replica took for load, and
	// refusedShard one of them.
	refused      int
	refusedShard int
}

func (c conclusion) whole() bool { return c.answered == c.asked }

// arrive starts a query at its intended time, or refuses it.
func (d *daemon) arrive(class int) {
	now := d.run.engine.Now()
	row := d.run.rows[class]
	release, admitted := d.router.admit(row)
	if !admitted {
		d.run.recorder.refused(now, class, d.run.deployment.Groups)
		return
	}
	started := &query{
		daemon: d, class: class, arrived: now, row: row, release: release,
		shards: make([]queryShard, d.run.deployment.Groups),
	}
	started.core = decision.New(started.plan())
	started.step(decision.Event{Kind: decision.Started})
}

func (q *query) plan() decision.Plan {
	shards := make([]decision.ShardPlan, len(q.shards))
	for i := range shards {
		shards[i] = decision.ShardPlan{Shard: i, ShardCount: len(shards), Group: strconv.Itoa(i)}
		q.daemon.router.plan(i, &shards[i], q.row)
	}
	return decision.Plan{Shards: shards, Policy: q.row, Deadline: time.Duration(q.row.Wait.Timeout)}
}

// step feeds the core and carries out its actions.
func (q *query) step(event decision.Event) {
	if q.finished {
		return
	}
	var unsent []decision.Event
	for _, action := range q.core.Step(q.daemon.run.engine.Now()-q.arrived, event) {
		switch action.Kind {
		case decision.Send:
			if !q.send(action) {
				unsent = append(unsent, decision.Event{
					Kind: decision.AttemptCompleted, Shard: action.Shard, Attempt: action.Attempt, Outcome: decision.NoReplica,
				})
			}
		case decision.Cancel:
			if request := q.shards[action.Shard].attempts[action.Attempt]; request != nil {
				q.daemon.cancel(request)
			}
		case decision.SetTimer:
			q.setTimer(action.At)
		case decision.Finish:
			q.finish()
			return
		}
	}
	for _, missed := range unsent {
		q.step(missed)
	}
}

func (q *query) send(action decision.Action) bool {
	shard := &q.shards[action.Shard]
	chosen := q.daemon.router.choose(action.Shard, shard.tried, q.row)
	if chosen == nil {
		shard.attempts = append(shard.attempts, nil)
		return false
	}
	request := &attempt{
		daemon: q.daemon, query: q, link: chosen, shard: action.Shard, number: action.Attempt,
		deadline: q.arrived + time.Duration(q.row.Wait.Timeout),
	}
	shard.tried = append(shard.tried, chosen)
	shard.attempts = append(shard.attempts, request)
	q.attempts++
	q.daemon.send(request)
	return true
}

func (q *query) setTimer(at time.Duration) {
	if q.timer != nil {
		q.timer.Stop()
	}
	engine := q.daemon.run.engine
	q.timer = engine.After(q.arrived+at-engine.Now(), func() { q.step(decision.Event{Kind: decision.TimerFired}) })
}

func (q *query) finish() {
	q.finished = true
	if q.timer != nil {
		q.timer.Stop()
	}
	ended := conclusion{
		took: q.daemon.run.engine.Now() - q.arrived, asked: len(q.shards),
		answered: q.core.Answered(), attempts: q.attempts,
	}
	for i := range q.shards {
		if q.core.Status(i).Reason == client.MissingShed {
			ended.refused++
			ended.refusedShard = i
		}
	}
	q.release(ended)
	q.daemon.run.recorder.finished(q.arrived, q.class, ended)
}
