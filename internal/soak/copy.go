package soak

import (
	"fmt"
	"time"

	"github.com/doorpond/doorpond/internal/standin/kv"
)

const (
	// copyAge is how old the copy is from which the store comes back.
	copyAge = 2 * time.Second
	// rewriteAfter is how long after its return replicas and operators write again.
	rewriteAfter = time.Second
	// mostReadings is the number of readings of the store that each node may make of such a
	// return, with those that other faults beside it cause. (Three nodes that took the
	// highest revision for the newest made 5,000 in 3 s.)
	mostReadings = 20
)

// restoreStore lets the store come back from a copy, and checks that the nodes do not read it
// again and again. That the newest configuration is in force is checked once they are in
// touch again.
func (w *world) restoreStore(fault Fault) error {
	end := w.noted(fault.Kind, nil)
	copied := w.deployment.Store.Memory.Revision()
	time.Sleep(copyAge)
	before := w.deployment.Store.RangeCalls()
	if err := w.deployment.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		return err
	}
	time.Sleep(fault.For)
	if err := w.returnFromCopy(copied); err != nil {
		return err
	}
	end()
	time.Sleep(contactTime)
	if readings, most := w.deployment.Store.RangeCalls()-before, mostReadings*len(w.nodes); readings > most {
		w.note(fmt.Sprintf("the nodes read the store %d times, of %d allowed, when it was back from a copy", readings, most))
	}
	w.configuring.Lock()
	defer w.configuring.Unlock()
	w.markNews(news{at: time.Now(), shards: w.shards})
	return nil
}

// returnFromCopy makes the store what it was at a revision. Nothing else is written until what
// was written since is written again.
func (w *world) returnFromCopy(copied int64) error {
	w.configuring.Lock()
	defer w.configuring.Unlock()
	w.fleet.Lock()
	defer w.fleet.Unlock()
	if err := w.deployment.RestoreStore(copied); err != nil {
		return err
	}
	if err := w.deployment.Store.SetFaults(kv.Faults{}); err != nil {
		return err
	}
	time.Sleep(rewriteAfter)
	return w.deployment.Republish()
}
