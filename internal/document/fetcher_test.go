package document

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/elapsed"
)

// fakeSource is a Source with a revision of the table per address. Fetches from an
// address with revision 0 fail.
type fakeSource struct {
	mutex     sync.Mutex
	revisions map[string]uint64
	requested []string
}

func (s *fakeSource) FetchConfirmedDocument(ctx context.Context, address string, name Name) (Document, error) {
	return s.FetchDocument(ctx, address, name)
}

func (s *fakeSource) FetchDocument(_ context.Context, address string, name Name) (Document, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requested = append(s.requested, address)
	if s.revisions[address] == 0 {
		return Document{}, errors.New("no reply")
	}
	return Document{Name: name, Revision: s.revisions[address], Body: []byte("{}")}, nil
}

func (s *fakeSource) set(address string, revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revisions[address] = revision
}

func TestFetcherFetchesAnnouncedRevision(t *testing.T) {
	cases := []struct {
		name      string
		revisions map[string]uint64
		later     uint64 // revision of the announcer after a minute; 0 for no change
		want      uint64
	}{
		{"from the announcer", map[string]uint64{"announcer": 5}, 0, 5},
		{"from other peer if announcer fails", map[string]uint64{"other": 5}, 0, 5},
		{"from other peer if announcer is outdated", map[string]uint64{"announcer": 4, "other": 6}, 0, 6},
		{"retried until available", map[string]uint64{}, 5, 5},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				register := NewRegister()
				source := &fakeSource{revisions: test.revisions}
				fetcher := NewFetcher(FetcherOptions{Source: source, Register: register, Peers: func() []string { return []string{"other"} }})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = fetcher.Run(ctx) }()
				fetcher.HandleAnnouncement(Table, 5, "announcer")
				time.Sleep(time.Minute)
				if test.later > 0 {
					source.set("announcer", test.later)
					time.Sleep(10 * time.Second)
				}
				current, _ := register.Current(Table)
				if current.Revision != test.want {
					t.Errorf("revision %d, want %d", current.Revision, test.want)
				}
				requested := len(source.requested)
				fetcher.HandleAnnouncement(Table, 5, "announcer")
				time.Sleep(10 * time.Second)
				if len(source.requested) != requested {
					t.Error("current revision fetched again")
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// lateSource replies from a time on.
type lateSource struct {
	fakeSource
	repliesFrom time.Time
}

func (s *lateSource) FetchDocument(ctx context.Context, address string, name Name) (Document, error) {
	timer := time.NewTimer(time.Until(s.repliesFrom))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return Document{}, context.Cause(ctx)
	case <-timer.C:
		return s.fakeSource.FetchDocument(ctx, address, name)
	}
}

// TestFetchExcludesPauses guards against giving up the reply of a peer that came while the process
// was paused.
func TestFetchExcludesPauses(t *testing.T) {
	cases := []struct {
		name             string
		pause, repliesAt time.Duration
		want             bool
	}{
		{"pause", 2 * FetchTimeout, 2*FetchTimeout + FetchTimeout/2, true},
		{"no pause, late reply", 0, 2 * FetchTimeout, false},
		{"no reply after a pause", 2 * FetchTimeout, 4 * FetchTimeout, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				meter := elapsed.New(elapsed.Config{Now: func() time.Duration { return time.Since(start) }})
				source := &lateSource{fakeSource{revisions: map[string]uint64{"peer": 5}}, start.Add(test.repliesAt)}
				fetcher := NewFetcher(FetcherOptions{Source: source, Register: NewRegister(), WithTimeout: meter.WithTimeout})
				fetched := make(chan bool, 1)
				go func() { fetched <- fetcher.FetchFrom(t.Context(), "peer", Table) }()
				time.Sleep(test.pause)
				go func() { _ = meter.Run(t.Context()) }()
				if got := <-fetched; got != test.want {
					t.Errorf("fetched %v, want %v", got, test.want)
				}
			})
		})
	}
}
