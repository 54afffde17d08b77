package kv

import "context"

// watchCursor is where one watch has got to.
type watchCursor struct {
	request WatchCreateRequest
	next    int64
	epoch   int
}

// step is what a watch has to do next.
type step struct {
	responses []WatchResponse
	// compacted is over 0 when the watch asked for what is no longer kept.
	compacted int64
	// ended is true when the store broke all watches.
	ended bool
	wait  <-chan struct{}
}

// openWatch returns the cursor of a new watch and its first message.
func (s *Store) openWatch(request WatchCreateRequest) (*watchCursor, WatchResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLocked()
	cursor := &watchCursor{request: request, next: int64(request.StartRevision), epoch: s.epoch}
	if cursor.next <= 0 {
		cursor.next = s.history.revision + 1
	}
	return cursor, WatchResponse{Header: s.headerLocked(), Created: true}
}

// advance returns what is new for a watch and moves its cursor past it.
func (s *Store) advance(cursor *watchCursor) step {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if cursor.epoch != s.epoch {
		return step{ended: true}
	}
	if s.frozen {
		return step{wait: s.changed}
	}
	if cursor.next < s.history.compacted {
		return step{compacted: s.history.compacted}
	}
	responses := group(cursor, s.history.since(cursor.next))
	cursor.next = max(cursor.next, s.history.revision+1)
	return step{responses: responses, wait: s.changed}
}

// group makes one message a revision from the changes that a watch wants.
func group(cursor *watchCursor, changes []change) []WatchResponse {
	var responses []WatchResponse
	for i := range changes {
		made := &changes[i]
		if !inRange(made.keyValue.Key, cursor.request.Key, cursor.request.RangeEnd) {
			continue
		}
		revision := made.keyValue.ModRevision
		if len(responses) == 0 || responses[len(responses)-1].Header.Revision != revision {
			responses = append(responses, WatchResponse{Header: &Header{Revision: revision}})
		}
		last := &responses[len(responses)-1]
		last.Events = append(last.Events, made.event())
	}
	return responses
}

func (c *change) event() Event {
	event := Event{Kv: c.keyValue}
	if c.deleted {
		event.Type = EventDelete
	}
	return event
}

// Watch calls deliver for each message of a watch until ctx ends, deliver
// fails, the revision asked for is compacted, or the store breaks all watches.
func (s *Store) Watch(ctx context.Context, request WatchCreateRequest, deliver func(WatchResponse) error) error {
	cursor, created := s.openWatch(request)
	if err := deliver(created); err != nil {
		return err
	}
	for {
		next := s.advance(cursor)
		if next.ended {
			return errWatchBroken
		}
		if next.compacted > 0 {
			return deliver(WatchResponse{Canceled: true, CompactRevision: Integer(next.compacted)})
		}
		for _, response := range next.responses {
			if err := deliver(response); err != nil {
				return err
			}
		}
		select {
		case <-next.wait:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
