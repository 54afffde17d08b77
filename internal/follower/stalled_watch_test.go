package follower

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/store"
)

// relayedMaxStaleness is the MaxStaleness of a relayedFollower.
const relayedMaxStaleness = 10 * time.Second

// relayedFollower is a follower that watches a relay.
type relayedFollower struct {
	store     *fakeStore
	relays    *fakeRelayClient
	announcer *fakeAnnouncer
	board     *blackboard.Board
}

func startRelayedFollower(t *testing.T) *relayedFollower {
	t.Helper()
	w := &relayedFollower{
		store: &fakeStore{}, relays: &fakeRelayClient{batches: make(chan store.WatchBatch)},
		announcer: &fakeAnnouncer{received: make(chan announce.Announcement)},
	}
	w.board = startRelayedWith(t, w.store, w.relays, twoPeers(t), w.announcer, relayedMaxStaleness)
	eventually(t, "a relay is watched", func() bool { return len(w.relays.watchedNodes()) > 0 })
	return w
}

// TestStalledWatchesWithinMaxStaleness tests that a change takes effect within MaxStaleness though
// neither the relay's watch nor the store's delivers it. The announcement may come as late as
// confirmationFraction after the change.
func TestStalledWatchesWithinMaxStaleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startRelayedFollower(t)
		w.store.setFaults(true, false)
		w.store.put(tableAt(t, 9, 9))
		w.announcer.received <- announce.Announcement{Revision: 9}
		announced := time.Now()
		eventually(t, "the configuration is active", tableActive(w.board, 9))
		if took := time.Since(announced); took > time.Duration((1-confirmationFraction-callTimeoutFraction/2)*float64(relayedMaxStaleness)) {
			t.Errorf("active %v after the announcement with MaxStaleness %v", took, relayedMaxStaleness)
		}
	})
}

// TestRelayGraceCoversPeerResync tests that a node waits for its relay's full listing, which the
// relay begins at the end of the same grace period, instead of watching the store.
func TestRelayGraceCoversPeerResync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startRelayedFollower(t)
		w.announcer.received <- announce.Announcement{Revision: 9}
		time.Sleep(time.Duration(graceFraction*float64(relayedMaxStaleness)) + 50*time.Millisecond)
		select {
		case w.relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}:
		case <-time.After(relayedMaxStaleness):
			t.Fatal("the relay is no longer watched")
		}
		eventually(t, "the relay's change is active", tableActive(w.board, 9))
		if watches := w.store.watchCount(); watches != 0 {
			t.Errorf("%d store watches, want none", watches)
		}
	})
}
