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
		"until the last node in turn has confirmed":  confirmationFraction + rankFraction + callTimeoutFraction,
		"until a deaf watch is given up and read":    confirmationFraction + graceFraction + callTimeoutFraction,
		"until a node that is watched is given up":   confirmationFraction + graceFraction + relayGraceFraction,
		"until a configuration has waited":           activateByFraction,
		"until what a watch told counts as just now": confirmationFraction + noPauseFraction + batchFraction,
	} {
		if spent > validityFraction {
			t.Errorf("%s, %.2f of the time for news are spent; requests are handled for %.2f", what, spent, validityFraction)
		}
	}
	if validityFraction >= 1 || noPauseFraction <= batchFraction {
		t.Error("nothing is left for what the clock does not show")
	}
}

func TestWhatIsKnownIsValidFromWhatWasSaidOfIt(t *testing.T) {
	held := validity{bound: time.Minute}
	held.observe(observation{revision: 3, at: start}, 3)
	held.observe(observation{revision: 5, at: start.Add(2 * time.Second)}, 3)
	held.observe(observation{revision: 4, at: start.Add(time.Second)}, 3)
	for _, step := range []struct {
		known int64
		after time.Duration
	}{{3, 0}, {4, time.Second}, {5, 2 * time.Second}} {
		held.markApplied(step.known)
		if want := start.Add(step.after + time.Minute); !held.expiresAt().Equal(want) {
			t.Errorf("with revision %d known it is valid until %v; want %v", step.known, held.expiresAt(), want)
		}
	}
	held.recordFailedAttempt(start.Add(time.Hour))
	held.recordFailedAttempt(start)
	if want := start.Add(time.Hour + time.Minute); !held.expiresAt().Equal(want) {
		t.Errorf("after a vain attempt it is valid until %v; want %v", held.expiresAt(), want)
	}
	later := store.RevisionIn(1, 2)
	held.markApplied(later)
	held.observe(observation{revision: 9, at: start.Add(3 * time.Hour)}, later)
	if want := start.Add(time.Hour + time.Minute); !held.expiresAt().Equal(want) {
		t.Errorf("what is said of an earlier era makes it valid until %v; want %v", held.expiresAt(), want)
	}
	for range 2 * maxPendingObservations {
		held.observe(observation{revision: 9, at: start.Add(2 * time.Hour)}, 5)
	}
	if len(held.pending) != maxPendingObservations {
		t.Errorf("%d claims are kept", len(held.pending))
	}
}

// testMaxStaleness is the time for news of the followers below.
const testMaxStaleness = 3 * time.Second

// suspendableFollower is a follower whose machine can be suspendableFollower: time goes by, and its timers stand
// still.
type suspendableFollower struct {
	*Follower
	store        *fakeStore
	announcer    *fakeAnnouncer
	board        *blackboard.Board
	suspendedFor atomic.Int64
	// paused is true while the process counts as just woken.
	paused atomic.Bool
}

func startSuspendable(t *testing.T) *suspendableFollower {
	t.Helper()
	s := &suspendableFollower{store: &fakeStore{}, board: &blackboard.Board{}, announcer: &fakeAnnouncer{received: make(chan announce.Announcement)}}
	s.store.put(tableAt(t, 1, 1))
	s.Follower = New(Options{
		Store: s.store, Announcer: s.announcer, Decoder: testDecoder{}, Keys: testKeys, Board: s.board,
		Self: topology.Node{ID: "self"}, MaxStaleness: testMaxStaleness, VanishedRetention: time.Second,
		Now:             func() time.Time { return time.Now().Add(time.Duration(s.suspendedFor.Load())) },
		RanWithoutPause: func(time.Duration) bool { return !s.paused.Load() },
	})
	runFollower(t, s.Follower)
	eventually(t, "the first table is in force", tableActive(s.board, 1))
	return s
}

func (s *suspendableFollower) suspend(lasting time.Duration) { s.suspendedFor.Add(int64(lasting)) }

// TestAwait: nothing is trusted before anything was heard; then it is at once.
func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeStore{}
		source.put(tableAt(t, 1, 1))
		board, peers := &blackboard.Board{}, &fakeAnnouncer{received: make(chan announce.Announcement)}
		made := New(Options{
			Store: source, Announcer: peers, Decoder: testDecoder{}, Keys: testKeys, Board: board,
			Self: topology.Node{ID: "self"}, MaxStaleness: testMaxStaleness, VanishedRetention: time.Second,
		})
		short, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		if made.WaitUntilFresh(short) {
			t.Error("trusted before anything was heard")
		}
		runFollower(t, made)
		if !made.WaitUntilFresh(t.Context()) {
			t.Error("not trusted though the store answers")
		}
	})
}

// TestAfterASuspensionRequestsWaitForNews: a configuration was written before or during a
// suspension, and no watch tells it. A request that is sent later than the time for news after
// it waits until it is in force, whenever the suspension came, and however short it was.
func TestAfterASuspensionRequestsWaitForNews(t *testing.T) {
	for _, lasting := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, testMaxStaleness, time.Hour} {
		for before := time.Duration(0); before < testMaxStaleness; before += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				s := startSuspendable(t)
				s.store.setFaults(true, false)
				time.Sleep(10 * time.Millisecond) // the next check comes as late as it can
				s.store.put(tableAt(t, 9, 9))
				sent := time.Now()
				time.Sleep(before)
				s.suspend(lasting)
				if left := testMaxStaleness - lasting - time.Since(sent); left > 0 {
					time.Sleep(left)
				}
				time.Sleep(time.Millisecond)
				began := time.Now()
				if !s.WaitUntilFresh(t.Context()) {
					t.Errorf("refused, suspended for %v after %v", lasting, before)
				}
				if !tableActive(s.board, 9)() {
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
		s := startSuspendable(t)
		s.store.setFaults(true, true)
		for range 20 {
			s.suspend(testMaxStaleness)
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
		s := startSuspendable(t)
		s.store.breakWatches()
		s.store.setFaults(true, true)
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
			s := startSuspendable(t)
			for range 6000 {
				began := time.Now()
				if requests && (!s.WaitUntilFresh(t.Context()) || time.Since(began) > 0) {
					t.Fatal("a request waited")
				}
				time.Sleep(10 * time.Millisecond)
			}
			lists, gets := s.store.counts()
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
		s := startSuspendable(t)
		s.store.setFaults(true, true)
		s.paused.Store(true)
		s.suspend(time.Minute)
		before := s.window.Load().until
		s.announcer.received <- announce.Announcement{Revision: 1}
		synctest.Wait()
		if after := s.window.Load().until; !after.Equal(before) {
			t.Errorf("valid for %v longer", after.Sub(before))
		}
	})
}
