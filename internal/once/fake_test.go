package once_test

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/store"
)

// fault is what happens to one request of a write to the fake store.
type fault int

const (
	faultNone fault = iota
	// faultRefused: not applied, and said so.
	faultRefused
	// faultLostAnswer: applied, but the answer is lost.
	faultLostAnswer
	// faultLostRequest: not applied, but that is not known.
	faultLostRequest
	// faultHang: the request is answered when its time is over, not applied.
	faultHang
	// faultLate: as faultHang, but it is applied at that moment.
	faultLate
)

// fakeStore is an in-memory store whose commits fail as scripted.
type fakeStore struct {
	mutex    sync.Mutex
	revision int64
	values   map[string]store.KeyValue
	faults   []fault
	// always is the fault once the script has ended.
	always fault
	// wrote is true once a transaction of a request has written.
	wrote    bool
	requests int
	grants   int
}

func newFakeStore(faults ...fault) *fakeStore {
	return &fakeStore{values: make(map[string]store.KeyValue), faults: faults}
}

func (s *fakeStore) next() fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests++
	if len(s.faults) == 0 {
		return s.always
	}
	happens := s.faults[0]
	s.faults = s.faults[1:]
	return happens
}

func (s *fakeStore) CommitAll(ctx context.Context, transactions []store.Transaction) ([]store.Outcome, error) {
	happens := s.next()
	switch happens {
	case faultRefused:
		return nil, store.ErrNotApplied
	case faultLostRequest:
		return nil, store.ErrOutcomeUnknown
	case faultHang:
		<-ctx.Done()
		return nil, store.ErrOutcomeUnknown
	case faultLate:
		<-ctx.Done()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	outcomes := make([]store.Outcome, 0, len(transactions))
	s.revision++
	s.wrote = false
	for _, transaction := range transactions {
		outcomes = append(outcomes, s.apply(transaction))
	}
	if !s.wrote {
		s.revision--
	}
	for at := range outcomes {
		outcomes[at].Revision = s.revision
	}
	if happens != faultNone {
		return nil, store.ErrOutcomeUnknown
	}
	return outcomes, nil
}

func (s *fakeStore) apply(transaction store.Transaction) store.Outcome {
	for _, condition := range transaction.Compares {
		value, found := s.values[condition.Key]
		if condition.Absent == found || (found && value.ModRevision != condition.ModRevision) {
			return store.Outcome{Current: s.current(transaction.Compares)}
		}
	}
	for _, write := range transaction.Writes {
		s.wrote = true
		if write.Delete {
			delete(s.values, write.Key)
			continue
		}
		s.values[write.Key] = store.KeyValue{Key: write.Key, Value: write.Value, ModRevision: s.revision}
	}
	return store.Outcome{Applied: true}
}

func (s *fakeStore) current(compares []store.Compare) []store.KeyValue {
	var found []store.KeyValue
	for _, condition := range compares {
		if value, exists := s.values[condition.Key]; exists {
			found = append(found, value)
		}
	}
	return found
}

// backup is the store's state at one moment.
type backup struct {
	revision int64
	values   map[string]store.KeyValue
}

func (s *fakeStore) save() backup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return backup{revision: s.revision, values: maps.Clone(s.values)}
}

func (s *fakeStore) restore(saved backup) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision, s.values = saved.revision, maps.Clone(saved.values)
}

// fail scripts the faults of the next requests.
func (s *fakeStore) fail(faults ...fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

func (s *fakeStore) Commit(context.Context, store.Transaction) (store.Outcome, error) {
	panic("the service groups all transactions")
}

func (s *fakeStore) Get(_ context.Context, key string) (store.KeyValue, bool, int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	value, found := s.values[key]
	return value, found, s.revision, nil
}

func (s *fakeStore) List(context.Context, string, int) ([]store.KeyValue, int64, error) {
	panic("the service lists nothing")
}

func (s *fakeStore) Grant(context.Context, time.Duration) (store.Lease, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.grants++
	return store.Lease(s.grants), nil
}

func (s *fakeStore) KeepAlive(context.Context, store.Lease) error { return nil }

func (s *fakeStore) counts() (requests, grants, keys int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests, s.grants, len(s.values)
}

// fakeBackend counts executions by key; err is what the dispatcher reports
// after the call ran or, with refuses set, in place of running it.
type fakeBackend struct {
	mutex      sync.Mutex
	executions map[string]int
	err        error
	refuses    bool
	takes      time.Duration
	result     string
	last       backendapi.CallRequest
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{executions: make(map[string]int), result: `{"credit":1}`}
}

func (b *fakeBackend) Call(ctx context.Context, _ string, request backendapi.CallRequest) (backendapi.CallReply, error) {
	b.mutex.Lock()
	b.last = request
	err, refuses, takes := b.err, b.refuses, b.takes
	if !refuses {
		b.executions[request.Key]++
	}
	b.mutex.Unlock()
	timer := time.NewTimer(takes)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return backendapi.CallReply{}, ctx.Err()
	case <-timer.C:
	}
	if err != nil {
		return backendapi.CallReply{}, err
	}
	return backendapi.CallReply{Key: request.Key, Result: []byte(b.result)}, nil
}

func (b *fakeBackend) count(key string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.executions[key]
}
