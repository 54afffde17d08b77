package system

import (
	"fmt"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/machines"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/simulation"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// usualLag is how old the machine list's readings are.
const usualLag = 6 * time.Second

// machineList is the platform's list, which lags.
type machineList struct {
	world   *World
	process *simulation.Process
	lag     time.Duration
	past    []listReading
}

type listReading struct {
	at   time.Duration
	list machines.List
}

func newMachineList(w *World) *machineList {
	created := &machineList{world: w, process: w.engine.NewProcess("list", w.places[0]), lag: usualLag}
	created.observe()
	return created
}

// listPeriod is how often the platform looks at its machines.
const listPeriod = 500 * time.Millisecond

func (l *machineList) observe() {
	l.past = append(l.past, listReading{at: l.world.engine.Now(), list: l.present()})
	const kept = 64
	if len(l.past) > kept {
		l.past = slices.Delete(l.past, 0, 1)
	}
	l.process.After(listPeriod, l.observe)
}

func (l *machineList) present() machines.List {
	list := machines.List{Daemons: l.daemons()}
	for _, one := range l.world.backends {
		if !one.process.Alive() {
			continue
		}
		state := topology.ReplicaServing
		if one.leaving {
			state = topology.ReplicaLeaving
		}
		list.Replicas = append(list.Replicas, topology.Replica{
			Address: one.address, Incarnation: one.incarnationName(), Group: one.group, Place: one.place,
			State: state, Slots: one.service.slots, ConnectionLimit: one.service.connections,
		})
	}
	return list
}

func (l *machineList) daemons() []string {
	const listed = 8
	var addresses []string
	for _, each := range l.world.slots {
		if len(addresses) < listed {
			addresses = append(addresses, each.address)
		}
	}
	return addresses
}

// read returns the newest reading that is older than the lag.
func (l *machineList) read() machines.List {
	until := l.world.engine.Now() - l.lag
	for i := len(l.past) - 1; i > 0; i-- {
		if l.past[i].at <= until {
			return l.past[i].list
		}
	}
	return l.past[0].list
}

// The indexer's habits.
const (
	publishEvery  = 4 * time.Second
	keptSnapshots = 2
	loadWithin    = 2 * time.Second
	retireAfter   = 1500 * time.Millisecond
	leastShards   = 2
	shardSpread   = 5
	corpusName    = "corpus"
)

// indexer publishes snapshots, each with another number of shards.
type indexer struct {
	world    *World
	revision uint64
	kept     []catalogue.Snapshot
}

func newIndexer(w *World) *indexer {
	created := &indexer{world: w, revision: 1}
	created.kept = []catalogue.Snapshot{created.snapshot(1)}
	return created
}

func (x *indexer) snapshot(id uint64) catalogue.Snapshot {
	groups := x.world.layout.shardGroups()
	made := catalogue.Snapshot{ID: id}
	for _, name := range x.world.layout.indexes {
		index := catalogue.Index{Name: name}
		for range leastShards + x.world.engine.Random().IntN(shardSpread) {
			index.Groups = append(index.Groups, groups[x.world.engine.Random().IntN(len(groups))])
		}
		made.Indexes = append(made.Indexes, index)
	}
	return made
}

func (x *indexer) body() []byte {
	return encode(catalogue.Catalogue{
		Revision: x.revision,
		Corpora:  []catalogue.Corpus{{Name: corpusName, Snapshots: x.kept}},
	})
}

// run publishes a snapshot now and then; back ends load it a while before or
// after, and drop the oldest a while later.
func (x *indexer) run() {
	if x.world.quiet {
		return
	}
	x.world.engine.After(publishEvery, x.run)
	next := x.snapshot(x.kept[len(x.kept)-1].ID + 1)
	for _, one := range x.world.backends {
		one.process.After(x.world.jitter(loadWithin), func() { one.held[next.ID] = true })
	}
	x.world.engine.After(loadWithin/2, func() { x.publish(next) })
}

func (x *indexer) publish(next catalogue.Snapshot) {
	x.kept = append(slices.Clone(x.kept), next)
	if len(x.kept) > keptSnapshots {
		retired := x.kept[0].ID
		x.kept = slices.Delete(x.kept, 0, 1)
		for _, one := range x.world.backends {
			one.process.After(x.world.jitter(retireAfter), func() { delete(one.held, retired) })
		}
	}
	x.revision++
	x.world.checks.queries.published[next.ID] = next
	x.world.tracef("publish snapshot %d", next.ID)
	x.world.store.commitAll([]store.Transaction{{Writes: []store.Write{{Key: document.Catalogue.Key(), Value: x.body()}}}})
}

// seedStore writes the first table and catalogue.
func (w *World) seedStore() {
	table := policy.DefaultTable()
	table.Revision = 1
	table.Policies[0].Retry.BudgetRatio = 1
	table.Policies[0].Revision = 1
	w.store.commitAll([]store.Transaction{{Writes: []store.Write{
		{Key: document.Table.Key(), Value: encode(table)},
		{Key: document.Catalogue.Key(), Value: w.indexer.body()},
	}}})
}

// replicaName is how traces name a back end.
func replicaName(b *backend) string { return fmt.Sprintf("%s/%s", b.group, b.name()) }
