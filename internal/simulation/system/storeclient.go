package system

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
)

// storeTimeout is how long a daemon waits for the store.
const storeTimeout = 2 * time.Second

// storeClient is a daemon's access to the store; its calls park the task.
type storeClient struct{ daemon *daemon }

// storeReply is what came of one request.
type storeReply struct {
	done     bool
	refused  bool
	outcomes []store.Outcome
	values   []store.KeyValue
	revision int64
}

// exchange runs work at the store and waits for its answer.
func (c storeClient) exchange(work func() storeReply) storeReply {
	world, process, server := c.daemon.world, c.daemon.process, c.daemon.world.store
	var answer storeReply
	world.await(func(wake func()) {
		process.After(storeTimeout, wake)
		world.network.Send(process, server.process, func() {
			server.serve(work, func(reply storeReply) {
				world.network.Send(server.process, process, func() {
					answer = reply
					wake()
				})
			})
		})
	})
	return answer
}

// serve applies a request after the delay and the losses of the moment.
func (s *storeServer) serve(work func() storeReply, answer func(storeReply)) {
	random := s.world.engine.Random()
	if s.silent || random.Float64() < s.loseRequest {
		return
	}
	if s.refuse {
		answer(storeReply{done: true, refused: true})
		return
	}
	delay := time.Millisecond
	if s.slow > 0 {
		delay = time.Duration(random.Int64N(int64(s.slow)))
	}
	s.process.After(delay, func() {
		reply := work()
		reply.done = true
		if random.Float64() >= s.loseAnswer {
			answer(reply)
		}
	})
}

// Get reads one key.
func (c storeClient) Get(ctx context.Context, key string) (store.KeyValue, bool, int64, error) {
	values, revision, err := c.List(ctx, key, 0)
	for _, value := range values {
		if value.Key == key {
			return value, true, revision, err
		}
	}
	return store.KeyValue{}, false, revision, err
}

// List reads the keys with a prefix.
func (c storeClient) List(_ context.Context, prefix string, _ int) ([]store.KeyValue, int64, error) {
	reply := c.exchange(func() storeReply {
		values, revision := c.daemon.world.store.list(prefix)
		return storeReply{values: values, revision: revision}
	})
	if !reply.done || reply.refused {
		return nil, 0, eris.Wrap(store.ErrUnavailable, "read")
	}
	return reply.values, reply.revision, nil
}

// Commit applies one transaction.
func (c storeClient) Commit(ctx context.Context, transaction store.Transaction) (store.Outcome, error) {
	outcomes, err := c.CommitAll(ctx, []store.Transaction{transaction})
	if err != nil {
		return store.Outcome{}, err
	}
	return outcomes[0], nil
}

// CommitAll applies several transactions.
func (c storeClient) CommitAll(_ context.Context, transactions []store.Transaction) ([]store.Outcome, error) {
	reply := c.exchange(func() storeReply {
		return storeReply{outcomes: c.daemon.world.store.commitAll(transactions)}
	})
	switch {
	case !reply.done:
		return nil, eris.Wrap(store.ErrOutcomeUnknown, "commit")
	case reply.refused:
		return nil, eris.Wrap(store.ErrNotApplied, "commit")
	default:
		return reply.outcomes, nil
	}
}
