package system

import (
	"context"
	"errors"
	"time"

	"github.com/doorpond/doorpond/internal/membership"
	"github.com/doorpond/doorpond/internal/once"
	"github.com/doorpond/doorpond/internal/store"
)

// recheckEvery is how often a daemon that refuses calls reads the fence, as in
// package once.
const recheckEvery = 3 * once.AnnounceInterval

// awaitMark gives peers a moment after the start to tell their marks.
func (s *callService) awaitMark() {
	const poll = 20 * time.Millisecond
	for !s.fence.HasPeerWatermark() && s.daemon.now().Sub(s.started) < once.PeerWatermarkTimeout {
		s.daemon.world.sleep(poll)
	}
}

// probe finds out whether the store that failed a while ago is as new as it
// was; if that cannot be found out, the batch is put off.
func (s *callService) probe(batch []claimEntry) bool {
	sent := s.fence.Watermark()
	outcomes, err := storeClient{s.daemon}.CommitAll(context.Background(), []store.Transaction{s.fence.Probe()})
	if err == nil {
		s.fence.Check(sent, outcomes[0], false)
		s.judged()
		return true
	}
	for _, entry := range batch {
		switch {
		case entry.claim == nil:
			entry.finish(store.Outcome{}, once.FenceCurrent, err)
		case errors.Is(err, store.ErrNotApplied):
			entry.claim.step(once.ClaimEvent(store.Outcome{}, once.FenceCurrent, err))
		default:
			s.daemon.process.After(s.daemon.world.jitter(claimAgainWait), func() { s.submit(entry) })
		}
	}
	return false
}

// send commits transactions together with a probe of the fence.
func (s *callService) send(sent []claimEntry, transactions []store.Transaction) {
	mark := s.fence.Watermark()
	guarded := append(transactions, s.fence.Probe())
	outcomes, err := storeClient{s.daemon}.CommitAll(context.Background(), guarded)
	if err != nil {
		s.fence.RequireProbe()
		for _, entry := range sent {
			entry.finish(store.Outcome{}, once.FenceCurrent, err)
		}
		s.judged()
		return
	}
	verdict := s.fence.Check(mark, outcomes[len(sent)], once.AnyWritten(guarded, outcomes))
	for at, entry := range sent {
		entry.finish(outcomes[at], verdict, nil)
	}
	s.judged()
}

// judged announces what is urgent, and closes the fence after a regression.
func (s *callService) judged() {
	if !s.fence.HasUrgentAnnouncement() {
		return
	}
	if s.fence.Watermark().Regressed {
		s.daemon.world.tracef("%s finds the store regressed, mark %+v", s.daemon.id, s.fence.Watermark())
		s.daemon.world.checks.regressionFound(s.daemon)
		s.tryFence()
		s.daemon.world.regressionFound()
	}
	s.announce(s.fence.TakeAnnouncement())
}

// tend announces marks and tries the fence now and then.
func (s *callService) tend() {
	s.announce(s.fence.TakePeriodicAnnouncement())
	if s.fence.NeedsClose() {
		s.tryFence()
	}
	s.daemon.process.After(once.AnnounceInterval, s.tend)
}

// recheck looks for the acknowledgment of a regression.
func (s *callService) recheck() {
	if s.fence.Watermark().Regressed {
		s.tryFence()
	}
	s.daemon.process.After(recheckEvery, s.recheck)
}

func (s *callService) announce(mark once.Watermark, wanted bool) {
	if !wanted {
		return
	}
	s.daemon.process.After(0, func() {
		s.daemon.step(membership.Announced{Record: membership.Record{
			Kind: membership.RecordStoreWatermark, Key: membership.StoreWatermarkKey, Version: mark.Version(),
		}})
	})
}

// tryFence closes the store's fence if this daemon should, and reads it.
func (s *callService) tryFence() {
	s.submit(claimEntry{
		key: once.FenceKey,
		begin: func() (store.Transaction, bool) {
			if !s.fence.NeedsClose() {
				return s.fence.Probe(), true
			}
			transaction, err := s.fence.CloseTransaction()
			return transaction, err == nil
		},
		finish: func(_ store.Outcome, _ once.FenceStatus, err error) {
			if err == nil {
				s.fence.ConfirmClosed()
			}
		},
	})
}

// callersGiveUp is when no caller repeats a call that it made before.
const callersGiveUp = callTries * (callPatience + 500*time.Millisecond)

// regressionFound has an operator acknowledge once callers have given up; a
// second finding meanwhile begins the wait anew.
func (w *World) regressionFound() {
	w.regressions++
	found := w.regressions
	w.operators[0].process.After(callersGiveUp, func() {
		if found == w.regressions {
			w.operators[0].acknowledge()
		}
	})
}

// acknowledge opens the fence through some daemon, and tries again until a
// daemon knows nothing of a regression.
func (o *operator) acknowledge() {
	w := o.world
	target := w.daemonFor(w.engine.Random().IntN(len(w.slots)))
	w.deliver(o.process, target, func() {
		w.spawn(target.process, nil, func() {
			opened, err := target.calls.acknowledge(o.name)
			w.tracef("acknowledged by %s at %s: %v %v", o.name, target.id, opened, err)
			if opened {
				w.checks.figures.Acknowledged++
				w.acknowledgedAt = w.engine.Now()
			}
			if err != nil {
				w.sleep(time.Second)
				o.process.After(0, o.acknowledge)
			}
		})
	}, func() { o.process.After(time.Second, o.acknowledge) })
}

// acknowledge is once.Service.Acknowledge on the virtual clock.
func (s *callService) acknowledge(author string) (bool, error) {
	if !s.fence.Watermark().Regressed {
		return false, nil
	}
	access := storeClient{s.daemon}
	value, _, _, err := access.Get(context.Background(), once.FenceKey)
	if err != nil {
		return false, err
	}
	transaction, epoch, err := s.fence.OpenTransaction(author, value.Value, value.ModRevision)
	if err != nil {
		return false, err
	}
	outcome, err := access.Commit(context.Background(), transaction)
	if err != nil {
		return false, err
	}
	if !outcome.Applied {
		return false, store.ErrNotApplied
	}
	s.fence.ConfirmOpened(epoch, outcome.Revision)
	s.announce(s.fence.TakeAnnouncement())
	return true, nil
}
