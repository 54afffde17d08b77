package follower

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/store"
)

// TestNewsComesInTimeThoughAllWatchesAreDeaf: a node that watches another one hears of a
// change by datagram, at the latest checkShare of the time for news after it. Neither
// that node's watch nor the store's tells it; by then the whole time must not be over.
func TestNewsComesInTimeThoughAllWatchesAreDeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const news = 10 * time.Second
		source, relays := &fakeSource{}, &fakeRelays{batches: make(chan store.WatchBatch)}
		peers := &fakePeers{received: make(chan announce.Announcement)}
		board := startTold(t, source, relays, twoOthers(t), peers, news)
		eventually(t, "another node is watched", func() bool { return len(relays.asked()) > 0 })
		source.set(true, false)
		source.put(tableAt(t, 9, 9))
		peers.received <- announce.Announcement{Revision: 9}
		told := time.Now()
		eventually(t, "the table is in force", inForce(board, 9))
		if took := time.Since(told); took > time.Duration((1-checkShare-askShare/2)*float64(news)) {
			t.Errorf("in force %v after it was heard of, of %v for news", took, news)
		}
	})
}

// TestWhoWatchesAnotherNodeWaitsForItsReading: that node gives its own watch up at the same
// moment, and what it reads comes a little later; the store is not watched for that.
func TestWhoWatchesAnotherNodeWaitsForItsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const news = 10 * time.Second
		source, relays := &fakeSource{}, &fakeRelays{batches: make(chan store.WatchBatch)}
		peers := &fakePeers{received: make(chan announce.Announcement)}
		board := startTold(t, source, relays, twoOthers(t), peers, news)
		eventually(t, "another node is watched", func() bool { return len(relays.asked()) > 0 })
		peers.received <- announce.Announcement{Revision: 9}
		time.Sleep(time.Duration(graceShare*float64(news)) + 50*time.Millisecond)
		select {
		case relays.batches <- store.WatchBatch{Revision: 9, Events: []store.Event{{KeyValue: tableAt(t, 9, 9)}}, Relayed: true}:
		case <-time.After(news):
			t.Fatal("the other node is not watched any more")
		}
		eventually(t, "what the other node tells is in force", inForce(board, 9))
		if watches := source.watches(); watches != 0 {
			t.Errorf("the store is watched %d times", watches)
		}
	})
}
