package registry

import (
	"context"
	"errors"
	"fmt"
	"testing"
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
		{"an unclear write is repeated", []error{nil, store.ErrUnclear}, []string{"grant", "put k under 1", "keep 1", "put k under 1", "keep 1"}},
		{"no lease, no entry", []error{store.ErrUnclear}, []string{"grant", "grant", "put k under 1", "keep 1"}},
		{"a renewal without an answer", []error{nil, nil, store.ErrUnclear}, []string{"grant", "put k under 1", "keep 1", "keep 1"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fake := &fakeStore{errors: test.errors}
			kept := New(Options{Store: fake, Key: "k", Node: func() topology.Node { return topology.Node{ID: "n"} }, TTL: time.Second})
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
	kept := New(Options{Store: fake, Key: "k", Node: func() topology.Node { return node }, TTL: time.Second})
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
	kept := New(Options{Store: fake, Key: "k", Node: func() topology.Node { return topology.Node{} }, TTL: time.Second})
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
