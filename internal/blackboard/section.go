// Package blackboard holds the state that the components of a daemon share, as typed
// immutable values behind atomic pointers. Each section has one writer and many readers;
// reading takes no lock and does not allocate (read-copy-update).
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Section holds one value of the blackboard. Its zero value is empty and ready to use.
// A published value must not be modified.
type Section[T any] struct {
	value   atomic.Pointer[T]
	mutex   sync.Mutex
	changed chan struct{}
}

// Load returns the value published last, or nil if there is none.
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

// Changed returns a channel that the next Publish closes. To miss no change, call
// Changed before Load.
func (s *Section[T]) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
