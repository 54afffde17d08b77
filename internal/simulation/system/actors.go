package system

import (
	"context"
	"fmt"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/once"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/simulation"
)

var errLate = failure.New(failure.DeadlineExceeded, "the deadline passed before dispatch").WithNotRun(true)

// The habits of callers and operators.
const (
	queryEvery      = 700 * time.Millisecond
	callEvery       = 900 * time.Millisecond
	editEvery       = 1500 * time.Millisecond
	callDeadline    = 2 * time.Second
	callPatience    = 2500 * time.Millisecond
	callTries       = 6
	fullSearchOdds  = 4
	impatientOdds   = 4
	leaveEarlyOdds  = 10
	leaveWithin     = 20 * time.Millisecond
	operatorsOfSite = 2
)

// caller sends queries and calls to the daemon beside it, and calls again
// through other daemons.
type caller struct {
	world   *World
	number  int
	process *simulation.Process
	sent    int
}

// operator edits the table through a daemon.
type operator struct {
	world   *World
	name    string
	process *simulation.Process
	edits   int
}

func (w *World) buildActors() {
	if !w.options.TableOnly {
		for _, each := range w.slots {
			created := &caller{world: w, number: each.number}
			created.process = w.engine.NewProcess(fmt.Sprintf("caller-%d", each.number), each.place)
			w.callers = append(w.callers, created)
			created.process.After(time.Second+w.jitter(queryEvery), created.query)
			created.process.After(time.Second+w.jitter(callEvery), created.call)
		}
		w.engine.After(publishEvery, w.indexer.run)
	}
	for number := range operatorsOfSite {
		created := &operator{world: w, name: fmt.Sprintf("operator-%d", number)}
		created.process = w.engine.NewProcess(created.name, w.places[number])
		w.operators = append(w.operators, created)
		created.process.After(time.Second+w.jitter(editEvery), created.edit)
	}
}

// deliver carries a caller's request to a daemon; refused happens when the
// daemon provably took nothing.
func (w *World) deliver(from *simulation.Process, to *daemon, take func(), refused func()) {
	if !to.process.Alive() || to.closed {
		from.After(simulation.ClientDelay, refused)
		return
	}
	to.process.After(simulation.ClientDelay, func() {
		if to.closed {
			from.After(simulation.ClientDelay, refused)
			return
		}
		take()
	})
}

// daemonFor returns the daemon beside a caller, or the next that takes
// requests.
func (w *World) daemonFor(number int) *daemon {
	for i := range w.slots {
		found := w.slots[(number+i)%len(w.slots)].daemon
		if found.process.Alive() && !found.stopping {
			return found
		}
	}
	return w.slots[number%len(w.slots)].daemon
}

func (c *caller) query() {
	w := c.world
	if w.quiet {
		return
	}
	c.process.After(queryEvery/2+w.jitter(queryEvery), c.query)
	c.sent++
	asked := fmt.Sprintf("q%d.%d", c.number, c.sent)
	request := client.Query{Group: "agents", Caller: asked, Corpus: corpusName, Limit: 500}
	if w.engine.Random().IntN(fullSearchOdds) == 0 {
		request.Phrase = asked
	} else {
		request.Card = asked
	}
	record := &queryRecord{asked: asked, sent: w.engine.Now()}
	w.checks.querySent(record)
	target := w.daemonFor(c.number)
	w.deliver(c.process, target, func() { c.serve(target, request, record) }, func() {})
}

// serve runs a query at a daemon.
func (c *caller) serve(target *daemon, request client.Query, record *queryRecord) {
	w := c.world
	target.inFlight++
	ctx := newContext(target.process)
	if w.engine.Random().IntN(leaveEarlyOdds) == 0 {
		target.process.After(w.jitter(leaveWithin), func() { ctx.cancel(context.Canceled) })
	}
	w.spawn(target.process, func(t *task) { t.query = record }, func() {
		answer, err := target.answer(ctx, request)
		target.inFlight--
		c.process.After(simulation.ClientDelay, func() { w.checks.queryAnswered(record, &answer, err) })
	})
}

// answer is the daemon's callers' port.
func (d *daemon) answer(ctx context.Context, request client.Query) (client.Answer, error) {
	if !d.fresh() {
		return client.Answer{}, failure.New(failure.NoTable, "the process was paused")
	}
	d.world.checks.queryStarts(d)
	return d.search.Search(ctx, request)
}

// newQueryID names a query and ties the name to what its caller asked.
func (d *daemon) newQueryID() string {
	id := d.world.newID()
	d.world.checks.queryNamed(d.world.current.query, id)
	return id
}

func (c *caller) call() {
	w := c.world
	if w.quiet {
		return
	}
	c.process.After(callEvery/2+w.jitter(callEvery), c.call)
	c.sent++
	services := w.layout.callGroups()
	request := client.Call{
		Group: "clerks", Key: fmt.Sprintf("key-%d.%d", c.number, c.sent), Operation: "credit",
		Service:              services[w.engine.Random().IntN(len(services))],
		DeadlineMilliseconds: callDeadline.Milliseconds(),
	}
	c.tryCall(request, c.number, 1)
	if w.engine.Random().IntN(impatientOdds) == 0 {
		c.process.After(w.jitter(50*time.Millisecond), func() { c.tryCall(request, c.number+1, callTries) })
	}
}

// tryCall sends a call, and sends it again through the next daemon until its
// outcome is known.
func (c *caller) tryCall(request client.Call, number, try int) {
	w := c.world
	ended := false
	again := func() {
		if !ended && try < callTries {
			c.process.After(w.jitter(500*time.Millisecond), func() { c.tryCall(request, number+1, try+1) })
		}
		ended = true
	}
	c.process.After(callPatience, again)
	target := w.daemonFor(number)
	w.deliver(c.process, target, func() {
		target.inFlight++
		started := target.calls.begin(request, func(answer once.Action) {
			target.inFlight--
			w.tracef("call %s by %s answered %v", request.Key, target.id, answer.Failure)
			c.process.After(simulation.ClientDelay, func() {
				if answer.Failure != nil {
					again()
					return
				}
				ended = true
				w.checks.callSucceeded(request.Key)
			})
		})
		if w.engine.Random().IntN(leaveEarlyOdds) == 0 {
			target.process.After(w.jitter(leaveWithin), func() {
				started.step(once.Event{Kind: once.EventGiveUp, Reason: once.CallerCanceled})
			})
		}
	}, again)
}

func (o *operator) edit() {
	w := o.world
	if w.quiet {
		return
	}
	o.process.After(editEvery/2+w.jitter(editEvery), o.edit)
	o.edits++
	row := policy.DefaultRow(fmt.Sprintf("%s-row-%d", o.name, o.edits))
	edit := policytable.Edit{ID: fmt.Sprintf("%s-edit-%d", o.name, o.edits), Author: o.name, SetPolicies: []policy.Row{row}}
	o.apply(edit, 1)
}

// restoreDelay is the time that an operator takes to decide on a restore.
const restoreDelay = 5 * time.Second

// editTries is how often an operator applies one change.
const editTries = 5

// apply sends an edit to some daemon until it is known to be accepted.
func (o *operator) apply(edit policytable.Edit, try int) {
	w := o.world
	target := w.daemonFor(w.engine.Random().IntN(len(w.slots)))
	ended := false
	again := func() {
		if !ended && try < editTries {
			o.process.After(w.jitter(time.Second), func() { o.apply(edit, try+1) })
		}
		ended = true
	}
	const patience = 6 * time.Second
	o.process.After(patience, again)
	w.checks.editBegins(edit.ID)
	w.deliver(o.process, target, func() {
		w.spawn(target.process, nil, func() {
			change, err := target.editor.Apply(context.Background(), edit)
			w.tracef("edit %s at %s: revision %d %v", edit.ID, target.id, change.Revision, err)
			if err == nil {
				w.checks.editAccepted(edit.ID, edit.SetPolicies[0].Name, change.Revision)
			}
			if err != nil && failure.KindOf(err) == failure.StoreRegressed {
				w.sleep(restoreDelay)
				o.restore(target)
			}
			o.process.After(simulation.ClientDelay, func() {
				if err != nil {
					again()
					return
				}
				ended = true
			})
		})
	}, again)
}

// restore brings the table in force back to a store that lost it.
func (o *operator) restore(target *daemon) {
	change, err := target.editor.Restore(context.Background(), o.name)
	o.world.tracef("restore by %s at %s: revision %d %v", o.name, target.id, change.Revision, err)
}
