package policytable_test

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/doorpond/doorpond/internal/store"
)

// fault is the simulated outcome of a commit.
type fault int

const (
	faultNone fault = iota
	// faultRejected: the commit is not applied and fails with ErrNotApplied.
	faultRejected
	// faultLostResponse: the commit is applied, but its outcome is unknown.
	faultLostResponse
	// faultLostRequest: the commit is not applied, but its outcome is unknown.
	faultLostRequest
)

// fakeStore is an in-memory store with scripted faults of commits and reads.
type fakeStore struct {
	mutex     sync.Mutex
	revision  int64
	values    map[string]store.KeyValue
	commits   []fault
	failReads int
	// beforeCommit, if set, runs once before the next commit.
	beforeCommit func()
}

func newFakeStore(commits ...fault) *fakeStore {
	return &fakeStore{values: make(map[string]store.KeyValue), commits: commits}
}

func (s *fakeStore) takeReadFailure() bool {
	if s.failReads == 0 {
		return false
	}
	s.failReads--
	return true
}

func (s *fakeStore) Get(_ context.Context, key string) (store.KeyValue, bool, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.takeReadFailure() {
		return store.KeyValue{}, false, 0, store.ErrUnavailable
	}
	value, found := s.values[key]
	return value, found, s.revision, nil
}

func (s *fakeStore) List(_ context.Context, prefix string, _ int) ([]store.KeyValue, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.takeReadFailure() {
		return nil, 0, store.ErrUnavailable
	}
	var values []store.KeyValue
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			values = append(values, value)
		}
	}
	sort.Slice(values, func(i, j int) bool { return values[i].Key < values[j].Key })
	return values, s.revision, nil
}

func (s *fakeStore) Commit(_ context.Context, transaction store.Transaction) (store.Outcome, error) {
	if s.beforeCommit != nil {
		beforeCommit := s.beforeCommit
		s.beforeCommit = nil
		beforeCommit()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := faultNone
	if len(s.commits) > 0 {
		next, s.commits = s.commits[0], s.commits[1:]
	}
	switch next {
	case faultRejected:
		return store.Outcome{}, store.ErrNotApplied
	case faultLostRequest:
		return store.Outcome{}, store.ErrOutcomeUnknown
	}
	outcome := s.apply(transaction)
	if next == faultLostResponse {
		return store.Outcome{}, store.ErrOutcomeUnknown
	}
	return outcome, nil
}

func (s *fakeStore) apply(transaction store.Transaction) store.Outcome {
	for _, condition := range transaction.Compares {
		value, found := s.values[condition.Key]
		if condition.Absent == found || (found && value.ModRevision != condition.ModRevision) {
			return store.Outcome{Revision: s.revision}
		}
	}
	s.revision++
	for _, write := range transaction.Writes {
		s.values[write.Key] = store.KeyValue{Key: write.Key, Value: write.Value, ModRevision: s.revision}
	}
	return store.Outcome{Applied: true, Revision: s.revision}
}

func (s *fakeStore) CommitAll(context.Context, []store.Transaction) ([]store.Outcome, error) {
	panic("unexpected CommitAll")
}
