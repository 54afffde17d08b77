// Package store_test holds the contract of store.Store: the same cases run
// against each adapter over loopback: etcd's and the users' platform's.
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

// service is a store under test and the stand-in behind it.
type service struct {
	store.Store
	memory    *kv.Store
	setFaults func(kv.Faults) error
}

// services makes each adapter over a stand-in of its own.
var services = []struct {
	name string
	make func(t *testing.T) *service
}{
	{"etcd", newEtcd},
	{"platform", newPlatform},
}

func newEtcd(t *testing.T) *service {
	standin := kv.NewServer(kv.Options{})
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	return &service{
		Store:  etcd.New(etcd.Options{Endpoint: server.URL, Client: server.Client()}),
		memory: standin.Store, setFaults: standin.SetFaults,
	}
}

func newPlatform(t *testing.T) *service {
	serving := standin.NewStore()
	server := httptest.NewServer(serving)
	t.Cleanup(server.Close)
	return &service{
		Store: platform.NewStore(platform.StoreOptions{
			Endpoint: server.URL, Client: server.Client(), WatchWait: 50 * time.Millisecond,
		}),
		memory: serving.Memory, setFaults: serving.SetFaults,
	}
}

// forEach runs a case against each adapter.
func forEach(t *testing.T, run func(t *testing.T, under *service)) {
	t.Helper()
	for _, one := range services {
		t.Run(one.name, func(t *testing.T) { run(t, one.make(t)) })
	}
}

// fault switches faults on at the stand-in.
func (s *service) fault(t *testing.T, faults kv.Faults) {
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

func mustCommit(t *testing.T, under store.Committer, transaction store.Transaction) store.Outcome {
	t.Helper()
	outcome, err := under.Commit(t.Context(), transaction)
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

func valueOf(t *testing.T, under store.Reader, key string) string {
	t.Helper()
	read, found, _, err := under.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	if !found {
		return ""
	}
	return string(read.Value)
}

func TestCompareAndSwap(t *testing.T) {
	forEach(t, func(t *testing.T, under *service) {
		first := mustCommit(t, under, create("a", "1"))
		if !first.Applied {
			t.Fatal("a key that was absent was not created")
		}
		second := mustCommit(t, under, create("a", "2"))
		if second.Applied || len(second.Current) != 1 || string(second.Current[0].Value) != "1" {
			t.Errorf("creating it again: %+v", second)
		}
		swap := func(revision int64, value string) store.Outcome {
			return mustCommit(t, under, store.Transaction{
				Compares: []store.Compare{{Key: "a", ModRevision: revision}},
				Writes:   []store.Write{{Key: "a", Value: []byte(value)}},
			})
		}
		if outcome := swap(first.Revision, "3"); !outcome.Applied || outcome.Revision <= first.Revision {
			t.Errorf("swap at the right revision: %+v", outcome)
		}
		if swap(first.Revision, "4").Applied {
			t.Error("swap at an old revision was applied")
		}
		if got := valueOf(t, under, "a"); got != "3" {
			t.Errorf("value %q", got)
		}
	})
}

func TestCommitAllAppliesEachByItself(t *testing.T) {
	forEach(t, func(t *testing.T, under *service) {
		mustCommit(t, under, create("k/b", "held"))
		outcomes, err := under.CommitAll(t.Context(), []store.Transaction{create("k/a", "1"), create("k/b", "2"), create("k/c", "3")})
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
		values, _, err := under.List(t.Context(), "k/", 0)
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

func TestErrorsOfWritesTellTheTruth(t *testing.T) {
	cases := []struct {
		name    string
		faults  kv.Faults
		want    error
		applied bool
	}{
		{"acknowledgement lost", kv.Faults{LoseAcknowledgements: 1}, store.ErrOutcomeUnknown, true},
		{"outage", kv.Faults{Outage: true}, store.ErrOutcomeUnknown, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			forEach(t, func(t *testing.T, under *service) {
				mustCommit(t, under, create("before", "1"))
				under.fault(t, test.faults)
				_, err := under.Commit(t.Context(), create("a", "1"))
				if !errors.Is(err, test.want) {
					t.Errorf("error %v, want %v", err, test.want)
				}
				under.fault(t, kv.Faults{})
				if got := valueOf(t, under, "a") != ""; got != test.applied {
					t.Errorf("applied: %v", got)
				}
			})
		})
	}
}

func TestRateLimitedWriteIsNotApplied(t *testing.T) {
	forEach(t, func(t *testing.T, under *service) {
		under.fault(t, kv.Faults{RateLimitPerSecond: 0.000001})
		mustCommit(t, under, create("within", "1")) // the burst of one
		if _, err := under.Commit(t.Context(), create("over", "1")); !errors.Is(err, store.ErrNotApplied) {
			t.Errorf("error %v", err)
		}
		_, _, _, err := under.Get(t.Context(), "over")
		if !errors.Is(err, store.ErrUnavailable) || strings.Contains(err.Error(), "write") {
			t.Errorf("error of a read %v", err)
		}
		under.fault(t, kv.Faults{})
		if got := valueOf(t, under, "over"); got != "" {
			t.Errorf("value %q of a write that was not applied", got)
		}
	})
}

// errEnough ends a watch from its delivery.
var errEnough = errors.New("enough")

func TestWatchDeliversEveryChangeInOrder(t *testing.T) {
	forEach(t, func(t *testing.T, under *service) {
		first := mustCommit(t, under, create("p/a", "1"))
		mustCommit(t, under, create("elsewhere", "1"))
		mustCommit(t, under, create("p/b", "2"))
		mustCommit(t, under, store.Transaction{Writes: []store.Write{{Key: "p/a", Delete: true}}})
		var got []string
		err := under.Watch(t.Context(), "p/", first.Revision, func(batch store.WatchBatch) error {
			for _, event := range batch.Events {
				kind := "put "
				if event.Deleted {
					kind = "delete "
				}
				got = append(got, kind+event.KeyValue.Key)
			}
			if len(got) == 3 {
				return errEnough
			}
			return nil
		})
		if !errors.Is(err, errEnough) {
			t.Errorf("error %v", err)
		}
		if diff := cmp.Diff([]string{"put p/a", "put p/b", "delete p/a"}, got); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
	})
}

func TestWatchFromACompactedRevision(t *testing.T) {
	forEach(t, func(t *testing.T, under *service) {
		first := mustCommit(t, under, create("p/a", "1"))
		second := mustCommit(t, under, create("p/b", "1"))
		if _, err := under.memory.Compact(kv.CompactionRequest{Revision: kv.Integer(second.Revision)}); err != nil {
			t.Fatal(err)
		}
		err := under.Watch(t.Context(), "p/", first.Revision, func(store.WatchBatch) error { return nil })
		if !errors.Is(err, store.ErrCompacted) {
			t.Errorf("error %v", err)
		}
	})
}

func TestWatchBreaksWithTheStore(t *testing.T) {
	forEach(t, func(t *testing.T, under *service) {
		first := mustCommit(t, under, create("p/a", "1"))
		err := under.Watch(t.Context(), "p/", first.Revision, func(store.WatchBatch) error {
			return under.setFaults(kv.Faults{Outage: true})
		})
		if err == nil || errors.Is(err, context.Canceled) {
			t.Errorf("error %v", err)
		}
	})
}

func TestALapsedLeaseTakesItsKeys(t *testing.T) {
	forEach(t, func(t *testing.T, under *service) {
		lease, err := under.Grant(t.Context(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		leased := create("a", "1")
		leased.Writes[0].Lease = lease
		mustCommit(t, under, leased)
		if err := under.KeepAlive(t.Context(), lease); err != nil {
			t.Fatal(err)
		}
		if _, err := under.memory.Revoke(kv.LeaseRequest{ID: kv.Integer(lease)}); err != nil {
			t.Fatal(err)
		}
		if got := valueOf(t, under, "a"); got != "" {
			t.Errorf("value %q after its lease", got)
		}
		if err := under.KeepAlive(t.Context(), lease); err == nil {
			t.Error("a lapsed lease was kept alive")
		}
	})
}
