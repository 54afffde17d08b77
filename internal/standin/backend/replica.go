package backend

import (
	"maps"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/corpus"
)

// Replica is one stand-in back end. It is an http.Handler and is safe for
// concurrent use.
type Replica struct {
	options   Options
	mux       *http.ServeMux
	indexes   *indexes
	slots     *slots
	stopwatch *stopwatch
	faults    faultState
	draining  atomic.Bool
	counters  counters

	mutex      sync.Mutex
	executions map[string]int
}

// New makes a replica that holds nothing.
func New(options Options) *Replica {
	options = options.withDefaults()
	replica := &Replica{
		options:    options,
		mux:        http.NewServeMux(),
		indexes:    newIndexes(),
		slots:      newSlots(options.Slots, options.QueueLimit),
		stopwatch:  newStopwatch(options.Timing, options.Seed),
		executions: make(map[string]int),
	}
	replica.route()
	return replica
}

// Options returns the replica's settings, defaults filled in.
func (r *Replica) Options() Options { return r.options }

// Hold adds one shard of one index in one snapshot.
func (r *Replica) Hold(snapshot uint64, index string, shard, shards int, content *corpus.Shard) {
	key := shardKey{snapshot: snapshot, index: index, shard: shard, shards: shards}
	r.indexes.add(key, content)
}

// Retire drops the shards of one index in one snapshot.
func (r *Replica) Retire(snapshot uint64, index string) { r.indexes.retire(index, snapshot) }

// Drain makes the replica refuse new requests for good and finish those that
// it has.
func (r *Replica) Drain() { r.draining.Store(true) }

// SetFaults replaces the faults in force.
func (r *Replica) SetFaults(faults Faults) { r.faults.set(faults, r.truth()) }

// SetTiming replaces the service times.
func (r *Replica) SetTiming(timing Timing) { r.stopwatch.set(timing) }

// Executions returns how often the operation of each key was run.
func (r *Replica) Executions() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.executions)
}

func (r *Replica) countExecution(key string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.executions[key]++
	return r.executions[key]
}

// truth is the status without lag and lies.
func (r *Replica) truth() backendapi.Status {
	state := backendapi.StateServing
	switch {
	case r.draining.Load():
		state = backendapi.StateDraining
	case r.stopwatch.cold():
		state = backendapi.StateCold
	}
	return backendapi.Status{
		Incarnation: r.options.Incarnation,
		State:       state,
		Load:        r.slots.load(),
		Snapshots:   r.indexes.snapshots(),
	}
}

// showsDraining is what replies say of the drain.
func (r *Replica) showsDraining() bool {
	return r.draining.Load() && !r.faults.current().HideDrain
}
