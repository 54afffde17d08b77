package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/store"
)

// fakeStore stores what is written under its lease, and fails while it is unavailable.
type fakeStore struct {
	mutex       sync.Mutex
	unavailable bool
	calls       int
	ttl         time.Duration
	written     map[string][]byte
}

func (f *fakeStore) Grant(_ context.Context, ttl time.Duration) (store.Lease, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	f.ttl = ttl
	if f.unavailable {
		return 0, store.ErrOutcomeUnknown
	}
	return 7, nil
}

func (f *fakeStore) KeepAlive(context.Context, store.Lease) error { return errors.ErrUnsupported }

func (f *fakeStore) Commit(_ context.Context, transaction store.Transaction) (store.Outcome, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	if f.unavailable {
		return store.Outcome{}, store.ErrOutcomeUnknown
	}
	for _, write := range transaction.Writes {
		if write.Lease == 7 {
			f.written[write.Key] = write.Value
		}
	}
	return store.Outcome{Applied: true}, nil
}

func (f *fakeStore) CommitAll(context.Context, []store.Transaction) ([]store.Outcome, error) {
	return nil, errors.ErrUnsupported
}

func (f *fakeStore) setUnavailable(unavailable bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unavailable = unavailable
}

func (f *fakeStore) value(key string) ([]byte, int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.written[key], f.calls
}

// runPersister calls do with a running Persister of the given rank, on a virtual clock.
func runPersister(t *testing.T, rank int, do func(backing *fakeStore, list *List, persister *Persister)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		backing := &fakeStore{written: map[string][]byte{}}
		list := New(Config{})
		persister := NewPersister(PersisterConfig{Store: backing, Prefix: "q/", List: list, Rank: func() int { return rank }})
		done := make(chan error)
		go func() { done <- persister.Run(ctx) }()
		do(backing, list, persister)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

var key = "q/" + IdentityOf(message(nil)).String()

// A quarantined request must be written once, also after an outage of the store, adopted by new
// nodes, and written again if the store loses it. Without one there must be no store calls.
func TestPersisterWritesQuarantinedRequest(t *testing.T) {
	runPersister(t, takeoverNodes, func(backing *fakeStore, list *List, _ *Persister) {
		time.Sleep(time.Minute)
		if _, calls := backing.value(key); calls != 0 {
			t.Errorf("%d store calls without a quarantined request", calls)
		}
		backing.setUnavailable(true)
		quarantine(list, message(nil))
		time.Sleep(10 * time.Second)
		if _, calls := backing.value(key); calls < 2 || calls > 8 {
			t.Errorf("%d store calls in 10 s of an outage", calls)
		}
		backing.setUnavailable(false)
		time.Sleep(2 * maxBackoff)
		value, calls := backing.value(key)
		time.Sleep(time.Minute)
		if _, later := backing.value(key); value == nil || later != calls || backing.ttl > DefaultDuration {
			t.Errorf("value %s, %d calls after the write, lease %v", value, later-calls, backing.ttl)
		}
		newNode := New(Config{})
		newNode.HandleStored(IdentityOf(message(nil)).String(), value)
		if !newNode.IsQuarantined(message(nil)) || len(newNode.unstored(0)) != 0 {
			t.Error("a new node does not adopt the stored request")
		}
		newNode.HandleDeleted(IdentityOf(message(nil)).String())
		if len(newNode.unstored(0)) != 1 || len(newNode.unstored(takeoverDelay)) != 0 {
			t.Error("a request lost by the store is not due again after the takeover delay")
		}
	})
}

// The first nodes by rank must write a request if the detecting node does not.
func TestPersisterTakeover(t *testing.T) {
	for rank, want := range map[int]bool{0: true, takeoverNodes - 1: true, takeoverNodes: false} {
		runPersister(t, rank, func(backing *fakeStore, list *List, _ *Persister) {
			list.Receive(Record{Identity: IdentityOf(message(nil)), CrashedReplicas: 12, Rounds: 3, Blame: 3, RefuseMilliseconds: 600_000})
			time.Sleep(takeoverDelay / 2)
			if value, _ := backing.value(key); value != nil {
				t.Errorf("rank %d: written before the takeover delay", rank)
			}
			time.Sleep(2 * (takeoverDelay + takeoverNodes*takeoverStep))
			if value, _ := backing.value(key); (value != nil) != want {
				t.Errorf("rank %d: written %v, want %v", rank, value != nil, want)
			}
		})
	}
}

// A release must reach nodes through the store alone, and must fail if it cannot be stored.
func TestPersisterRelease(t *testing.T) {
	runPersister(t, 0, func(backing *fakeStore, list *List, persister *Persister) {
		quarantine(list, message(nil))
		time.Sleep(time.Second)
		backing.setUnavailable(true)
		if err := persister.Release(t.Context(), IdentityOf(message(nil))); err == nil || !list.IsQuarantined(message(nil)) {
			t.Error("released although the store is unavailable")
		}
		backing.setUnavailable(false)
		if err := persister.Release(t.Context(), IdentityOf(message(nil))); err != nil || list.IsQuarantined(message(nil)) {
			t.Errorf("not released: %v", err)
		}
		value, _ := backing.value(key)
		var record Record
		if err := json.Unmarshal(value, &record); err != nil || !record.Released {
			t.Errorf("stored value %s, want a release", value)
		}
		other := New(Config{})
		quarantine(other, message(nil))
		other.HandleStored(IdentityOf(message(nil)).String(), value)
		if other.IsQuarantined(message(nil)) {
			t.Error("a node that reads the release still refuses the request")
		}
	})
}
