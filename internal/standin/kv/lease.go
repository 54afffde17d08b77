package kv

import (
	"maps"
	"slices"
	"time"
)

// lease is a granted lease and the keys that end with it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
	// granted is the store's revision when the lease was granted.
	granted int64
}

// Grant grants a lease; an ID of 0 lets the store choose one.
func (s *Store) Grant(request LeaseRequest) (LeaseResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLocked()
	if request.TTL <= 0 {
		return LeaseResponse{}, errLeaseTTL
	}
	id := request.ID
	if id == 0 {
		s.lastLease++
		id = s.lastLease
	}
	if s.leases[id] != nil {
		return LeaseResponse{}, errLeaseExists
	}
	ttl := time.Duration(request.TTL) * time.Second
	s.leases[id] = &lease{ttl: ttl, expires: s.now().Add(ttl), keys: make(map[string]bool), granted: s.history.revision}
	return LeaseResponse{Header: s.headerLocked(), ID: id, TTL: request.TTL}, nil
}

// KeepAlive renews a lease. The TTL in the response is 0 when it is gone.
func (s *Store) KeepAlive(request LeaseRequest) (LeaseResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLocked()
	response := LeaseResponse{Header: s.headerLocked(), ID: request.ID}
	if held := s.leases[request.ID]; held != nil {
		held.expires = s.now().Add(held.ttl)
		response.TTL = Integer(held.ttl / time.Second)
	}
	return response, nil
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(request LeaseRequest) (LeaseResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLocked()
	if s.leases[request.ID] == nil {
		return LeaseResponse{}, errLeaseNotFound
	}
	s.endLeaseLocked(request.ID)
	return LeaseResponse{Header: s.headerLocked()}, nil
}

// Expire ends the leases whose time is over by the store's clock.
func (s *Store) Expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLocked()
}

func (s *Store) expireLocked() {
	now := s.now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].expires) {
			s.endLeaseLocked(id)
		}
	}
}

func (s *Store) endLeaseLocked(id Integer) {
	keys := slices.Sorted(maps.Keys(s.leases[id].keys))
	delete(s.leases, id)
	if len(keys) == 0 {
		return
	}
	writer := &writer{history: s.history, revision: s.history.revision + 1}
	for _, key := range keys {
		writer.remove(key)
	}
	s.finishLocked(writer)
}

// attachLocked moves a key to a lease; 0 detaches it.
func (s *Store) attachLocked(key string, previous, next Integer) {
	if held := s.leases[previous]; held != nil {
		delete(held.keys, key)
	}
	if held := s.leases[next]; held != nil {
		held.keys[key] = true
	}
}
