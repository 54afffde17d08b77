package system

import "time"

// callChecks is what back ends did for calls.
type callChecks struct {
	flights    []*flight
	executions map[string]int
	succeeded  map[string]bool
}

func newCallChecks() callChecks {
	return callChecks{executions: make(map[string]int), succeeded: make(map[string]bool)}
}

func (c *checks) flightBegins(f *flight) {
	c.figures.Calls++
	c.calls.flights = append(c.calls.flights, f)
}

func (c *checks) ranCall(key string, whose *flight, b *backend) {
	c.figures.Executions++
	c.calls.executions[key]++
	whose.executions++
	c.world.tracef("call %s runs at %s for %s", key, replicaName(b), whose.record.Holder)
	if c.calls.executions[key] > 1 {
		c.world.violate(PromiseOnce, "call %s ran %d times, now at %s for %s", key, c.calls.executions[key],
			replicaName(b), whose.record.Holder)
	}
}

func (c *checks) callSucceeded(key string) {
	c.calls.succeeded[key] = true
	if c.calls.executions[key] == 0 {
		c.world.violate(PromiseOnce, "call %s was answered and never ran", key)
	}
}

// regressionFound: calls are refused only if the store did go back.
func (c *checks) regressionFound(d *daemon) {
	c.figures.Regressions++
	c.world.foundAt = c.world.engine.Now()
	if c.world.store.restores == 0 {
		c.world.violate(Recovery, "%s refuses calls, though the store was never restored", d.id)
	}
}

// finishRegressions: no daemon refuses calls still, a while after an operator
// has let them go on.
func (c *checks) finishRegressions() {
	const heardWithin = 5 * time.Second
	w := c.world
	if w.acknowledgedAt < w.foundAt || w.engine.Now()-w.acknowledgedAt < heardWithin {
		return
	}
	for _, each := range w.slots {
		if each.daemon.calls.fence.Admit() != nil {
			w.violate(Recovery, "%s refuses calls, though that was acknowledged at %v", each.daemon.id, w.acknowledgedAt)
		}
	}
}

// finishCalls: a call told as not run did not run, even later.
func (c *checks) finishCalls() {
	c.figures.Keys = len(c.calls.executions)
	for _, one := range c.calls.flights {
		if one.saidNotRun {
			c.figures.NotRunClaims++
		}
		if one.saidNotRun && one.executions > 0 {
			c.world.violate(PromiseNotRun, "call %s at %s was refused as not run, and ran", one.call.Key, one.record.Holder)
		}
	}
}
