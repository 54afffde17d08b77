package system

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/store"
)

// EditOperation is one application of a change, for the check of
// linearizability. Revision is 0 while its outcome is not known.
type EditOperation struct {
	ID         string
	Begin, End time.Duration
	Revision   uint64
}

// tableChecks is what became of the table.
type tableChecks struct {
	// committedAt is when a revision was first in the store.
	committedAt  map[uint64]time.Duration
	bodies       map[uint64][]byte
	lastRevision map[*daemon]uint64
	modRevision  int64
	highest      document.Document
	operations   []*EditOperation
	accepted     []acceptedRow
}

// acceptedRow is a row that an operator was told is in the table.
type acceptedRow struct {
	name     string
	revision uint64
}

func newTableChecks() tableChecks {
	return tableChecks{
		committedAt: make(map[uint64]time.Duration), bodies: make(map[uint64][]byte),
		lastRevision: make(map[*daemon]uint64),
	}
}

// storeCommitted notes a new revision of the table in the store.
func (c *checks) storeCommitted(values map[string]store.KeyValue) {
	held := values[document.Table.Key()]
	if held.ModRevision == c.table.modRevision {
		return
	}
	c.table.modRevision = held.ModRevision
	version, err := document.Parse(document.Table, held.Value)
	if err != nil {
		c.world.violate(PromiseTable, "the store holds no table: %v", err)
		return
	}
	if _, known := c.table.committedAt[version.Revision]; !known {
		c.table.committedAt[version.Revision] = c.world.engine.Now()
		c.figures.Changes++
	}
}

func (c *checks) storeRestored(values map[string]store.KeyValue) {
	c.table.modRevision = values[document.Table.Key()].ModRevision
}

// tableGoal is how soon a change must be in force on every node, and
// largeGoal the same for sizes over today's.
const (
	tableGoal  = 2 * time.Second
	largeGoal  = 5 * time.Second
	largeNodes = 100
)

func (c *checks) goal() time.Duration {
	if c.world.options.Nodes > largeNodes {
		return largeGoal
	}
	return tableGoal
}

// disturbsTable are the faults that delay a change.
func disturbsTable(kind FaultKind) bool { return kind.disturbs() || kind.disturbsStore() }

// inForce checks a version that came into force on a daemon.
func (c *checks) inForce(d *daemon, version document.Document) {
	if version.Name != document.Table {
		return
	}
	last := c.table.lastRevision[d]
	c.world.tracef("table %d in force on %s", version.Revision, d.id)
	if version.Revision <= last {
		c.world.violate(PromiseTable, "%s went from revision %d to %d", d.id, last, version.Revision)
	}
	c.table.lastRevision[d] = version.Revision
	body, known := c.table.bodies[version.Revision]
	if known && !sameBody(body, version.Body) {
		c.world.violate(PromiseTable, "two tables of revision %d are in force", version.Revision)
	}
	c.table.bodies[version.Revision] = version.Body
	if version.Revision > c.table.highest.Revision {
		c.table.highest = version
	}
	if last > 0 {
		c.measureSpread(d, last, version.Revision)
	}
}

// sameBody compares two bodies, which mostly share their memory.
func sameBody(one, other []byte) bool { return &one[0] == &other[0] || bytes.Equal(one, other) }

// measureSpread takes the time of each revision that is now in force.
func (c *checks) measureSpread(d *daemon, last, revision uint64) {
	now := c.world.engine.Now()
	for passed := last + 1; passed <= revision; passed++ {
		committed, known := c.table.committedAt[passed]
		if !known || !c.undisturbed(committed, now, disturbsTable) {
			continue
		}
		c.figures.TableLongest = max(c.figures.TableLongest, now-committed)
		if now-committed > c.goal() {
			c.world.violate(PromiseTable, "revision %d was in force on %s only after %v", passed, d.id, now-committed)
		}
	}
}

// staleGoal is the greatest age of a table by which a daemon that can hear
// others answers.
const staleGoal = 5 * time.Second

// queryStarts: a daemon that was frozen does not answer by an old table.
func (c *checks) queryStarts(d *daemon) {
	version, found := d.register.Current(document.Table)
	if !found {
		return // it refuses, for want of a table
	}
	committed, newer := c.table.committedAt[version.Revision+1]
	now := c.world.engine.Now()
	heard := func(kind FaultKind) bool { return disturbsTable(kind) && kind != FreezeDaemon }
	if newer && now-committed > staleGoal && c.undisturbed(committed, now, heard) {
		c.world.violate(PromiseTable, "%s answers by revision %d, %v after the next one", d.id, version.Revision, now-committed)
	}
}

func (c *checks) editBegins(id string) {
	c.table.operations = append(c.table.operations, &EditOperation{ID: id, Begin: c.world.engine.Now()})
}

func (c *checks) editAccepted(id, row string, revision uint64) {
	c.table.accepted = append(c.table.accepted, acceptedRow{name: row, revision: revision})
	for _, one := range c.table.operations {
		if one.ID == id && one.Revision == 0 {
			one.End, one.Revision = c.world.engine.Now(), revision
		}
	}
}

// finishTable: no accepted change is lost.
func (c *checks) finishTable() {
	table := &policy.Table{}
	if err := json.Unmarshal(c.table.highest.Body, table); err != nil {
		c.world.violate(PromiseTable, "no table is in force: %v", err)
		return
	}
	c.figures.Accepted = len(c.table.accepted)
	for _, row := range c.table.accepted {
		if !slices.ContainsFunc(table.Policies, func(held policy.Row) bool { return held.Name == row.name }) {
			c.world.violate(PromiseTable, "%s, accepted at revision %d, is not in revision %d", row.name, row.revision, table.Revision)
		}
	}
}

// finishRecovery: every daemon has the newest documents and knows all others,
// and the last queries were answered whole.
func (c *checks) finishRecovery() {
	for _, each := range c.world.slots {
		d := each.daemon
		version, _ := d.register.Current(document.Table)
		if version.Revision != c.table.highest.Revision {
			c.world.violate(Recovery, "%s has revision %d of %d", d.id, version.Revision, c.table.highest.Revision)
		}
		if known := len(d.core.Members()); known != len(c.world.slots) {
			c.world.violate(Recovery, "%s knows %d daemons of %d", d.id, known, len(c.world.slots))
		}
	}
	settled := c.world.plan.quietAt - recoveryTail
	for _, record := range c.queries.records {
		if record.sent >= settled && !record.complete && !record.canceled {
			c.world.violate(Recovery, "query %s, sent at %v, was not answered whole: %s", record.asked, record.sent, record.outcome)
		}
	}
}

// recoveryTail is the last part of the work, which must go without faults.
const recoveryTail = 4 * time.Second
