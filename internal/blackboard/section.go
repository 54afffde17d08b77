// Package blackboard holds what the parts of a daemon know in common, as
// typed immutable sections behind atomic pointers. Each section has one
// writing controller and many readers; reading takes no lock and allocates
// nothing (read-copy-update).
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Section is one part of the blackboard. Its zero value is empty and ready.
// A published value must not be changed afterwards.
type Section[T any] struct {
	value   atomic.Pointer[T]
	mutex   sync.Mutex
	changed chan struct{}
}

// Load returns the value published last, or nil before the first.
func (s *Section[T]) Load() *T { return s.value.Load() }

// Publish replaces the value and wakes those who wait on Changed.
func (s *Section[T]) Publish(value *T) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.value.Store(value)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Changed returns a channel that is closed by the next Publish. To miss no
// change, take the channel first and Load afterwards.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
