// Package kv is a stand-in for the platform's key-value service: the JSON
// gateway of etcd v3, over a store in memory, with faults that are switched
// on by an administration call.
//
// Requests use the published names of the gateway's fields (range_end,
// create_revision); bytes are base64 and 64-bit integers are strings.
package kv

import (
	"sync"
	"time"
)

// Store is a multi-version key-value store with leases and watches. It is
// safe for concurrent use.
type Store struct {
	now func() time.Time

	mutex     sync.Mutex
	history   *history
	leases    map[Integer]*lease
	lastLease Integer
	// changed is closed and replaced whenever watchers have to look again.
	changed chan struct{}
	// epoch grows when all watches are ended, as by a restored backup.
	epoch  int
	frozen bool
}

// NewStore makes an empty store; a nil clock means the system's.
func NewStore(now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{
		now:     now,
		history: newHistory(),
		leases:  make(map[Integer]*lease),
		changed: make(chan struct{}),
	}
}

// writer applies the operations of one request at one new revision.
type writer struct {
	history  *history
	revision int64
	wrote    bool
}

func (w *writer) put(key, value []byte, lease Integer) {
	w.history.put(key, value, lease, w.revision)
	w.wrote = true
}

func (w *writer) remove(key string) {
	w.history.remove(key, w.revision)
	w.wrote = true
}

// finishLocked makes the writer's revision the store's if it wrote anything.
func (s *Store) finishLocked(w *writer) {
	if !w.wrote {
		return
	}
	s.history.revision = w.revision
	s.wakeLocked()
}

func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) headerLocked() *Header {
	return &Header{Revision: Integer(s.history.revision)}
}

// Revision returns the store's revision.
func (s *Store) Revision() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history.revision
}

// Range reads keys.
func (s *Store) Range(request RangeRequest) (RangeResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLocked()
	response, err := s.rangeLocked(request, s.history.revision)
	response.Header = s.headerLocked()
	return response, err
}

func (s *Store) rangeLocked(request RangeRequest, current int64) (RangeResponse, error) {
	revision := current
	if request.Revision > 0 {
		revision = int64(request.Revision)
	}
	switch {
	case len(request.Key) == 0:
		return RangeResponse{}, errEmptyKey
	case revision > current:
		return RangeResponse{}, errFutureRevision
	case revision < s.history.compacted:
		return RangeResponse{}, errCompacted
	}
	return s.collectLocked(request, revision), nil
}

func (s *Store) collectLocked(request RangeRequest, revision int64) RangeResponse {
	var response RangeResponse
	for _, key := range s.history.keysIn(request.Key, request.RangeEnd) {
		found, exists := s.history.at(key, revision)
		if !exists {
			continue
		}
		response.Count++
		if request.Limit > 0 && response.Count > request.Limit {
			response.More = true
			continue
		}
		if request.KeysOnly {
			found.Value = nil
		}
		response.Kvs = append(response.Kvs, found)
	}
	return response
}

// Put writes one key.
func (s *Store) Put(request PutRequest) (PutResponse, error) {
	response, err := s.Txn(TxnRequest{Success: []RequestOperation{{Put: &request}}})
	if err != nil {
		return PutResponse{}, err
	}
	return PutResponse{Header: response.Header}, nil
}

// DeleteRange deletes keys.
func (s *Store) DeleteRange(request DeleteRangeRequest) (DeleteRangeResponse, error) {
	response, err := s.Txn(TxnRequest{Success: []RequestOperation{{DeleteRange: &request}}})
	if err != nil {
		return DeleteRangeResponse{}, err
	}
	deleted := response.Responses[0].DeleteRange.Deleted
	return DeleteRangeResponse{Header: response.Header, Deleted: deleted}, nil
}

// Compact drops the history below a revision.
func (s *Store) Compact(request CompactionRequest) (CompactionResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := int64(request.Revision)
	if revision <= s.history.compacted {
		return CompactionResponse{}, errCompacted
	}
	if revision > s.history.revision {
		return CompactionResponse{}, errFutureRevision
	}
	s.history.compact(revision)
	return CompactionResponse{Header: s.headerLocked()}, nil
}

// Restore goes back to an older revision, as a restored backup does, and ends
// every watch. Leases live on without the keys that were dropped.
func (s *Store) Restore(revision int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision > s.history.revision {
		return errFutureRevision
	}
	if revision < max(s.history.compacted, firstRevision) {
		return errCompacted
	}
	s.history.restore(revision)
	s.endWatchesLocked()
	return nil
}

// RestoreCopy is Restore, and leases that were granted after the revision are gone: their
// numbers are given out again.
func (s *Store) RestoreCopy(revision int64) error {
	if err := s.Restore(revision); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, held := range s.leases {
		if held.granted <= revision {
			continue
		}
		delete(s.leases, id)
		s.lastLease = min(s.lastLease, id-1)
	}
	return nil
}

// EndWatches breaks every watch.
func (s *Store) EndWatches() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endWatchesLocked()
}

func (s *Store) endWatchesLocked() {
	s.epoch++
	s.wakeLocked()
}

// FreezeWatches holds back the events of all watches until it is undone.
func (s *Store) FreezeWatches(frozen bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.frozen = frozen
	s.wakeLocked()
}
