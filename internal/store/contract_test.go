// Package store_test holds the contract tests of store.Store. Each runs against
// all adapters over loopback: etcd and the platform's store.
package store_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/store/etcd"
	"github.com/doorpond/doorpond/platform"
	"github.com/doorpond/doorpond/platform/standin"
)

// adapter is a store under test with the stand-in server behind it.
type adapter struct {
	store.Store
	memory    *kv.Store
	setFaults func(kv.Faults) error
}

// adapters lists the implementations of store.Store, each with its own stand-in.
var adapters = []struct {
	name string
	make func(t *testing.T) *adapter
}{
	{"etcd", newEtcdAdapter},
	{"platform", newPlatformAdapter},
}

func newEtcdAdapter(t *testing.T) *adapter {
	standin := kv.NewServer(kv.Options{})
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	return &adapter{
		Store:  etcd.New(etcd.Options{Endpoint: server.URL, Client: server.Client()}),
		memory: standin.Store, setFaults: standin.SetFaults,
	}
}

func newPlatformAdapter(t *testing.T) *adapter {
	standinStore := standin.NewStore()
	server := httptest.NewServer(standinStore)
	t.Cleanup(server.Close)
	return &adapter{
		Store: platform.NewStore(platform.StoreOptions{
			Endpoint: server.URL, Client: server.Client(), WatchWait: 50 * time.Millisecond,
		}),
		memory: standinStore.Memory, setFaults: standinStore.SetFaults,
	}
}

// forEach runs a test against each adapter.
func forEach(t *testing.T, run func(t *testing.T, tested *adapter)) {
	t.Helper()
	for _, candidate := range adapters {
		t.Run(candidate.name, func(t *testing.T) { run(t, candidate.make(t)) })
	}
}

// setStandinFaults sets the faults injected by the stand-in.
func (s *adapter) setStandinFaults(t *testing.T, faults kv.Faults) {
	t.Helper()
	if err := s.setFaults(faults); err != nil {
		t.Fatal(err)
	}
}

func create(key, value string) store.Transaction {
	return store.Transaction{
		Compares: []store.Compare{{Key: key, Absent: true}},
		Writes:   []store.Write{{Key: key, Value: []byte(value)}},
	}
}

func mustCommit(t *testing.T, tested store.Committer, transaction store.Transaction) store.Outcome {
	t.Helper()
	outcome, err := tested.Commit(t.Context(), transaction)
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

func valueOf(t *testing.T, tested store.Reader, key string) string {
	t.Helper()
	read, found, _, err := tested.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	if !found {
		return ""
	}
	return string(read.Value)
}

func TestCompareAndSwap(t *testing.T) {
	forEach(t, func(t *testing.T, tested *adapter) {
		first := mustCommit(t, tested, create("a", "1"))
		if !first.Applied {
			t.Fatal("absent key was not created")
		}
		second := mustCommit(t, tested, create("a", "2"))
		if second.Applied || len(second.Current) != 1 || string(second.Current[0].Value) != "1" {
			t.Errorf("create of an existing key: %+v", second)
		}
		swap := func(revision int64, value string) store.Outcome {
			return mustCommit(t, tested, store.Transaction{
				Compares: []store.Compare{{Key: "a", ModRevision: revision}},
				Writes:   []store.Write{{Key: "a", Value: []byte(value)}},
			})
		}
		if outcome := swap(first.Revision, "3"); !outcome.Applied || outcome.Revision <= first.Revision {
			t.Errorf("swap at the current revision: %+v", outcome)
		}
		if swap(first.Revision, "4").Applied {
			t.Error("swap at an old revision was applied")
		}
		if got := valueOf(t, tested, "a"); got != "3" {
			t.Errorf("value %q, want 3", got)
		}
	})
}

func TestCommitAllAppliesIndependently(t *testing.T) {
	forEach(t, func(t *testing.T, tested *adapter) {
		mustCommit(t, tested, create("k/b", "held"))
		outcomes, err := tested.CommitAll(t.Context(), []store.Transaction{create("k/a", "1"), create("k/b", "2"), create("k/c", "3")})
		if err != nil {
			t.Fatal(err)
		}
		var applied []bool
		for _, outcome := range outcomes {
			applied = append(applied, outcome.Applied)
		}
		if diff := cmp.Diff([]bool{true, false, true}, applied); diff != "" {
			t.Errorf("applied (-want +got):\n%s", diff)
		}
		values, _, err := tested.List(t.Context(), "k/", 0)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, value := range values {
			got = append(got, value.Key+"="+string(value.Value))
		}
		if diff := cmp.Diff([]string{"k/a=1", "k/b=held", "k/c=3"}, got); diff != "" {
			t.Errorf("keys (-want +got):\n%s", diff)
		}
	})
}

func TestWriteErrors(t *testing.T) {
	cases := []struct {
		name    string
		faults  kv.Faults
		want    error
		applied bool
	}{
		{"response lost", kv.Faults{LoseAcknowledgements: 1}, store.ErrOutcomeUnknown, true},
		{"outage", kv.Faults{Outage: true}, store.ErrOutcomeUnknown, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			forEach(t, func(t *testing.T, tested *adapter) {
				mustCommit(t, tested, create("before", "1"))
				tested.setStandinFaults(t, test.faults)
				_, err := tested.Commit(t.Context(), create("a", "1"))
				if !errors.Is(err, test.want) {
					t.Errorf("error %v, want %v", err, test.want)
				}
				tested.setStandinFaults(t, kv.Faults{})
				if got := valueOf(t, tested, "a") != ""; got != test.applied {
					t.Errorf("applied: %v", got)
				}
			})
		})
	}
}

func TestRateLimitedWriteNotApplied(t *testing.T) {
	forEach(t, func(t *testing.T, tested *adapter) {
		tested.setStandinFaults(t, kv.Faults{RateLimitPerSecond: 0.000001})
		mustCommit(t, tested, create("within", "1")) // uses up the burst of one
		if _, err := tested.Commit(t.Context(), create("over", "1")); !errors.Is(err, store.ErrNotApplied) {
			t.Errorf("error %v", err)
		}
		_, _, _, err := tested.Get(t.Context(), "over")
		if !errors.Is(err, store.ErrUnavailable) || strings.Contains(err.Error(), "write") {
			t.Errorf("read error %v", err)
		}
		tested.setStandinFaults(t, kv.Faults{})
		if got := valueOf(t, tested, "over"); got != "" {
			t.Errorf("value %q after a write that was not applied", got)
		}
	})
}

// errStopWatch is returned by deliver to end a watch.
var errStopWatch = errors.New("stop watch")

func TestWatchDeliversChangesInOrder(t *testing.T) {
	forEach(t, func(t *testing.T, tested *adapter) {
		first := mustCommit(t, tested, create("p/a", "1"))
		mustCommit(t, tested, create("elsewhere", "1"))
		mustCommit(t, tested, create("p/b", "2"))
		mustCommit(t, tested, store.Transaction{Writes: []store.Write{{Key: "p/a", Delete: true}}})
		var got []string
		err := tested.Watch(t.Context(), "p/", first.Revision, func(batch store.WatchBatch) error {
			for _, event := range batch.Events {
				kind := "put "
				if event.Deleted {
					kind = "delete "
				}
				got = append(got, kind+event.KeyValue.Key)
			}
			if len(got) == 3 {
				return errStopWatch
			}
			return nil
		})
		if !errors.Is(err, errStopWatch) {
			t.Errorf("error %v", err)
		}
		if diff := cmp.Diff([]string{"put p/a", "put p/b", "delete p/a"}, got); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
	})
}

func TestWatchFromCompactedRevision(t *testing.T) {
	forEach(t, func(t *testing.T, tested *adapter) {
		first := mustCommit(t, tested, create("p/a", "1"))
		second := mustCommit(t, tested, create("p/b", "1"))
		if _, err := tested.memory.Compact(kv.CompactionRequest{Revision: kv.Integer(second.Revision)}); err != nil {
			t.Fatal(err)
		}
		err := tested.Watch(t.Context(), "p/", first.Revision, func(store.WatchBatch) error { return nil })
		if !errors.Is(err, store.ErrCompacted) {
			t.Errorf("error %v", err)
		}
	})
}

func TestWatchFailsOnOutage(t *testing.T) {
	forEach(t, func(t *testing.T, tested *adapter) {
		first := mustCommit(t, tested, create("p/a", "1"))
		err := tested.Watch(t.Context(), "p/", first.Revision, func(store.WatchBatch) error {
			return tested.setFaults(kv.Faults{Outage: true})
		})
		if err == nil || errors.Is(err, context.Canceled) {
			t.Errorf("error %v", err)
		}
	})
}

func TestExpiredLeaseDeletesKeys(t *testing.T) {
	forEach(t, func(t *testing.T, tested *adapter) {
		lease, err := tested.Grant(t.Context(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		leased := create("a", "1")
		leased.Writes[0].Lease = lease
		mustCommit(t, tested, leased)
		if err := tested.KeepAlive(t.Context(), lease); err != nil {
			t.Fatal(err)
		}
		if _, err := tested.memory.Revoke(kv.LeaseRequest{ID: kv.Integer(lease)}); err != nil {
			t.Fatal(err)
		}
		if got := valueOf(t, tested, "a"); got != "" {
			t.Errorf("value %q after its lease was revoked", got)
		}
		if err := tested.KeepAlive(t.Context(), lease); err == nil {
			t.Error("KeepAlive of a revoked lease succeeded")
		}
	})
}
