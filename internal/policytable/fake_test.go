package policytable_test

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/doorpond/doorpond/internal/store"
)

// fault is what happens to one commit of the fake store.
type fault int

const (
	faultNone fault = iota
	// faultRefused: not applied, and said so.
	faultRefused
	// faultLostAnswer: applied, but the answer is lost.
	faultLostAnswer
	// faultLostRequest: not applied, but that is not known.
	faultLostRequest
)

// fakeStore is an in-memory store whose commits and reads fail as scripted.
type fakeStore struct {
	mutex     sync.Mutex
	revision  int64
	values    map[string]store.KeyValue
	commits   []fault
	failReads int
	// before runs before a commit is looked at, once.
	before func()
}

func newFakeStore(commits ...fault) *fakeStore {
	return &fakeStore{values: make(map[string]store.KeyValue), commits: commits}
}

func (s *fakeStore) readFails() bool {
	if s.failReads == 0 {
		return false
	}
	s.failReads--
	return true
}

func (s *fakeStore) Get(_ context.Context, key string) (store.KeyValue, bool, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.readFails() {
		return store.KeyValue{}, false, 0, store.ErrUnavailable
	}
	value, found := s.values[key]
	return value, found, s.revision, nil
}

func (s *fakeStore) List(_ context.Context, prefix string, _ int) ([]store.KeyValue, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.readFails() {
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
	if s.before != nil {
		before := s.before
		s.before = nil
		before()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	happens := faultNone
	if len(s.commits) > 0 {
		happens, s.commits = s.commits[0], s.commits[1:]
	}
	switch happens {
	case faultRefused:
		return store.Outcome{}, store.ErrNotApplied
	case faultLostRequest:
		return store.Outcome{}, store.ErrOutcomeUnknown
	}
	outcome := s.apply(transaction)
	if happens == faultLostAnswer {
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
	panic("the editor does not group")
}
