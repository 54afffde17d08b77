package once

import (
	"context"
	"log/slog"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/store"
)

const (
	// AnnounceInterval is the minimum interval between announcements of newer
	// revisions to peers. Regressions, new epochs, and revisions while requests
	// to the store fail are announced immediately.
	AnnounceInterval = 5 * time.Second
	// PeerWatermarkTimeout limits how long a daemon waits after its start for a
	// peer's watermark before its first commit.
	PeerWatermarkTimeout = 1500 * time.Millisecond

	peerWatermarkPollInterval = 20 * time.Millisecond
	// fenceRecheckTicks is the interval, in units of AnnounceInterval, at which
	// a daemon that refuses calls reads the fence from the store, in case it
	// missed the announcement of the next epoch.
	fenceRecheckTicks = 3
)

// MergeWatermark adopts a peer's watermark if it is newer.
func (s *Service) MergeWatermark(watermark Watermark) {
	before := s.Regressed()
	s.fence.Merge(watermark)
	if after := s.Regressed(); after != before {
		s.options.Logger.Warn("store regression state changed by a peer's watermark", slog.Bool("regressed", after), slog.Uint64("epoch", watermark.Epoch))
	}
}

// Regressed reports whether calls are refused because the store was restored to
// an older state.
func (s *Service) Regressed() bool { return s.fence.Watermark().Regressed }

// awaitPeerWatermark waits for a peer's watermark for at most
// PeerWatermarkTimeout.
func (s *Service) awaitPeerWatermark(ctx context.Context) {
	timeout, cancel := s.options.WithTimeout(ctx, PeerWatermarkTimeout)
	defer cancel()
	poll := time.NewTicker(peerWatermarkPollInterval)
	defer poll.Stop()
	for s.options.HasPeers() && !s.fence.HasPeerWatermark() {
		select {
		case <-timeout.Done():
			return
		case <-poll.C:
		}
	}
}

// maintainFence periodically announces the watermark, closes the fence after a
// regression and checks for its acknowledgment, until ctx is done.
func (s *Service) maintainFence(ctx context.Context) {
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
		s.announce(s.fence.TakePeriodicAnnouncement())
		recheck := s.Regressed() && tick%fenceRecheckTicks == 0
		if s.fence.NeedsClose() || s.fence.ProbeRequired() || recheck {
			s.syncFence()
		}
	}
}

// announce announces a watermark to peers if wanted is set.
func (s *Service) announce(watermark Watermark, wanted bool) {
	if wanted {
		s.options.Announce(watermark)
	}
}

// handleStatus announces urgent changes after a commit or probe, and closes the
// fence after a regression.
func (s *Service) handleStatus(FenceStatus) {
	if !s.fence.HasUrgentAnnouncement() {
		return
	}
	watermark := s.fence.Watermark()
	if watermark.Regressed {
		s.options.Logger.Error("store was restored to an older state; refusing calls",
			slog.Uint64("epoch", watermark.Epoch), slog.Int64("revision", watermark.Revision))
		s.syncFence()
	}
	s.announce(s.fence.TakeAnnouncement())
}

// syncFence closes the fence in the store if this daemon needs to, and otherwise
// probes it.
func (s *Service) syncFence() {
	s.batcher.submit(&queuedTransaction{
		key: FenceKey,
		prepare: func(store.Lease) (store.Transaction, bool) {
			if !s.fence.NeedsClose() {
				return s.fence.Probe(), true
			}
			transaction, err := s.fence.CloseTransaction()
			return transaction, err == nil
		},
		reject: func(error) {},
		complete: func(_ store.Outcome, _ FenceStatus, err error) {
			if err == nil {
				s.fence.ConfirmClosed()
			}
		},
	})
}

// Acknowledge begins a new epoch, in which calls are accepted again. With it an
// operator confirms that no caller will repeat a call made before the store was
// restored. It returns false if the store is not regressed. Error kinds include
// StoreUnavailable, Conflict (the fence was written concurrently) and
// OutcomeUnknown. Acknowledge can safely be retried.
func (s *Service) Acknowledge(ctx context.Context, author string) (bool, error) {
	if !s.Regressed() {
		return false, nil
	}
	if author == "" {
		return false, failure.New(failure.InvalidRequest, "acknowledge restore: author is missing")
	}
	value, _, _, err := s.options.Store.Get(ctx, FenceKey)
	if err != nil {
		return false, failure.Wrap(err, failure.StoreUnavailable, "read fence")
	}
	transaction, epoch, err := s.fence.OpenTransaction(author, value.Value, value.ModRevision)
	if err != nil {
		return false, failure.Wrap(err, failure.Internal, "open fence").WithNotRun(true)
	}
	outcomes, err := s.options.Store.CommitAll(ctx, []store.Transaction{transaction})
	if err == nil && len(outcomes) != 1 {
		err = store.ErrOutcomeUnknown
	}
	if err != nil {
		return false, failure.Wrap(err, failure.OutcomeUnknown, "open fence")
	}
	if !outcomes[0].Applied {
		return false, failure.New(failure.Conflict, "fence was written concurrently; check the status before retrying")
	}
	s.fence.ConfirmOpened(epoch, outcomes[0].Revision)
	s.options.Logger.Info("store restore acknowledged; accepting calls",
		slog.Uint64("epoch", epoch), slog.String("author", author))
	s.announce(s.fence.TakeAnnouncement())
	return true, nil
}
