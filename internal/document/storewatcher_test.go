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

// fakeStore holds one table; its watches can be broken or go silent.
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
	// dead is the number of watches, from the first on, that deliver nothing.
	dead int
}

func newFakeStore(table uint64) *fakeStore {
	return &fakeStore{revision: 1, table: table}
}

func (s *fakeStore) change(alter func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	alter()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) valueLocked() store.KeyValue {
	body := []byte(s.body)
	if s.body == "" {
		body = version(s.table).Body
	}
	return store.KeyValue{Key: document.Table.Key(), Value: body, ModRevision: s.revision}
}

func (s *fakeStore) Get(context.Context, string) (store.KeyValue, bool, int64, error) {
	panic("the watcher lists")
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
	dead := s.watches <= s.dead
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

// watched is a running watcher.
type watched struct {
	store    *fakeStore
	register *document.Register
	board    *blackboard.Board
	elected  atomic.Bool
}

func (w *watched) revision() uint64 {
	current, _ := w.register.Current(document.Table)
	return current.Revision
}

func watch(t *testing.T, held *fakeStore, check func(*watched)) {
	synctest.Test(t, func(t *testing.T) {
		held.changed = make(chan struct{}) // in the bubble, so that waiting on it counts
		at := &watched{store: held, register: document.NewRegister(), board: &blackboard.Board{}}
		at.elected.Store(true)
		watcher := document.NewStoreWatcher(document.StoreWatcherOptions{
			Store: held, Register: at.register, Board: at.board, Elected: at.elected.Load,
			Random: rand.New(rand.NewPCG(1, 2)),
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- watcher.Run(ctx) }()
		synctest.Wait()
		check(at)
		cancel()
		<-ended
	})
}

func TestStoreWatcherFollows(t *testing.T) {
	cases := []struct {
		name   string
		before func(*fakeStore)
		change func(*watched)
		// within is how soon the change is in force; 0 means at once.
		within        time.Duration
		wantRevision  uint64
		wantReachable bool
		wantRegressed bool
	}{
		{name: "at start", change: func(*watched) {}, wantRevision: 3, wantReachable: true},
		{name: "change", change: func(w *watched) { w.store.change(func() { w.store.table = 4 }) },
			wantRevision: 4, wantReachable: true},
		{name: "silent watch", before: func(s *fakeStore) { s.silent = true },
			change: func(w *watched) { w.store.change(func() { w.store.table = 4 }) },
			within: 15 * time.Second, wantRevision: 4, wantReachable: true},
		{name: "compacted", change: func(w *watched) {
			w.store.change(func() { w.store.watchErr = store.ErrCompacted })
			w.store.change(func() { w.store.watchErr, w.store.table = nil, 4 })
		}, within: time.Second, wantRevision: 4, wantReachable: true},
		{name: "outage", change: func(w *watched) {
			w.store.change(func() { w.store.watchErr, w.store.listErr = store.ErrUnavailable, store.ErrUnavailable })
		}, within: time.Minute, wantRevision: 3},
		{name: "outage that ends", change: func(w *watched) {
			w.store.change(func() { w.store.watchErr, w.store.listErr = store.ErrUnavailable, store.ErrUnavailable })
			time.Sleep(time.Hour) // virtual
			w.store.change(func() { w.store.watchErr, w.store.listErr, w.store.table = nil, nil, 4 })
		}, within: 10 * time.Second, wantRevision: 4, wantReachable: true},
		{name: "restored older", change: func(w *watched) { w.store.change(func() { w.store.table = 2 }) },
			within: time.Second, wantRevision: 3, wantReachable: true, wantRegressed: true},
		{name: "restored empty", before: func(s *fakeStore) { s.silent = true },
			change: func(w *watched) { w.store.change(func() { w.store.table = 0 }) },
			within: 15 * time.Second, wantRevision: 3, wantReachable: true, wantRegressed: true},
		{name: "restored older, then mended", change: func(w *watched) {
			w.store.change(func() { w.store.table = 2 })
			time.Sleep(time.Minute) // virtual
			w.store.change(func() { w.store.table = 4 })
		}, within: 11 * time.Second, wantRevision: 4, wantReachable: true},
		{name: "written by hand", change: func(w *watched) { w.store.change(func() { w.store.body = "oops" }) },
			wantRevision: 3, wantReachable: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			held := newFakeStore(3)
			if c.before != nil {
				c.before(held)
			}
			watch(t, held, func(w *watched) {
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
					t.Errorf("status %+v", status)
				}
			})
		})
	}
}

// A reading that finds what the watch has not told opens a new watch.
func TestStoreWatcherReplacesDeadWatch(t *testing.T) {
	held := newFakeStore(3)
	held.dead = 1
	watch(t, held, func(w *watched) {
		held.change(func() { held.table = 4 })
		time.Sleep(16 * time.Second) // virtual; a reading and the wait after it
		synctest.Wait()
		held.change(func() { held.table = 5 })
		synctest.Wait()
		if _, watches := held.requests(); watches != 2 || w.revision() != 5 {
			t.Errorf("%d watches, revision %d, want 2 and 5", watches, w.revision())
		}
	})
}

func TestStoreWatcherAsksNothingUnlessElected(t *testing.T) {
	held := newFakeStore(3)
	watch(t, held, func(w *watched) {
		w.elected.Store(false)
		time.Sleep(2 * time.Second) // virtual
		lists, watches := held.requests()
		held.change(func() { held.table = 4 })
		time.Sleep(time.Hour) // virtual
		if nowLists, nowWatches := held.requests(); nowLists != lists || nowWatches != watches || w.revision() != 3 {
			t.Errorf("%d lists, %d watches, revision %d", nowLists-lists, nowWatches-watches, w.revision())
		}
		w.elected.Store(true)
		time.Sleep(2 * time.Second) // virtual
		if w.revision() != 4 {
			t.Errorf("revision %d, want 4", w.revision())
		}
	})
}

func TestStoreWatcherBacksOff(t *testing.T) {
	held := newFakeStore(3)
	held.listErr = store.ErrUnavailable
	watch(t, held, func(*watched) {
		time.Sleep(time.Hour) // virtual
		// With full jitter up to 10 s the mean wait is 5 s: 720 an hour.
		if lists, _ := held.requests(); lists < 500 || lists > 1000 {
			t.Errorf("%d requests in an hour's outage", lists)
		}
	})
}
