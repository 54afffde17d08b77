package follower

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/store"
)

// relayedMaxStaleness is the time for news of a watching follower.
const relayedMaxStaleness = 10 * time.Second

// relayedFollower is a follower that watches another node in place of the store.
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
	eventually(t, "another node is watched", func() bool { return len(w.relays.watchedNodes()) > 0 })
	return w
}

// TestNewsComesInTimeThoughAllWatchesAreDeaf: a node that watches another one hears of a
// change by datagram, at the latest checkShare of the time for news after it. Neither
// that node's watch nor the store's tells it; by then the whole time must not be over.
func TestNewsComesInTimeThoughAllWatchesAreDeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startRelayedFollower(t)
		w.store.setFaults(true, false)
		w.store.put(tableAt(t, 9, 9))
		w.announcer.received <- announce.Announcement{Revision: 9}
		told := time.Now()
		eventually(t, "the table is in force", tableActive(w.board, 9))
		if took := time.Since(told); took > time.Duration((1-confirmationFraction-callTimeoutFraction/2)*float64(relayedMaxStaleness)) {
			t.Errorf("in force %v after it was heard of, of %v for news", took, relayedMaxStaleness)
		}
	})
}

// TestWhoWatchesAnotherNodeWaitsForItsReading: that node gives its own watch up at the same
// moment, and what it reads comes a little later; the store is not watched for that.
func TestWhoWatchesAnotherNodeWaitsForItsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startRelayedFollower(t)
		w.announcer.received <- announce.Announcement{Revision: 9}
		time.Sleep(time.Duration(graceFraction*float64(relayedMaxStaleness)) + 50*time.Millisecond)
		select {
		case w.relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}:
		case <-time.After(relayedMaxStaleness):
			t.Fatal("the other node is not watched any more")
		}
		eventually(t, "what the other node tells is in force", tableActive(w.board, 9))
		if watches := w.store.watchCount(); watches != 0 {
			t.Errorf("the store is watched %d times", watches)
		}
	})
}
