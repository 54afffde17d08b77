package system

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/doorpond/doorpond/internal/simulation"
	"github.com/doorpond/doorpond/internal/store"
)

// storeServer is the simulated key-value service.
type storeServer struct {
	world    *World
	process  *simulation.Process
	values   map[string]store.KeyValue
	revision int64
	past     []storeState
	watchers []*storeWatch

	// refuse answers every request with an error; silent answers none.
	refuse, silent bool
	// slow delays each request before it takes effect.
	slow time.Duration
	// loseAnswer and loseRequest are probabilities.
	loseAnswer, loseRequest float64
	// stale serves reads from the state of so long ago.
	stale time.Duration
	// restores counts how often an older state was brought back.
	restores int
}

// storeState is the state after one commit.
type storeState struct {
	at       time.Duration
	values   map[string]store.KeyValue
	revision int64
}

// storeWatch is one open watch.
type storeWatch struct {
	client  *daemon
	prefix  string
	deliver func(store.WatchBatch)
	// notice tells the client that the watch has ended.
	notice func()
	broken bool
	// delivered is the revision up to which the client was told everything.
	delivered int64
}

func newStoreServer(w *World) *storeServer {
	return &storeServer{
		world: w, process: w.engine.NewProcess("store", w.places[0]),
		values: make(map[string]store.KeyValue),
	}
}

func (s *storeServer) commitAll(transactions []store.Transaction) []store.Outcome {
	s.revision++
	outcomes := make([]store.Outcome, 0, len(transactions))
	var events []store.Event
	for _, transaction := range transactions {
		outcome := s.compare(transaction.Compares)
		if outcome.Applied {
			events = append(events, s.write(transaction.Writes)...)
		}
		outcomes = append(outcomes, outcome)
	}
	if len(events) == 0 {
		s.revision-- // as in etcd, only writes count
	}
	for at := range outcomes {
		outcomes[at].Revision = s.revision
	}
	s.remember()
	s.world.checks.storeCommitted(s.values)
	s.notify(events)
	return outcomes
}

func (s *storeServer) compare(compares []store.Compare) store.Outcome {
	outcome := store.Outcome{Applied: true}
	for _, one := range compares {
		value, found := s.values[one.Key]
		if one.Absent == found || (found && value.ModRevision != one.ModRevision) {
			outcome.Applied = false
		}
		if found {
			outcome.Current = append(outcome.Current, value)
		}
	}
	if outcome.Applied {
		outcome.Current = nil
	}
	return outcome
}

func (s *storeServer) write(writes []store.Write) []store.Event {
	events := make([]store.Event, 0, len(writes))
	for _, one := range writes {
		value := store.KeyValue{Key: one.Key, Value: one.Value, ModRevision: s.revision, CreateRevision: s.revision}
		if one.Delete {
			delete(s.values, one.Key)
		} else {
			s.values[one.Key] = value
		}
		events = append(events, store.Event{KeyValue: value, Deleted: one.Delete})
	}
	return events
}

// remembered is the number of past states kept, for stale reads and restores.
const remembered = 512

func (s *storeServer) remember() {
	if len(s.past) == remembered {
		s.past = slices.Delete(s.past, 0, remembered/2)
	}
	s.past = append(s.past, storeState{at: s.world.engine.Now(), values: maps.Clone(s.values), revision: s.revision})
}

// stateAt returns the state at a time in the past, the oldest kept if that is
// later.
func (s *storeServer) stateAt(at time.Duration) storeState {
	for i := len(s.past) - 1; i > 0; i-- {
		if s.past[i].at <= at {
			return s.past[i]
		}
	}
	return s.past[0]
}

// readable is the state that reads see.
func (s *storeServer) readable() storeState {
	if s.stale > 0 {
		return s.stateAt(s.world.engine.Now() - s.stale)
	}
	return storeState{values: s.values, revision: s.revision}
}

func (s *storeServer) list(prefix string) ([]store.KeyValue, int64) {
	state := s.readable()
	var found []store.KeyValue
	for key, value := range state.values {
		if strings.HasPrefix(key, prefix) {
			found = append(found, value)
		}
	}
	slices.SortFunc(found, func(a, b store.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return found, state.revision
}

// restore brings back the state of a while ago.
func (s *storeServer) restore(ago time.Duration) {
	older := s.stateAt(s.world.engine.Now() - ago)
	s.values = maps.Clone(older.values)
	s.revision = older.revision
	s.restores++
	s.world.checks.storeRestored(s.values)
	s.breakWatches(true)
}

// watchTimeout is how long a client needs to notice that its watch broke.
const watchTimeout = 2 * time.Second

// breakWatches ends every watch, with or without a sign to its client.
func (s *storeServer) breakWatches(noticed bool) {
	for _, one := range s.watchers {
		one.end(noticed)
	}
	s.watchers = nil
}

func (o *storeWatch) end(noticed bool) {
	o.broken = true
	if noticed {
		o.client.process.After(watchTimeout, o.notice)
	}
}

// notify sends a batch to each watch. A batch that does not get through
// breaks its watch, as a connection would.
func (s *storeServer) notify(events []store.Event) {
	if s.silent {
		s.breakWatches(true)
		return
	}
	for _, one := range s.watchers {
		batch := store.WatchBatch{Revision: s.revision}
		for _, event := range events {
			if strings.HasPrefix(event.KeyValue.Key, one.prefix) {
				batch.Events = append(batch.Events, event)
			}
		}
		if len(batch.Events) == 0 {
			continue
		}
		if !s.process.Alive() || !one.client.process.Alive() || !s.world.network.Reachable(s.process, one.client.process) {
			one.end(true)
			continue
		}
		s.world.network.Send(s.process, one.client.process, func() { one.deliver(batch) })
	}
	s.watchers = slices.DeleteFunc(s.watchers, func(one *storeWatch) bool { return one.broken })
}
