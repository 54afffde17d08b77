package registry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// fakeStore records the calls and returns the next of its errors for each.
type fakeStore struct {
	calls  []string
	errors []error
	leases store.Lease
}

func (s *fakeStore) next(call string) error {
	s.calls = append(s.calls, call)
	if len(s.errors) == 0 {
		return nil
	}
	err := s.errors[0]
	s.errors = s.errors[1:]
	return err
}

func (s *fakeStore) Grant(context.Context, time.Duration) (store.Lease, error) {
	if err := s.next("grant"); err != nil {
		return 0, err
	}
	s.leases++
	return s.leases, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, lease store.Lease) error {
	return s.next(fmt.Sprint("keep ", lease))
}

func (s *fakeStore) Revoke(_ context.Context, lease store.Lease) error {
	return s.next(fmt.Sprint("revoke ", lease))
}

func (s *fakeStore) Commit(_ context.Context, transaction store.Transaction) (store.Outcome, error) {
	write := transaction.Writes[0]
	return store.Outcome{Applied: true}, s.next(fmt.Sprint("put ", write.Key, " under ", write.Lease))
}

func (s *fakeStore) CommitAll(context.Context, []store.Transaction) ([]store.Outcome, error) {
	return nil, errors.New("not implemented")
}

// stepClock returns a clock that each call advances by a fraction of a second.
func stepClock(stepsPerSecond int) func() time.Time {
	now := time.Unix(1000, 0)
	return func() time.Time {
		now = now.Add(time.Second / time.Duration(stepsPerSecond))
		return now
	}
}

// The lease is renewed three times per TTL, as every renewal is billed.
func TestLeaseRenewalRate(t *testing.T) {
	fake := &fakeStore{}
	now := time.Unix(1000, 0)
	registry := New(Config{
		Store: fake, Key: "k", TTL: time.Second, Now: func() time.Time { return now },
		Node: func() topology.Node { return topology.Node{ID: "n"} },
	})
	for range checksPerTTL + 1 {
		registry.logTransition(registry.reconcile(t.Context()))
		now = now.Add(time.Second/checksPerTTL + time.Millisecond)
	}
	want := []string{"grant", "put k under 1", "keep 1", "keep 1", "keep 1"}
	if diff := cmp.Diff(want, fake.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// A new node is written once, not before and again after it becomes ready.
func TestRunWaitsForReady(t *testing.T) {
	for _, test := range []struct {
		name  string
		delay time.Duration
		want  bool
	}{
		{"ready in time", 100 * time.Millisecond, true},
		{"not ready in time", time.Hour, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			fake := &fakeStore{}
			startedAt := time.Now()
			registry := New(Config{Store: fake, Key: "k", TTL: time.Hour, Node: func() topology.Node {
				return topology.Node{ID: "n", Ready: time.Since(startedAt) >= test.delay}
			}})
			ctx, cancel := context.WithTimeout(t.Context(), 2*readyTimeout)
			defer cancel()
			if err := registry.Run(ctx); err != nil {
				t.Error(err)
			}
			if len(fake.calls) != 2 || registry.written.Ready != test.want {
				t.Errorf("%s: calls %v, written as ready %v", test.name, fake.calls, registry.written.Ready)
			}
		})
	}
}

func TestReconcile(t *testing.T) {
	expired := fmt.Errorf("%w: %w", store.ErrLeaseNotFound, store.ErrNotApplied)
	cases := []struct {
		name   string
		errors []error
		want   []string
	}{
		{"written once, then renewed", nil, []string{"grant", "put k under 1", "keep 1", "keep 1"}},
		{"expired lease", []error{nil, nil, expired}, []string{"grant", "put k under 1", "keep 1", "grant", "put k under 2", "keep 2"}},
		{"lease expired before the write", []error{nil, expired}, []string{"grant", "put k under 1", "grant", "put k under 2", "keep 2"}},
		{"unclear write", []error{nil, store.ErrOutcomeUnknown}, []string{"grant", "put k under 1", "keep 1", "put k under 1", "keep 1"}},
		{"unclear grant", []error{store.ErrOutcomeUnknown}, []string{"grant", "grant", "put k under 1", "keep 1"}},
		{"unclear renewal", []error{nil, nil, store.ErrOutcomeUnknown}, []string{"grant", "put k under 1", "keep 1", "keep 1"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fake := &fakeStore{errors: test.errors}
			registry := New(Config{Now: stepClock(renewalsPerTTL), Store: fake, Key: "k", Node: func() topology.Node { return topology.Node{ID: "n"} }, TTL: time.Second})
			for range 3 {
				registry.logTransition(registry.reconcile(t.Context()))
			}
			if diff := cmp.Diff(test.want, fake.calls); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReconcileWritesChangedNode(t *testing.T) {
	fake := &fakeStore{}
	node := topology.Node{ID: "n"}
	registry := New(Config{Now: stepClock(renewalsPerTTL), Store: fake, Key: "k", Node: func() topology.Node { return node }, TTL: time.Second})
	for _, ready := range []bool{false, true, true} {
		node.Ready = ready
		if err := registry.reconcile(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"grant", "put k under 1", "keep 1", "put k under 1", "keep 1"}
	if diff := cmp.Diff(want, fake.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

func TestDeregister(t *testing.T) {
	fake := &fakeStore{}
	registry := New(Config{Now: stepClock(renewalsPerTTL), Store: fake, Key: "k", Node: func() topology.Node { return topology.Node{} }, TTL: time.Second})
	if err := registry.Deregister(t.Context()); err != nil || len(fake.calls) != 0 {
		t.Errorf("deregistered without an entry: calls %v, error %v", fake.calls, err)
	}
	if err := registry.reconcile(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := registry.Deregister(t.Context()); err != nil || fake.calls[len(fake.calls)-1] != "revoke 1" {
		t.Errorf("calls %v, error %v", fake.calls, err)
	}
}

// The store may have ended the lease early, so the node checks it before the next renewal.
func TestUpdateChecksLeaseOfUnlistedEntry(t *testing.T) {
	expired := fmt.Errorf("%w: %w", store.ErrLeaseNotFound, store.ErrNotApplied)
	fake := &fakeStore{errors: []error{nil, nil, expired}}
	now := time.Unix(1000, 0)
	listed := true
	registry := New(Config{
		Store: fake, Key: "k", TTL: time.Hour, Now: func() time.Time { return now },
		Node: func() topology.Node { return topology.Node{ID: "n"} }, Listed: func() bool { return listed },
	})
	for _, state := range []bool{true, false, false, false} {
		listed = state
		registry.update(t.Context())
		now = now.Add(listingDelay / 2)
	}
	want := []string{"grant", "put k under 1", "keep 1", "grant", "put k under 2"}
	if diff := cmp.Diff(want, fake.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// Rejected requests count against the store's rate limit and are billed.
func TestUpdateBacksOff(t *testing.T) {
	fake := &fakeStore{}
	for range 1000 {
		fake.errors = append(fake.errors, store.ErrNotApplied)
	}
	now := time.Unix(1000, 0)
	registry := New(Config{
		Store: fake, Key: "k", TTL: time.Hour, Now: func() time.Time { return now },
		Node: func() topology.Node { return topology.Node{ID: "n"} },
	})
	const seconds = 60
	for range seconds {
		registry.update(t.Context())
		now = now.Add(time.Second)
	}
	if minCalls, maxCalls := seconds/8, seconds/2; len(fake.calls) < minCalls || len(fake.calls) > maxCalls {
		t.Errorf("unexpected number of calls: %d in %d s", len(fake.calls), seconds)
	}
}

// After a restore of the store, the old lease may belong to another client and the entry may
// be missing. The nodes spread their writes.
func TestUpdateRegistersInNewEra(t *testing.T) {
	fake := &fakeStore{}
	now, era := time.Unix(1000, 0), int64(0)
	registry := New(Config{
		Store: fake, Key: "k", TTL: time.Hour, Now: func() time.Time { return now }, Era: func() int64 { return era },
		Node: func() topology.Node { return topology.Node{ID: "n"} },
	})
	registry.update(t.Context())
	era = 2
	registry.update(t.Context())
	if delay := registry.retryAt.Sub(now); delay < 0 || delay > eraJitter {
		t.Errorf("registration delayed by %v", delay)
	}
	for range 2 {
		now = now.Add(eraJitter)
		registry.update(t.Context())
	}
	want := []string{"grant", "put k under 1", "grant", "put k under 2"}
	if diff := cmp.Diff(want, fake.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// A lease of an earlier era may belong to another client.
func TestDeregisterKeepsLeaseOfEarlierEra(t *testing.T) {
	fake := &fakeStore{}
	era := int64(0)
	registry := New(Config{
		Store: fake, Key: "k", TTL: time.Hour, Era: func() int64 { return era },
		Node: func() topology.Node { return topology.Node{ID: "n"} },
	})
	registry.update(t.Context())
	era = 1
	if err := registry.Deregister(t.Context()); err != nil || len(fake.calls) != 2 {
		t.Errorf("calls %v, error %v", fake.calls, err)
	}
}

// An entry can be gone while its lease lives, for example by a late write of an earlier process of
// this node. It must be written again, and less and less often if it is only listed late.
func TestUpdateWritesUnlistedEntryAgain(t *testing.T) {
	fake := &fakeStore{}
	now, listed := time.Unix(1000, 0), false
	registry := New(Config{
		Store: fake, Key: "k", TTL: time.Hour, Now: func() time.Time { return now }, Listed: func() bool { return listed },
		Node: func() topology.Node { return topology.Node{ID: "n"} },
	})
	var writtenAt []time.Duration
	advance := func(until time.Duration) {
		for ; now.Before(time.Unix(1000, 0).Add(until)); now = now.Add(time.Second) {
			calls := len(fake.calls)
			registry.update(t.Context())
			if slices.Contains(fake.calls[calls:], "put k under 1") {
				writtenAt = append(writtenAt, now.Sub(time.Unix(1000, 0)))
			}
		}
	}
	advance(time.Minute)
	listed = true
	advance(2 * time.Minute)
	listed = false
	advance(2*time.Minute + 10*time.Second)
	want := []time.Duration{0, 6 * time.Second, 12 * time.Second, 24 * time.Second, 48 * time.Second, 123 * time.Second, 129 * time.Second}
	if diff := cmp.Diff(want, writtenAt); diff != "" {
		t.Errorf("times of writing (-want +got):\n%s", diff)
	}
}
