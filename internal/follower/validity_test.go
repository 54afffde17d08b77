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

// TestStalenessBudget tests that the fractions of MaxStaleness add up: in normal operation the
// state is confirmed before requests have to wait, and what a check reveals takes effect within
// MaxStaleness.
func TestStalenessBudget(t *testing.T) {
	for phase, spent := range map[string]float64{
		"until the last node has checked":                         confirmationFraction + rankFraction + callTimeoutFraction,
		"until a stalled watch is given up and everything listed": confirmationFraction + graceFraction + callTimeoutFraction,
		"until a stalled relay is given up":                       confirmationFraction + graceFraction + relayGraceFraction,
		"until a configuration is activated":                      activateByFraction,
		"until a watch event counts as just sent":                 confirmationFraction + noPauseFraction + batchFraction,
	} {
		if spent > validityFraction {
			t.Errorf("%s: %.2f of MaxStaleness spent, more than the validity of %.2f", phase, spent, validityFraction)
		}
	}
	if validityFraction >= 1 || noPauseFraction <= batchFraction {
		t.Error("no margin for delays that the clock does not show")
	}
}

func TestValidity(t *testing.T) {
	v := validity{bound: time.Minute}
	v.observe(observation{revision: 3, at: start}, 3)
	v.observe(observation{revision: 5, at: start.Add(2 * time.Second)}, 3)
	v.observe(observation{revision: 4, at: start.Add(time.Second)}, 3)
	for _, step := range []struct {
		applied int64
		after   time.Duration
	}{{3, 0}, {4, time.Second}, {5, 2 * time.Second}} {
		v.markApplied(step.applied)
		if want := start.Add(step.after + time.Minute); !v.expiresAt().Equal(want) {
			t.Errorf("revision %d applied: valid until %v, want %v", step.applied, v.expiresAt(), want)
		}
	}
	v.recordFailedAttempt(start.Add(time.Hour))
	v.recordFailedAttempt(start)
	if want := start.Add(time.Hour + time.Minute); !v.expiresAt().Equal(want) {
		t.Errorf("after a failed attempt: valid until %v, want %v", v.expiresAt(), want)
	}
	later := store.MakeRevision(1, 2)
	v.markApplied(later)
	v.observe(observation{revision: 9, at: start.Add(3 * time.Hour)}, later)
	if want := start.Add(time.Hour + time.Minute); !v.expiresAt().Equal(want) {
		t.Errorf("after an observation of an earlier era: valid until %v, want %v", v.expiresAt(), want)
	}
	for range 2 * maxPendingObservations {
		v.observe(observation{revision: 9, at: start.Add(2 * time.Hour)}, 5)
	}
	if len(v.pending) != maxPendingObservations {
		t.Errorf("%d pending observations", len(v.pending))
	}
}

// testMaxStaleness is the MaxStaleness of the followers below.
const testMaxStaleness = 3 * time.Second

// suspendableFollower is a follower on a machine that can be suspended: the clock advances while
// timers stand still.
type suspendableFollower struct {
	*Follower
	store        *fakeStore
	announcer    *fakeAnnouncer
	board        *blackboard.Board
	suspendedFor atomic.Int64
	// paused is true while the process counts as just resumed.
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
	eventually(t, "the first configuration is active", tableActive(s.board, 1))
	return s
}

func (s *suspendableFollower) suspend(lasting time.Duration) { s.suspendedFor.Add(int64(lasting)) }

// TestWaitUntilFresh tests that no state is fresh before the first response of the store, and that
// it is fresh right after it.
func TestWaitUntilFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeStore{}
		fake.put(tableAt(t, 1, 1))
		board, announcer := &blackboard.Board{}, &fakeAnnouncer{received: make(chan announce.Announcement)}
		f := New(Options{
			Store: fake, Announcer: announcer, Decoder: testDecoder{}, Keys: testKeys, Board: board,
			Self: topology.Node{ID: "self"}, MaxStaleness: testMaxStaleness, VanishedRetention: time.Second,
		})
		short, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		if f.WaitUntilFresh(short) {
			t.Error("fresh before the first response")
		}
		runFollower(t, f)
		if !f.WaitUntilFresh(t.Context()) {
			t.Error("not fresh though the store responds")
		}
	})
}

// TestRequestsWaitAfterSuspension tests that a request sent more than MaxStaleness after a
// configuration was written waits until it is active, though the watch has stalled and the machine
// was suspended, at whatever time and for however long.
func TestRequestsWaitAfterSuspension(t *testing.T) {
	for _, lasting := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, testMaxStaleness, time.Hour} {
		for before := time.Duration(0); before < testMaxStaleness; before += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				s := startSuspendable(t)
				s.store.setFaults(true, false)
				time.Sleep(10 * time.Millisecond) // let the next check come as late as possible
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
					t.Errorf("request refused, suspended for %v after %v", lasting, before)
				}
				if !tableActive(s.board, 9)() {
					t.Errorf("request handled with the old configuration, suspended for %v after %v", lasting, before)
				}
				if took := time.Since(began); took > 20*time.Millisecond {
					t.Errorf("request waited %v, suspended for %v after %v", took, lasting, before)
				}
			})
		}
	}
}

// TestIsolatedNodeServesAfterSuspension tests that a node that reaches neither the store nor a peer
// goes on with its state.
func TestIsolatedNodeServesAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSuspendable(t)
		s.store.setFaults(true, true)
		for range 20 {
			s.suspend(testMaxStaleness)
			if !s.WaitUntilFresh(t.Context()) {
				t.Error("request refused by an isolated node")
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// TestRequestsDoNotWaitDuringStoreOutage tests that requests do not wait when there is nothing to
// wait for.
func TestRequestsDoNotWaitDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSuspendable(t)
		s.store.breakWatches()
		s.store.setFaults(true, true)
		waited := time.Duration(0)
		for range 6000 {
			began := time.Now()
			if !s.WaitUntilFresh(t.Context()) {
				t.Fatal("request refused")
			}
			waited += time.Since(began)
			time.Sleep(10 * time.Millisecond)
		}
		if waited > time.Second {
			t.Errorf("requests waited %v in a minute of store outage", waited)
		}
	})
}

// TestRequestsCauseNoStoreCalls tests that in normal operation the follower's own checks keep the
// state fresh.
func TestRequestsCauseNoStoreCalls(t *testing.T) {
	calls := func(requests bool) int {
		total := 0
		synctest.Test(t, func(t *testing.T) {
			s := startSuspendable(t)
			for range 6000 {
				began := time.Now()
				if requests && (!s.WaitUntilFresh(t.Context()) || time.Since(began) > 0) {
					t.Fatal("request waited")
				}
				time.Sleep(10 * time.Millisecond)
			}
			// A check of the follower falls due at exactly the end of the minute: count after it.
			time.Sleep(5 * time.Millisecond)
			lists, gets := s.store.counts()
			total = lists + gets
		})
		return total
	}
	if without, with := calls(false), calls(true); with != without || without < 10 {
		t.Errorf("%d store calls with requests in a minute, %d without", with, without)
	}
}

// TestDelayedAnnouncementDoesNotConfirm tests that an announcement that may have waited in the
// socket of a paused process confirms nothing, as its age is that at sending.
func TestDelayedAnnouncementDoesNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSuspendable(t)
		s.store.setFaults(true, true)
		s.paused.Store(true)
		s.suspend(time.Minute)
		before := s.window.Load().until
		s.announcer.received <- announce.Announcement{Revision: 1}
		synctest.Wait()
		if after := s.window.Load().until; !after.Equal(before) {
			t.Errorf("validity extended by %v", after.Sub(before))
		}
	})
}
