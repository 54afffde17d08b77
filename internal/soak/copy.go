package soak

import (
	"fmt"
	"time"

	"github.com/doorpond/doorpond/internal/standin/kv"
)

const (
	// backupAge is the age of the backup from which the store is restored.
	backupAge = 2 * time.Second
	// republishDelay is the time from the restore until replicas and operators
	// write their entries again.
	republishDelay = time.Second
	// maxReads bounds each node's reads of the store after a restore, including
	// those caused by concurrent faults.
	maxReads = 20
)

// restoreStore restores the store from a backup and checks that nodes do not
// reread it in a loop. It records a configuration change to be checked once the
// nodes are in contact with the store.
func (w *cluster) restoreStore(fault Fault) error {
	end := w.recordFault(fault.Kind, nil)
	revision := w.deployment.Store.Memory.Revision()
	time.Sleep(backupAge)
	before := w.deployment.Store.RangeCalls()
	if err := w.deployment.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		return err
	}
	time.Sleep(fault.For)
	if err := w.restoreRevision(revision); err != nil {
		return err
	}
	end()
	time.Sleep(contactTime)
	if readings, most := w.deployment.Store.RangeCalls()-before, maxReads*len(w.nodes); readings > most {
		w.addNote(fmt.Sprintf("the nodes read the store %d times, of %d allowed, when it was back from a copy", readings, most))
	}
	w.configuring.Lock()
	defer w.configuring.Unlock()
	w.recordChange(storeChange{at: time.Now(), shards: w.shards})
	return nil
}

// restoreRevision resets the store to a revision and publishes the later entries
// again; no other writes happen in between.
func (w *cluster) restoreRevision(revision int64) error {
	w.configuring.Lock()
	defer w.configuring.Unlock()
	w.fleet.Lock()
	defer w.fleet.Unlock()
	if err := w.deployment.RestoreStore(revision); err != nil {
		return err
	}
	if err := w.deployment.Store.SetFaults(kv.Faults{}); err != nil {
		return err
	}
	time.Sleep(republishDelay)
	return w.deployment.Republish()
}
