package follower

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/store"
)

// watchingNews is the time for news of a watching follower.
const watchingNews = 10 * time.Second

// watching is a follower that watches another node in place of the store.
type watching struct {
	source *fakeSource
	relays *fakeRelays
	peers  *fakePeers
	board  *blackboard.Board
}

func startWatching(t *testing.T) *watching {
	t.Helper()
	w := &watching{
		source: &fakeSource{}, relays: &fakeRelays{batches: make(chan store.WatchBatch)},
		peers: &fakePeers{received: make(chan announce.Announcement)},
	}
	w.board = startTold(t, w.source, w.relays, twoOthers(t), w.peers, watchingNews)
	eventually(t, "another node is watched", func() bool { return len(w.relays.asked()) > 0 })
	return w
}

// TestNewsComesInTimeThoughAllWatchesAreDeaf: a node that watches another one hears of a
// change by datagram, at the latest checkShare of the time for news after it. Neither
// that node's watch nor the store's tells it; by then the whole time must not be over.
func TestNewsComesInTimeThoughAllWatchesAreDeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatching(t)
		w.source.set(true, false)
		w.source.put(tableAt(t, 9, 9))
		w.peers.received <- announce.Announcement{Revision: 9}
		told := time.Now()
		eventually(t, "the table is in force", inForce(w.board, 9))
		if took := time.Since(told); took > time.Duration((1-checkShare-askShare/2)*float64(watchingNews)) {
			t.Errorf("in force %v after it was heard of, of %v for news", took, watchingNews)
		}
	})
}

// TestWhoWatchesAnotherNodeWaitsForItsReading: that node gives its own watch up at the same
// moment, and what it reads comes a little later; the store is not watched for that.
func TestWhoWatchesAnotherNodeWaitsForItsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatching(t)
		w.peers.received <- announce.Announcement{Revision: 9}
		time.Sleep(time.Duration(graceShare*float64(watchingNews)) + 50*time.Millisecond)
		select {
		case w.relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}:
		case <-time.After(watchingNews):
			t.Fatal("the other node is not watched any more")
		}
		eventually(t, "what the other node tells is in force", inForce(w.board, 9))
		if watches := w.source.watches(); watches != 0 {
			t.Errorf("the store is watched %d times", watches)
		}
	})
}
