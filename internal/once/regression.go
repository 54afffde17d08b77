package once

import (
	"context"
	"log/slog"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/store"
)

const (
	// AnnounceInterval is how often a daemon tells peers of a higher revision
	// of the store at most; in trouble with the store it tells them at once, as
	// also of regressions and new epochs.
	AnnounceInterval = 5 * time.Second
	// PeerWatermarkTimeout bounds the wait of a daemon that has just started for a peer's
	// mark, before its first commit.
	PeerWatermarkTimeout = 1500 * time.Millisecond

	awaitMarkPoll = 20 * time.Millisecond
	// recheckTicks is how many AnnounceIntervals a daemon that refuses calls
	// waits between two looks at the store's fence, in case no peer told it of
	// the next epoch.
	recheckTicks = 3
)

// MergeWatermark takes over a peer's mark.
func (s *Service) MergeWatermark(mark Watermark) {
	before := s.Regressed()
	s.fence.Merge(mark)
	if after := s.Regressed(); after != before {
		s.options.Logger.Warn("a peer told of the store's state", slog.Bool("regressed", after), slog.Uint64("epoch", mark.Epoch))
	}
}

// Regressed tells whether calls are refused because the store went back.
func (s *Service) Regressed() bool { return s.fence.Watermark().Regressed }

// awaitMark gives peers a moment to tell how new the store must be.
func (s *Service) awaitMark(ctx context.Context) {
	limit := time.NewTimer(PeerWatermarkTimeout)
	defer limit.Stop()
	poll := time.NewTicker(awaitMarkPoll)
	defer poll.Stop()
	for s.options.HasPeers() && !s.fence.HasPeerWatermark() {
		select {
		case <-ctx.Done():
			return
		case <-limit.C:
			return
		case <-poll.C:
		}
	}
}

// tendFence announces marks, closes the fence after a regression and looks
// for its acknowledgment, until ctx ends.
func (s *Service) tendFence(ctx context.Context) {
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for tick := 1; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.options.StoreUnhealthy() {
			s.fence.RequireProbe()
		}
		s.tell(s.fence.TakePeriodicAnnouncement())
		recheck := s.Regressed() && tick%recheckTicks == 0
		if s.fence.NeedsClose() || s.fence.ProbeRequired() || recheck {
			s.tryFence()
		}
	}
}

// tell announces a mark if that is wanted.
func (s *Service) tell(mark Watermark, wanted bool) {
	if wanted {
		s.options.Announce(mark)
	}
}

// judged reacts to a verdict at once.
func (s *Service) judged(FenceStatus) {
	if !s.fence.HasUrgentAnnouncement() {
		return
	}
	mark := s.fence.Watermark()
	if mark.Regressed {
		s.options.Logger.Error("the store was restored to an older state; calls are refused",
			slog.Uint64("epoch", mark.Epoch), slog.Int64("revision", mark.Revision))
		s.tryFence()
	}
	s.tell(s.fence.TakeAnnouncement())
}

// tryFence closes the store's fence if this daemon should, and reads it in any
// case, as each commit does.
func (s *Service) tryFence() {
	s.batcher.submit(&entry{
		key: FenceKey,
		begin: func(store.Lease) (store.Transaction, bool) {
			if !s.fence.NeedsClose() {
				return s.fence.Probe(), true
			}
			transaction, err := s.fence.CloseTransaction()
			return transaction, err == nil
		},
		refuse: func(error) {},
		finish: func(_ store.Outcome, _ FenceStatus, err error) {
			if err == nil {
				s.fence.ConfirmClosed()
			}
		},
	})
}

// Acknowledge begins a new epoch, in which calls are run again: an operator
// says that no caller will repeat a call made before the store was restored.
// It is false when calls are not refused. The errors are of the kinds
// StoreUnavailable, Conflict (another acknowledged at the same time) and
// OutcomeUnknown; repeating it does no harm.
func (s *Service) Acknowledge(ctx context.Context, author string) (bool, error) {
	if !s.Regressed() {
		return false, nil
	}
	if author == "" {
		return false, failure.New(failure.InvalidRequest, "acknowledge the restore: the author is missing")
	}
	value, _, _, err := s.options.Store.Get(ctx, FenceKey)
	if err != nil {
		return false, failure.Wrap(err, failure.StoreUnavailable, "read the fence")
	}
	transaction, epoch, err := s.fence.OpenTransaction(author, value.Value, value.ModRevision)
	if err != nil {
		return false, failure.Wrap(err, failure.Internal, "open the fence").WithNotRun(true)
	}
	outcomes, err := s.options.Store.CommitAll(ctx, []store.Transaction{transaction})
	if err == nil && len(outcomes) != 1 {
		err = store.ErrOutcomeUnknown
	}
	if err != nil {
		return false, failure.Wrap(err, failure.OutcomeUnknown, "open the fence")
	}
	if !outcomes[0].Applied {
		return false, failure.New(failure.Conflict, "the fence was written at the same time; look at the status again")
	}
	s.fence.ConfirmOpened(epoch, outcomes[0].Revision)
	s.options.Logger.Info("calls are run again after a restore of the store",
		slog.Uint64("epoch", epoch), slog.String("author", author))
	s.tell(s.fence.TakeAnnouncement())
	return true, nil
}
