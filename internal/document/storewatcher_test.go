package document_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/store"
)

// fakeStore holds a single table. Its lists and watches can fail, and its watches can
// stop delivering events.
type fakeStore struct {
	mutex    sync.Mutex
	revision int64
	table    uint64
	body     string
	listErr  error
	watchErr error
	silent   bool
	changed  chan struct{}
	lists    int
	watches  int
	// deadWatches is the number of initial watches that deliver no events.
	deadWatches int
}

func newFakeStore(table uint64) *fakeStore {
	return &fakeStore{revision: 1, table: table}
}

func (s *fakeStore) change(update func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	update()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) valueLocked() store.KeyValue {
	body := []byte(s.body)
	if s.body == "" {
		body = tableVersion(s.table).Body
	}
	return store.KeyValue{Key: document.Table.Key(), Value: body, ModRevision: s.revision}
}

func (s *fakeStore) Get(context.Context, string) (store.KeyValue, bool, int64, error) {
	panic("unexpected Get")
}

func (s *fakeStore) List(context.Context, string, int) ([]store.KeyValue, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lists++
	if s.listErr != nil {
		return nil, 0, s.listErr
	}
	if s.table == 0 && s.body == "" {
		return nil, s.revision, nil
	}
	return []store.KeyValue{s.valueLocked()}, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, from int64, deliver func(store.WatchBatch) error) error {
	s.mutex.Lock()
	s.watches++
	dead := s.watches <= s.deadWatches
	s.mutex.Unlock()
	for {
		s.mutex.Lock()
		changed, err := s.changed, s.watchErr
		ready := s.revision >= from && !s.silent && !dead
		batch := store.WatchBatch{Revision: s.revision, Events: []store.Event{{KeyValue: s.valueLocked()}}}
		from = max(from, s.revision+1)
		s.mutex.Unlock()
		if err != nil {
			return err
		}
		if ready {
			if err := deliver(batch); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (s *fakeStore) requests() (lists, watches int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lists, s.watches
}

// testWatcher is a running StoreWatcher and the parts that it uses.
type testWatcher struct {
	store    *fakeStore
	register *document.Register
	board    *blackboard.Board
	elected  atomic.Bool
}

func (w *testWatcher) revision() uint64 {
	current, _ := w.register.Current(document.Table)
	return current.Revision
}

func runWatcher(t *testing.T, fake *fakeStore, check func(*testWatcher)) {
	synctest.Test(t, func(t *testing.T) {
		fake.changed = make(chan struct{}) // must be created inside the synctest bubble
		w := &testWatcher{store: fake, register: document.NewRegister(), board: &blackboard.Board{}}
		w.elected.Store(true)
		watcher := document.NewStoreWatcher(document.StoreWatcherOptions{
			Store: fake, Register: w.register, Board: w.board, Elected: w.elected.Load,
			Random: rand.New(rand.NewPCG(1, 2)),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- watcher.Run(ctx) }()
		synctest.Wait()
		check(w)
		cancel()
		<-done
	})
}

func TestStoreWatcherTracksStore(t *testing.T) {
	cases := []struct {
		name   string
		before func(*fakeStore)
		change func(*testWatcher)
		// within is the time after the change at which the result is checked.
		within        time.Duration
		wantRevision  uint64
		wantReachable bool
		wantRegressed bool
	}{
		{name: "initial list", change: func(*testWatcher) {}, wantRevision: 3, wantReachable: true},
		{name: "changed table", change: func(w *testWatcher) { w.store.change(func() { w.store.table = 4 }) },
			wantRevision: 4, wantReachable: true},
		{name: "silent watch", before: func(s *fakeStore) { s.silent = true },
			change: func(w *testWatcher) { w.store.change(func() { w.store.table = 4 }) },
			within: 15 * time.Second, wantRevision: 4, wantReachable: true},
		{name: "watch compacted", change: func(w *testWatcher) {
			w.store.change(func() { w.store.watchErr = store.ErrCompacted })
			w.store.change(func() { w.store.watchErr, w.store.table = nil, 4 })
		}, within: time.Second, wantRevision: 4, wantReachable: true},
		{name: "outage", change: func(w *testWatcher) {
			w.store.change(func() { w.store.watchErr, w.store.listErr = store.ErrUnavailable, store.ErrUnavailable })
		}, within: time.Minute, wantRevision: 3},
		{name: "end of outage", change: func(w *testWatcher) {
			w.store.change(func() { w.store.watchErr, w.store.listErr = store.ErrUnavailable, store.ErrUnavailable })
			time.Sleep(time.Hour) // virtual
			w.store.change(func() { w.store.watchErr, w.store.listErr, w.store.table = nil, nil, 4 })
		}, within: 10 * time.Second, wantRevision: 4, wantReachable: true},
		{name: "older table", change: func(w *testWatcher) { w.store.change(func() { w.store.table = 2 }) },
			within: time.Second, wantRevision: 3, wantReachable: true, wantRegressed: true},
		{name: "empty store", before: func(s *fakeStore) { s.silent = true },
			change: func(w *testWatcher) { w.store.change(func() { w.store.table = 0 }) },
			within: 15 * time.Second, wantRevision: 3, wantReachable: true, wantRegressed: true},
		{name: "older table, then newer table", change: func(w *testWatcher) {
			w.store.change(func() { w.store.table = 2 })
			time.Sleep(time.Minute) // virtual
			w.store.change(func() { w.store.table = 4 })
		}, within: 11 * time.Second, wantRevision: 4, wantReachable: true},
		{name: "invalid document", change: func(w *testWatcher) { w.store.change(func() { w.store.body = "oops" }) },
			wantRevision: 3, wantReachable: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := newFakeStore(3)
			if c.before != nil {
				c.before(fake)
			}
			runWatcher(t, fake, func(w *testWatcher) {
				c.change(w)
				if c.within > 0 {
					time.Sleep(c.within) // virtual
				}
				synctest.Wait()
				if got := w.revision(); got != c.wantRevision {
					t.Errorf("revision %d, want %d", got, c.wantRevision)
				}
				status := w.board.Store.Load()
				if status == nil || status.Reachable != c.wantReachable || status.Regressed != c.wantRegressed {
					t.Errorf("unexpected status %+v", status)
				}
			})
		})
	}
}

// A resync that finds a change which the watch did not deliver opens a new watch.
func TestStoreWatcherReplacesDeadWatch(t *testing.T) {
	fake := newFakeStore(3)
	fake.deadWatches = 1
	runWatcher(t, fake, func(w *testWatcher) {
		fake.change(func() { fake.table = 4 })
		time.Sleep(16 * time.Second) // virtual; the resync interval and the backoff
		synctest.Wait()
		fake.change(func() { fake.table = 5 })
		synctest.Wait()
		if _, watches := fake.requests(); watches != 2 || w.revision() != 5 {
			t.Errorf("%d watches, revision %d, want 2 and 5", watches, w.revision())
		}
	})
}

func TestStoreWatcherIdleWhenNotElected(t *testing.T) {
	fake := newFakeStore(3)
	runWatcher(t, fake, func(w *testWatcher) {
		w.elected.Store(false)
		time.Sleep(2 * time.Second) // virtual
		lists, watches := fake.requests()
		fake.change(func() { fake.table = 4 })
		time.Sleep(time.Hour) // virtual
		if nowLists, nowWatches := fake.requests(); nowLists != lists || nowWatches != watches || w.revision() != 3 {
			t.Errorf("%d lists and %d watches while not elected, revision %d", nowLists-lists, nowWatches-watches, w.revision())
		}
		w.elected.Store(true)
		time.Sleep(2 * time.Second) // virtual
		if w.revision() != 4 {
			t.Errorf("revision %d, want 4", w.revision())
		}
	})
}

func TestStoreWatcherBacksOff(t *testing.T) {
	fake := newFakeStore(3)
	fake.listErr = store.ErrUnavailable
	runWatcher(t, fake, func(*testWatcher) {
		time.Sleep(time.Hour) // virtual
		// With full jitter up to 10 s, the mean wait is 5 s, or 720 requests per hour.
		if lists, _ := fake.requests(); lists < 500 || lists > 1000 {
			t.Errorf("%d requests during an outage of one hour", lists)
		}
	})
}
