package registry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// fakeStore notes the calls and answers each by the next error of its list.
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
	return nil, errors.New("not used")
}

// steps is a clock that each look at it puts forward by a part of a second.
func steps(parts int) func() time.Time {
	now := time.Unix(1000, 0)
	return func() time.Time {
		now = now.Add(time.Second / time.Duration(parts))
		return now
	}
}

// TestALeaseIsRenewedInTime: renewals are priced, so there are no more of them than
// keep the lease when one or two get lost.
func TestALeaseIsRenewedInTime(t *testing.T) {
	fake := &fakeStore{}
	now := time.Unix(1000, 0)
	kept := New(Config{
		Store: fake, Key: "k", TTL: time.Second, Now: func() time.Time { return now },
		Node: func() topology.Node { return topology.Node{ID: "n"} },
	})
	for range looks + 1 {
		kept.note(kept.renew(t.Context()))
		now = now.Add(time.Second/looks + time.Millisecond)
	}
	want := []string{"grant", "put k under 1", "keep 1", "keep 1", "keep 1"}
	if diff := cmp.Diff(want, fake.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// TestANodeIsRecordedOnceItIsReady: not once before and once after.
func TestANodeIsRecordedOnceItIsReady(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		want  bool
	}{
		{"soon ready", 100 * time.Millisecond, true},
		{"not ready for long", time.Hour, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			fake := &fakeStore{}
			started := time.Now()
			kept := New(Config{Store: fake, Key: "k", TTL: time.Hour, Node: func() topology.Node {
				return topology.Node{ID: "n", Ready: time.Since(started) >= test.after}
			}})
			ctx, cancel := context.WithTimeout(t.Context(), 2*readyWait)
			defer cancel()
			if err := kept.Run(ctx); err != nil {
				t.Error(err)
			}
			if len(fake.calls) != 2 || kept.recorded.Ready != test.want {
				t.Errorf("%s: calls %v, recorded as ready %v", test.name, fake.calls, kept.recorded.Ready)
			}
		})
	}
}

func TestRenew(t *testing.T) {
	lapsed := fmt.Errorf("%w: %w", store.ErrLeaseNotFound, store.ErrNotApplied)
	cases := []struct {
		name   string
		errors []error
		want   []string
	}{
		{"recorded once, then kept", nil, []string{"grant", "put k under 1", "keep 1", "keep 1"}},
		{"a lapsed lease is replaced", []error{nil, nil, lapsed}, []string{"grant", "put k under 1", "keep 1", "grant", "put k under 2", "keep 2"}},
		{"a lease that lapsed before the write", []error{nil, lapsed}, []string{"grant", "put k under 1", "grant", "put k under 2", "keep 2"}},
		{"an unclear write is repeated", []error{nil, store.ErrOutcomeUnknown}, []string{"grant", "put k under 1", "keep 1", "put k under 1", "keep 1"}},
		{"no lease, no entry", []error{store.ErrOutcomeUnknown}, []string{"grant", "grant", "put k under 1", "keep 1"}},
		{"a renewal without an answer", []error{nil, nil, store.ErrOutcomeUnknown}, []string{"grant", "put k under 1", "keep 1", "keep 1"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fake := &fakeStore{errors: test.errors}
			kept := New(Config{Now: steps(renewals), Store: fake, Key: "k", Node: func() topology.Node { return topology.Node{ID: "n"} }, TTL: time.Second})
			for range 3 {
				kept.note(kept.renew(t.Context()))
			}
			if diff := cmp.Diff(test.want, fake.calls); diff != "" {
				t.Errorf("calls (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAChangedNodeIsRecordedAnew(t *testing.T) {
	fake := &fakeStore{}
	node := topology.Node{ID: "n"}
	kept := New(Config{Now: steps(renewals), Store: fake, Key: "k", Node: func() topology.Node { return node }, TTL: time.Second})
	for _, ready := range []bool{false, true, true} {
		node.Ready = ready
		if err := kept.renew(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"grant", "put k under 1", "keep 1", "put k under 1", "keep 1"}
	if diff := cmp.Diff(want, fake.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

func TestLeave(t *testing.T) {
	fake := &fakeStore{}
	kept := New(Config{Now: steps(renewals), Store: fake, Key: "k", Node: func() topology.Node { return topology.Node{} }, TTL: time.Second})
	if err := kept.Leave(t.Context()); err != nil || len(fake.calls) != 0 {
		t.Errorf("left without an entry: %v, %v", fake.calls, err)
	}
	if err := kept.renew(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := kept.Leave(t.Context()); err != nil || fake.calls[len(fake.calls)-1] != "revoke 1" {
		t.Errorf("calls %v, error %v", fake.calls, err)
	}
}

// TestAnEntryThatIsNotListedIsChecked: the store may have ended its lease before its
// time; the node does not wait for the next renewal.
func TestAnEntryThatIsNotListedIsChecked(t *testing.T) {
	lapsed := fmt.Errorf("%w: %w", store.ErrLeaseNotFound, store.ErrNotApplied)
	fake := &fakeStore{errors: []error{nil, nil, lapsed}}
	now := time.Unix(1000, 0)
	listed := true
	kept := New(Config{
		Store: fake, Key: "k", TTL: time.Hour, Now: func() time.Time { return now },
		Node: func() topology.Node { return topology.Node{ID: "n"} }, Listed: func() bool { return listed },
	})
	for _, state := range []bool{true, false, false, false} {
		listed = state
		kept.attempt(t.Context())
		now = now.Add(listedWait / 2)
	}
	want := []string{"grant", "put k under 1", "keep 1", "grant", "put k under 2"}
	if diff := cmp.Diff(want, fake.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// TestCallsThatFailAreMadeLessAndLessOften: those that the store refuses are priced.
func TestCallsThatFailAreMadeLessAndLessOften(t *testing.T) {
	fake := &fakeStore{}
	for range 1000 {
		fake.errors = append(fake.errors, store.ErrNotApplied)
	}
	now := time.Unix(1000, 0)
	kept := New(Config{
		Store: fake, Key: "k", TTL: time.Hour, Now: func() time.Time { return now },
		Node: func() topology.Node { return topology.Node{ID: "n"} },
	})
	const seconds = 60
	for range seconds {
		kept.attempt(t.Context())
		now = now.Add(time.Second)
	}
	if least, most := seconds/8, seconds/2; len(fake.calls) < least || len(fake.calls) > most {
		t.Errorf("%d calls in %d s", len(fake.calls), seconds)
	}
}

// TestANewEraOfTheStoreIsRecordedIn: the lease of before may be another caller's, and the entry may
// be missing. The nodes do not write it all at once.
func TestANewEraOfTheStoreIsRecordedIn(t *testing.T) {
	fake := &fakeStore{}
	now, era := time.Unix(1000, 0), int64(0)
	kept := New(Config{
		Store: fake, Key: "k", TTL: time.Hour, Now: func() time.Time { return now }, Era: func() int64 { return era },
		Node: func() topology.Node { return topology.Node{ID: "n"} },
	})
	kept.attempt(t.Context())
	era = 2
	kept.attempt(t.Context())
	if spread := kept.retryAt.Sub(now); spread < 0 || spread > eraSpread {
		t.Errorf("written after %v", spread)
	}
	for range 2 {
		now = now.Add(eraSpread)
		kept.attempt(t.Context())
	}
	want := []string{"grant", "put k under 1", "grant", "put k under 2"}
	if diff := cmp.Diff(want, fake.calls); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// TestALeaseOfAnEarlierEraIsNotEnded: leaving would take away what may be another caller's.
func TestALeaseOfAnEarlierEraIsNotEnded(t *testing.T) {
	fake := &fakeStore{}
	era := int64(0)
	kept := New(Config{
		Store: fake, Key: "k", TTL: time.Hour, Era: func() int64 { return era },
		Node: func() topology.Node { return topology.Node{ID: "n"} },
	})
	kept.attempt(t.Context())
	era = 1
	if err := kept.Leave(t.Context()); err != nil || len(fake.calls) != 2 {
		t.Errorf("calls %v, error %v", fake.calls, err)
	}
}
