package system

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
