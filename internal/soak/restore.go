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
func (c *cluster) restoreStore(fault Fault) error {
	end := c.recordFault(fault.Kind, nil)
	revision := c.deployment.Store.Memory.Revision()
	time.Sleep(backupAge)
	before := c.deployment.Store.RangeCalls()
	if err := c.deployment.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		return err
	}
	time.Sleep(fault.For)
	if err := c.restoreRevision(revision); err != nil {
		return err
	}
	end()
	time.Sleep(contactTime)
	if reads, limit := c.deployment.Store.RangeCalls()-before, maxReads*len(c.nodes); reads > limit {
		c.addNote(fmt.Sprintf("the nodes read the store %d times, of %d allowed, when it was back from a copy", reads, limit))
	}
	c.configMu.Lock()
	defer c.configMu.Unlock()
	c.recordChange(storeChange{at: time.Now(), shards: c.shards})
	return nil
}

// restoreRevision resets the store to a revision and publishes the later entries
// again; no other writes happen in between.
func (c *cluster) restoreRevision(revision int64) error {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	c.replicasMu.Lock()
	defer c.replicasMu.Unlock()
	if err := c.deployment.RestoreStore(revision); err != nil {
		return err
	}
	if err := c.deployment.Store.SetFaults(kv.Faults{}); err != nil {
		return err
	}
	time.Sleep(republishDelay)
	return c.deployment.Republish()
}
