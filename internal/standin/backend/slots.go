package backend

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/doorpond/doorpond/internal/backendapi"
)

// errShed says that the queue for slots is full.
var errShed = errors.New("queue full")

// slots lets a number of requests run at once and a bounded number wait.
type slots struct {
	free       chan struct{}
	queueLimit int64
	queued     atomic.Int64
	inFlight   atomic.Int64
}

func newSlots(count, queueLimit int) *slots {
	return &slots{free: make(chan struct{}, count), queueLimit: int64(queueLimit)}
}

// acquire takes a slot, waits for one in the queue, or returns errShed at
// once; it returns ctx's error when ctx ends first.
func (s *slots) acquire(ctx context.Context) error {
	select {
	case s.free <- struct{}{}:
		s.inFlight.Add(1)
		return nil
	default:
	}
	if s.queued.Add(1) > s.queueLimit {
		s.queued.Add(-1)
		return errShed
	}
	defer s.queued.Add(-1)
	select {
	case s.free <- struct{}{}:
		s.inFlight.Add(1)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *slots) release() {
	s.inFlight.Add(-1)
	<-s.free
}

func (s *slots) load() backendapi.Load {
	return backendapi.Load{
		Slots:    cap(s.free),
		InFlight: int(s.inFlight.Load()),
		Queued:   int(s.queued.Load()),
	}
}
