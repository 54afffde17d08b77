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

// fakeStore keeps what is written, and fails while it is away.
type fakeStore struct {
	mutex   sync.Mutex
	away    bool
	calls   int
	ttl     time.Duration
	written map[string][]byte
}

func (f *fakeStore) Grant(_ context.Context, ttl time.Duration) (store.Lease, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	f.ttl = ttl
	if f.away {
		return 0, store.ErrUnclear
	}
	return 7, nil
}

func (f *fakeStore) KeepAlive(context.Context, store.Lease) error { return errors.ErrUnsupported }

func (f *fakeStore) Commit(_ context.Context, transaction store.Transaction) (store.Outcome, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	if f.away {
		return store.Outcome{}, store.ErrUnclear
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

func (f *fakeStore) setAway(away bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.away = away
}

func (f *fakeStore) value(key string) ([]byte, int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.written[key], f.calls
}

// keep runs a Keeper of a rank on a virtual clock.
func keep(t *testing.T, rank int, play func(kept *fakeStore, list *List, keeper *Persister)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		kept := &fakeStore{written: map[string][]byte{}}
		list := New(Config{})
		keeper := NewPersister(PersisterConfig{Store: kept, Prefix: "q/", List: list, Rank: func() int { return rank }})
		ended := make(chan error)
		go func() { ended <- keeper.Run(ctx) }()
		play(kept, list, keeper)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

var key = "q/" + IdentityOf(message(nil)).String()

// TestWhatIsFoundIsWritten: at once, also after the store was away, and adopted by a node
// that knows nothing; without it, nothing is called.
func TestWhatIsFoundIsWritten(t *testing.T) {
	keep(t, standIns, func(kept *fakeStore, list *List, _ *Persister) {
		time.Sleep(time.Minute)
		if _, calls := kept.value(key); calls != 0 {
			t.Errorf("%d calls without a quarantined request", calls)
		}
		kept.setAway(true)
		convict(list, message(nil))
		time.Sleep(10 * time.Second)
		if _, calls := kept.value(key); calls < 2 || calls > 8 {
			t.Errorf("%d calls in 10 s of an outage", calls)
		}
		kept.setAway(false)
		time.Sleep(2 * longestPause)
		value, calls := kept.value(key)
		time.Sleep(time.Minute)
		if _, later := kept.value(key); value == nil || later != calls || kept.ttl > DefaultDuration {
			t.Errorf("value %s, %d calls after it was written, lease %v", value, later-calls, kept.ttl)
		}
		started := New(Config{})
		started.Adopt(IdentityOf(message(nil)).String(), value)
		if !started.IsQuarantined(message(nil)) || len(started.unstored(0)) != 0 {
			t.Error("a node that reads it does not take it over")
		}
		started.Forgotten(IdentityOf(message(nil)).String())
		if len(started.unstored(0)) != 1 || len(started.unstored(standInAfter)) != 0 {
			t.Error("what the store has lost is not written again after a wait")
		}
	})
}

// TestOthersStandIn: the first nodes by rank write what the node that has found it does not.
func TestOthersStandIn(t *testing.T) {
	for rank, want := range map[int]bool{0: true, standIns - 1: true, standIns: false} {
		keep(t, rank, func(kept *fakeStore, list *List, _ *Persister) {
			list.Receive(Record{Identity: IdentityOf(message(nil)), CrashedReplicas: 12, Rounds: 3, Blame: 3, RefuseMilliseconds: 600_000})
			time.Sleep(standInAfter / 2)
			if value, _ := kept.value(key); value != nil {
				t.Errorf("rank %d: written without a wait", rank)
			}
			time.Sleep(2 * (standInAfter + standIns*standInStep))
			if value, _ := kept.value(key); (value != nil) != want {
				t.Errorf("rank %d: written %v, want %v", rank, value != nil, want)
			}
		})
	}
}

// TestAReleaseIsKept: nodes that hear nothing but the store follow it, and none writes the
// request again.
func TestAReleaseIsKept(t *testing.T) {
	keep(t, 0, func(kept *fakeStore, list *List, keeper *Persister) {
		convict(list, message(nil))
		time.Sleep(time.Second)
		kept.setAway(true)
		if err := keeper.Release(t.Context(), IdentityOf(message(nil))); err == nil || !list.IsQuarantined(message(nil)) {
			t.Error("released though the store does not know")
		}
		kept.setAway(false)
		if err := keeper.Release(t.Context(), IdentityOf(message(nil))); err != nil || list.IsQuarantined(message(nil)) {
			t.Errorf("not released: %v", err)
		}
		value, _ := kept.value(key)
		var record Record
		if err := json.Unmarshal(value, &record); err != nil || !record.Released {
			t.Errorf("the store holds %s", value)
		}
		other := New(Config{})
		convict(other, message(nil))
		other.Adopt(IdentityOf(message(nil)).String(), value)
		if other.IsQuarantined(message(nil)) {
			t.Error("a node that reads the release goes on refusing")
		}
	})
}
