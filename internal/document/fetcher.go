package document

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/elapsed"
)

// Source fetches a document from a peer; peer.Client implements it.
type Source interface {
	FetchDocument(ctx context.Context, address string, name Name) (Document, error)
	// FetchConfirmedDocument fails if the peer does not know whether its document is current.
	FetchConfirmedDocument(ctx context.Context, address string, name Name) (Document, error)
}

// FetcherOptions configures a Fetcher.
type FetcherOptions struct {
	Source   Source
	Register *Register
	// Peers returns the addresses to try after the announcing peer, in order of
	// preference.
	Peers  func() []string
	Logger *slog.Logger
	// WithTimeout bounds one fetch; nil means context.WithTimeout.
	WithTimeout elapsed.TimeoutFunc
}

// The timing of a Fetcher. The simulation uses these values too.
const (
	// FetchTimeout bounds one fetch. It is short so that a peer that has just
	// failed does not delay the propagation of a change by much.
	FetchTimeout = 700 * time.Millisecond
	// MaxFetchAttempts is the maximum number of peers tried per round.
	MaxFetchAttempts = 4
	// FetchBackoff is the wait before the second attempt; the wait grows by the
	// same amount with each further attempt.
	FetchBackoff = 200 * time.Millisecond
	// FetchRetryInterval is the interval at which missing revisions are
	// requested again.
	FetchRetryInterval = time.Second
)

// announcement records that a peer has a revision of a document.
type announcement struct {
	name     Name
	revision uint64
	address  string
}

// Fetcher fetches the documents that peers announce and offers them to the
// register. It makes one fetch at a time, so a burst of announcements of one
// revision causes a single fetch.
type Fetcher struct {
	options FetcherOptions
	mutex   sync.Mutex
	pending map[Name]announcement
	wake    chan struct{}
}

// NewFetcher returns a Fetcher. It fetches documents while Run is running.
func NewFetcher(options FetcherOptions) *Fetcher {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.WithTimeout == nil {
		options.WithTimeout = context.WithTimeout
	}
	return &Fetcher{options: options, pending: make(map[Name]announcement), wake: make(chan struct{}, 1)}
}

// HandleAnnouncement records that a peer has a revision. It does not block.
func (f *Fetcher) HandleAnnouncement(name Name, revision uint64, address string) {
	if f.has(name, revision) {
		return
	}
	f.mutex.Lock()
	if f.pending[name].revision < revision {
		f.pending[name] = announcement{name: name, revision: revision, address: address}
	}
	f.mutex.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Fetcher) has(name Name, revision uint64) bool {
	current, found := f.options.Register.Current(name)
	return found && current.Revision >= revision
}

// Run fetches announced documents until ctx is done and then returns nil. A
// revision that no peer returned is requested again periodically, because its
// announcement is not repeated.
func (f *Fetcher) Run(ctx context.Context) error {
	retry := time.NewTicker(FetchRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.wake:
		case <-retry.C:
		}
		for _, name := range Names {
			f.fetchPending(ctx, name)
		}
	}
}

// fetchPending fetches the pending revision of a document, first from the peer
// that announced it and then from other peers.
func (f *Fetcher) fetchPending(ctx context.Context, name Name) {
	pending, ok := f.pendingAnnouncement(name)
	if !ok {
		return
	}
	addresses := append([]string{pending.address}, f.options.Peers()...)
	for attempt := 0; attempt < min(MaxFetchAttempts, len(addresses)); attempt++ {
		if !sleep(ctx, time.Duration(attempt)*FetchBackoff) {
			return
		}
		f.FetchFrom(ctx, addresses[attempt], name)
		if f.has(name, pending.revision) {
			return
		}
	}
}

// pendingAnnouncement returns the announcement of a revision that the register does
// not have yet.
func (f *Fetcher) pendingAnnouncement(name Name) (pending announcement, ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pending, ok = f.pending[name]
	if ok && f.has(name, pending.revision) {
		delete(f.pending, name)
		ok = false
	}
	return pending, ok
}

// FetchFrom fetches a document from one peer and offers it to the register. It
// reports whether the peer returned a valid document, even if not a newer one.
func (f *Fetcher) FetchFrom(ctx context.Context, address string, name Name) bool {
	return f.fetch(ctx, f.options.Source.FetchDocument, address, name)
}

// ConfirmFrom is like FetchFrom, but the peer must know that its document is current.
func (f *Fetcher) ConfirmFrom(ctx context.Context, address string, name Name) bool {
	return f.fetch(ctx, f.options.Source.FetchConfirmedDocument, address, name)
}

type fetchFunc func(ctx context.Context, address string, name Name) (Document, error)

func (f *Fetcher) fetch(ctx context.Context, from fetchFunc, address string, name Name) bool {
	ctx, cancel := f.options.WithTimeout(ctx, FetchTimeout)
	defer cancel()
	fetched, err := from(ctx, address, name)
	if err != nil {
		f.options.Logger.Debug("fetching document from peer failed", "document", name, "peer", address, "error", err)
		return false
	}
	if _, err := f.options.Register.Offer(fetched); err != nil {
		f.options.Logger.Warn("document from peer rejected", "document", name, "peer", address, "error", err)
		return false
	}
	return true
}

// sleep waits for the given time and reports whether ctx is still active.
func sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
