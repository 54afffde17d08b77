package document

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Source fetches a document from a peer; package peer's client is one.
type Source interface {
	FetchDocument(ctx context.Context, address string, name Name) (Document, error)
}

// FetcherOptions are what a Fetcher needs.
type FetcherOptions struct {
	Source   Source
	Register *Register
	// Peers returns addresses to try after the one that announced, best first.
	Peers  func() []string
	Logger *slog.Logger
}

// The constants of a Fetcher; the simulation uses them too.
const (
	// FetchTimeout bounds one fetch. It is short beside the seconds within
	// which a change must be in force: a peer that has just died should cost
	// little before the next one is asked.
	FetchTimeout = 700 * time.Millisecond
	// MaxFetchAttempts is how many peers are asked in a row.
	MaxFetchAttempts = 4
	// FetchBackoff is the wait before the second attempt; it grows by itself
	// with each further one.
	FetchBackoff = 200 * time.Millisecond
	// FetchRetryInterval is the wait before a revision that nobody gave is asked for
	// again.
	FetchRetryInterval = time.Second
)

// announcement says which peer has which revision.
type announcement struct {
	name     Name
	revision uint64
	address  string
}

// Fetcher fetches documents that peers announce and offers them to the
// register. One document is fetched at a time, so a burst of announcements of
// one revision costs one fetch.
type Fetcher struct {
	options  FetcherOptions
	mutex    sync.Mutex
	wanted   map[Name]announcement
	arrivals chan struct{}
}

// NewFetcher returns a Fetcher; Run does the work.
func NewFetcher(options FetcherOptions) *Fetcher {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Fetcher{options: options, wanted: make(map[Name]announcement), arrivals: make(chan struct{}, 1)}
}

// HandleAnnouncement tells the fetcher that a peer has a revision. It does not block.
func (f *Fetcher) HandleAnnouncement(name Name, revision uint64, address string) {
	if f.has(name, revision) {
		return
	}
	f.mutex.Lock()
	if f.wanted[name].revision < revision {
		f.wanted[name] = announcement{name: name, revision: revision, address: address}
	}
	f.mutex.Unlock()
	select {
	case f.arrivals <- struct{}{}:
	default:
	}
}

func (f *Fetcher) has(name Name, revision uint64) bool {
	current, found := f.options.Register.Current(name)
	return found && current.Revision >= revision
}

// Run fetches until ctx ends, and returns nil then. A revision that nobody
// gave is wanted again after a while, as its announcement is not repeated.
func (f *Fetcher) Run(ctx context.Context) error {
	again := time.NewTicker(FetchRetryInterval)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.arrivals:
		case <-again.C:
		}
		for _, name := range Names {
			f.satisfy(ctx, name)
		}
	}
}

// satisfy fetches the revision wanted of a document, from its announcer first
// and from other peers after it.
func (f *Fetcher) satisfy(ctx context.Context, name Name) {
	want, isWanted := f.want(name)
	if !isWanted {
		return
	}
	addresses := append([]string{want.address}, f.options.Peers()...)
	for attempt := 0; attempt < min(MaxFetchAttempts, len(addresses)); attempt++ {
		if !pause(ctx, time.Duration(attempt)*FetchBackoff) {
			return
		}
		f.FetchFrom(ctx, addresses[attempt], name)
		if f.has(name, want.revision) {
			return
		}
	}
}

// want returns the revision of a document that is wanted and not had yet.
func (f *Fetcher) want(name Name) (want announcement, isWanted bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	want, isWanted = f.wanted[name]
	if isWanted && f.has(name, want.revision) {
		delete(f.wanted, name)
		isWanted = false
	}
	return want, isWanted
}

// FetchFrom fetches a document from one peer and offers it. It tells whether
// the peer answered with a document, newer or not.
func (f *Fetcher) FetchFrom(ctx context.Context, address string, name Name) bool {
	ctx, cancel := context.WithTimeout(ctx, FetchTimeout)
	defer cancel()
	fetched, err := f.options.Source.FetchDocument(ctx, address, name)
	if err != nil {
		f.options.Logger.Debug("fetch of a document failed", "document", name, "peer", address, "error", err)
		return false
	}
	if _, err := f.options.Register.Offer(fetched); err != nil {
		f.options.Logger.Warn("a peer's document was refused", "document", name, "peer", address, "error", err)
		return false
	}
	return true
}

// pause waits, and tells whether ctx is still on.
func pause(ctx context.Context, wait time.Duration) bool {
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
