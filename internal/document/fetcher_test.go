package document

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// peers is a Source whose peers have revisions of the table; 0 fails.
type peers struct {
	mutex     sync.Mutex
	revisions map[string]uint64
	asked     []string
}

func (p *peers) FetchDocument(_ context.Context, address string, name Name) (Document, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.asked = append(p.asked, address)
	if p.revisions[address] == 0 {
		return Document{}, errors.New("no reply")
	}
	return Document{Name: name, Revision: p.revisions[address], Body: []byte("{}")}, nil
}

func (p *peers) set(address string, revision uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.revisions[address] = revision
}

func TestAnAnnouncedRevisionIsFetchedWhoeverHasIt(t *testing.T) {
	cases := []struct {
		name      string
		revisions map[string]uint64
		later     uint64 // what the announcer has after a minute; 0 for no change
		want      uint64
	}{
		{"from the announcer", map[string]uint64{"announcer": 5}, 0, 5},
		{"from another when the announcer is gone", map[string]uint64{"other": 5}, 0, 5},
		{"from another when the announcer has only heard of it", map[string]uint64{"announcer": 4, "other": 6}, 0, 6},
		{"later when nobody had it", map[string]uint64{}, 5, 5},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				register := NewRegister()
				source := &peers{revisions: test.revisions}
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
				asked := len(source.asked)
				fetcher.HandleAnnouncement(Table, 5, "announcer")
				time.Sleep(10 * time.Second)
				if len(source.asked) != asked {
					t.Error("a revision that is had was fetched again")
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
