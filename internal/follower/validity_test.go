package follower

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// TestTheTimeForNewsIsSpentOnce: on a calm day what is known is confirmed before requests have to
// ask, and what is found out by asking is in force within the whole.
func TestTheTimeForNewsIsSpentOnce(t *testing.T) {
	for what, spent := range map[string]float64{
		"until the last node in turn has confirmed":  checkShare + rankShare + askShare,
		"until a deaf watch is given up and read":    checkShare + graceShare + askShare,
		"until a node that is watched is given up":   checkShare + graceShare + relayShare,
		"until a configuration has waited":           adoptByShare,
		"until what a watch told counts as just now": checkShare + steadyShare + gatherShare,
	} {
		if spent > validShare {
			t.Errorf("%s, %.2f of the time for news are spent; requests are handled for %.2f", what, spent, validShare)
		}
	}
	if validShare >= 1 || steadyShare <= gatherShare {
		t.Error("nothing is left for what the clock does not show")
	}
}

func TestWhatIsKnownIsValidFromWhatWasSaidOfIt(t *testing.T) {
	held := validity{bound: time.Minute}
	held.claim(claim{revision: 3, at: start}, 3)
	held.claim(claim{revision: 5, at: start.Add(2 * time.Second)}, 3)
	held.claim(claim{revision: 4, at: start.Add(time.Second)}, 3)
	for _, step := range []struct {
		known int64
		after time.Duration
	}{{3, 0}, {4, time.Second}, {5, 2 * time.Second}} {
		held.learn(step.known)
		if want := start.Add(step.after + time.Minute); !held.until().Equal(want) {
			t.Errorf("with revision %d known it is valid until %v; want %v", step.known, held.until(), want)
		}
	}
	held.tried(start.Add(time.Hour))
	held.tried(start)
	if want := start.Add(time.Hour + time.Minute); !held.until().Equal(want) {
		t.Errorf("after a vain attempt it is valid until %v; want %v", held.until(), want)
	}
	later := store.RevisionIn(1, 2)
	held.learn(later)
	held.claim(claim{revision: 9, at: start.Add(3 * time.Hour)}, later)
	if want := start.Add(time.Hour + time.Minute); !held.until().Equal(want) {
		t.Errorf("what is said of an earlier era makes it valid until %v; want %v", held.until(), want)
	}
	for range 2 * mostClaims {
		held.claim(claim{revision: 9, at: start.Add(2 * time.Hour)}, 5)
	}
	if len(held.claims) != mostClaims {
		t.Errorf("%d claims are kept", len(held.claims))
	}
}

// awaitNews is the time for news of the followers below.
const awaitNews = 3 * time.Second

// suspended is a follower whose machine can be suspended: time goes by, and its timers stand
// still.
type suspended struct {
	*Follower
	source  *fakeSource
	peers   *fakePeers
	board   *blackboard.Board
	skipped atomic.Int64
	// unsteady is true while the process counts as just woken.
	unsteady atomic.Bool
}

func startSuspended(t *testing.T) *suspended {
	t.Helper()
	s := &suspended{source: &fakeSource{}, board: &blackboard.Board{}, peers: &fakePeers{received: make(chan announce.Announcement)}}
	s.source.put(tableAt(t, 1, 1))
	s.Follower = New(Options{
		Store: s.source, Announcer: s.peers, Decoder: testDecoder{}, Keys: testKeys, Board: s.board,
		Self: topology.Node{ID: "self"}, MaxStaleness: awaitNews, VanishedRetention: time.Second,
		Now:             func() time.Time { return time.Now().Add(time.Duration(s.skipped.Load())) },
		RanWithoutPause: func(time.Duration) bool { return !s.unsteady.Load() },
	})
	run(t, s.Follower)
	eventually(t, "the first table is in force", inForce(s.board, 1))
	return s
}

func (s *suspended) suspend(lasting time.Duration) { s.skipped.Add(int64(lasting)) }

// TestAwait: nothing is trusted before anything was heard; then it is at once.
func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{}
		source.put(tableAt(t, 1, 1))
		board, peers := &blackboard.Board{}, &fakePeers{received: make(chan announce.Announcement)}
		made := New(Options{
			Store: source, Announcer: peers, Decoder: testDecoder{}, Keys: testKeys, Board: board,
			Self: topology.Node{ID: "self"}, MaxStaleness: awaitNews, VanishedRetention: time.Second,
		})
		short, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		if made.WaitUntilFresh(short) {
			t.Error("trusted before anything was heard")
		}
		run(t, made)
		if !made.WaitUntilFresh(t.Context()) {
			t.Error("not trusted though the store answers")
		}
	})
}

// TestAfterASuspensionRequestsWaitForNews: a configuration was written before or during a
// suspension, and no watch tells it. A request that is sent later than the time for news after
// it waits until it is in force, whenever the suspension came, and however short it was.
func TestAfterASuspensionRequestsWaitForNews(t *testing.T) {
	for _, lasting := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, awaitNews, time.Hour} {
		for before := time.Duration(0); before < awaitNews; before += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				s := startSuspended(t)
				s.source.set(true, false)
				time.Sleep(10 * time.Millisecond) // the next check comes as late as it can
				s.source.put(tableAt(t, 9, 9))
				sent := time.Now()
				time.Sleep(before)
				s.suspend(lasting)
				if left := awaitNews - lasting - time.Since(sent); left > 0 {
					time.Sleep(left)
				}
				time.Sleep(time.Millisecond)
				began := time.Now()
				if !s.WaitUntilFresh(t.Context()) {
					t.Errorf("refused, suspended for %v after %v", lasting, before)
				}
				if !inForce(s.board, 9)() {
					t.Errorf("handled by what was replaced, suspended for %v after %v", lasting, before)
				}
				if took := time.Since(began); took > 20*time.Millisecond {
					t.Errorf("waited %v, suspended for %v after %v", took, lasting, before)
				}
			})
		}
	}
}

// TestACutOffNodeGoesOnAfterASuspension: the store is silent, and nobody else is there.
func TestACutOffNodeGoesOnAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSuspended(t)
		s.source.set(true, true)
		for range 20 {
			s.suspend(awaitNews)
			if !s.WaitUntilFresh(t.Context()) {
				t.Error("refused, though nobody can tell more")
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// TestRequestsDoNotWaitWhileTheStoreIsAway: they would for nothing.
func TestRequestsDoNotWaitWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSuspended(t)
		s.source.breakWatches()
		s.source.set(true, true)
		waited := time.Duration(0)
		for range 6000 {
			began := time.Now()
			if !s.WaitUntilFresh(t.Context()) {
				t.Fatal("refused")
			}
			waited += time.Since(began)
			time.Sleep(10 * time.Millisecond)
		}
		if waited > time.Second {
			t.Errorf("requests waited %v of a minute in which the store was away", waited)
		}
	})
}

// TestRequestsAskNothingOnACalmDay: what the follower does by itself confirms what is known in
// time.
func TestRequestsAskNothingOnACalmDay(t *testing.T) {
	calls := func(requests bool) int {
		made := 0
		synctest.Test(t, func(t *testing.T) {
			s := startSuspended(t)
			for range 6000 {
				began := time.Now()
				if requests && (!s.WaitUntilFresh(t.Context()) || time.Since(began) > 0) {
					t.Fatal("a request waited")
				}
				time.Sleep(10 * time.Millisecond)
			}
			lists, gets := s.source.counts()
			made = lists + gets
		})
		return made
	}
	if without, with := calls(false), calls(true); with != without || without < 10 {
		t.Errorf("%d calls with requests in a minute, %d without", with, without)
	}
}

// TestAnAnnouncementThatLayUnreadConfirmsNothing: it says how old it was when it was sent, and
// has lain in the socket of a process that stood still.
func TestAnAnnouncementThatLayUnreadConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSuspended(t)
		s.source.set(true, true)
		s.unsteady.Store(true)
		s.suspend(time.Minute)
		before := s.permit.Load().until
		s.peers.received <- announce.Announcement{Revision: 1}
		synctest.Wait()
		if after := s.permit.Load().until; !after.Equal(before) {
			t.Errorf("valid for %v longer", after.Sub(before))
		}
	})
}
