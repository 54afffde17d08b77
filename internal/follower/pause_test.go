package follower

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// pausableFollower is a follower of a process that can be paused: its meter stands still while
// timers go on, so that they have expired when the process resumes.
type pausableFollower struct {
	suspendableFollower
	meter     *elapsed.Meter
	stopMeter func()
}

func startPausable(t *testing.T) *pausableFollower {
	t.Helper()
	s := &pausableFollower{suspendableFollower: suspendableFollower{
		store: &fakeStore{}, board: &blackboard.Board{}, announcer: &fakeAnnouncer{received: make(chan announce.Announcement)},
	}}
	s.store.put(tableAt(t, 1, 1))
	now := func() time.Time { return time.Now().Add(time.Duration(s.suspendedFor.Load())) }
	began := now()
	s.meter = elapsed.New(elapsed.Config{Now: func() time.Duration { return now().Sub(began) }})
	s.startMeter(t.Context())
	s.Follower = New(Options{
		Store: s.store, Announcer: s.announcer, Decoder: testDecoder{}, Keys: testKeys, Board: s.board,
		Self: topology.Node{ID: "self"}, MaxStaleness: testMaxStaleness, VanishedRetention: time.Second,
		Now: now, RanWithoutPause: s.meter.RanWithoutPause, WithTimeout: s.meter.WithTimeout,
	})
	runFollower(t, s.Follower)
	eventually(t, "the first configuration is active", tableActive(s.board, 1))
	return s
}

func (s *pausableFollower) startMeter(ctx context.Context) {
	running, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.meter.Run(running) // always nil
	}()
	s.stopMeter = func() {
		cancel()
		<-ended
	}
}

func (s *pausableFollower) pause(ctx context.Context, lasting time.Duration) {
	s.stopMeter()
	time.Sleep(lasting)
	s.startMeter(ctx)
}

// outcome is how a request's wait ended.
type outcome struct {
	fresh bool
	// current is true if the latest configuration was active when the wait ended.
	current bool
}

// pauseSeries are pauses with a gap of pauseGap after each.
var pauseSeries = [][]time.Duration{
	{500 * time.Millisecond}, {800 * time.Millisecond}, {400 * time.Millisecond, 400 * time.Millisecond},
	{time.Second}, {1400 * time.Millisecond}, {2800 * time.Millisecond}, {3500 * time.Millisecond}, {time.Hour},
	{time.Second, time.Second}, {1400 * time.Millisecond, 3500 * time.Millisecond, time.Second},
}

const pauseGap = 5 * time.Millisecond

// TestPauseDuringCheck tests that a request that waits for the answer to a check when the process is
// paused is handled with what the answer says, which lies ready when the process resumes.
func TestPauseDuringCheck(t *testing.T) {
	for _, pauses := range pauseSeries {
		t.Run(fmt.Sprint(pauses), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startOutdated(t)
				release := s.store.holdAnswers()
				outcomes := s.request(t)
				s.pauseAll(t, pauses)
				release()
				expectHandled(t, outcomes)
			})
		})
	}
}

// TestPauseDuringListing is TestPauseDuringCheck for the listing that follows the check.
func TestPauseDuringListing(t *testing.T) {
	for _, pauses := range pauseSeries {
		t.Run(fmt.Sprint(pauses), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startOutdated(t)
				releaseCheck := s.store.holdAnswers()
				outcomes := s.request(t)
				synctest.Wait()
				releaseListing := s.store.holdAnswers()
				releaseCheck()
				s.pauseAll(t, pauses)
				releaseListing()
				expectHandled(t, outcomes)
			})
		})
	}
}

// startOutdated starts a follower that does not know the latest configuration, and whose state may
// not be used without a check.
func startOutdated(t *testing.T) *pausableFollower {
	t.Helper()
	s := startPausable(t)
	s.store.setFaults(true, false)
	s.store.put(tableAt(t, 9, 9))
	s.suspend(testMaxStaleness)
	return s
}

// request waits like a request, and delivers the outcome.
func (s *pausableFollower) request(t *testing.T) <-chan outcome {
	outcomes := make(chan outcome, 1)
	go func() {
		fresh := s.WaitUntilFresh(t.Context())
		outcomes <- outcome{fresh: fresh, current: tableActive(s.board, 9)()}
	}()
	return outcomes
}

func (s *pausableFollower) pauseAll(t *testing.T, pauses []time.Duration) {
	for _, lasting := range pauses {
		time.Sleep(pauseGap)
		s.pause(t.Context(), lasting)
	}
	time.Sleep(pauseGap)
}

// expectHandled expects a request to be handled at once with the latest configuration.
func expectHandled(t *testing.T, outcomes <-chan outcome) {
	t.Helper()
	released := time.Now()
	got := <-outcomes
	if !got.fresh {
		t.Error("request refused")
	}
	if !got.current {
		t.Error("request handled with the old configuration")
	}
	if took := time.Since(released); took > 20*time.Millisecond {
		t.Errorf("request waited %v for an answer that was there", took)
	}
}

// TestPausesUseUpTimeout tests that a call that was given up in a series of pauses, in which its
// answer could hardly be read, does not count as an attempt that reached nobody.
func TestPausesUseUpTimeout(t *testing.T) {
	const readingGap = 105 * time.Millisecond // the meter reads its clock once in it
	for _, lasting := range []time.Duration{210 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond} {
		for _, count := range []int{4, 5, 6, 8} {
			t.Run(fmt.Sprintf("%d times %v", count, lasting), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startOutdated(t)
					release := s.store.holdAnswers()
					outcomes := s.request(t)
					for range count {
						s.pause(t.Context(), lasting)
						time.Sleep(readingGap)
					}
					release()
					if got := <-outcomes; got.fresh && !got.current {
						t.Error("request handled with the old configuration")
					}
				})
			})
		}
	}
}

// TestIsolatedNodeServesAfterPause tests that a pause that ended before an attempt does not keep it
// from counting.
func TestIsolatedNodeServesAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startPausable(t)
		s.store.setFaults(true, true)
		for i := range 30 {
			time.Sleep(time.Duration(i) * 33 * time.Millisecond) // before the meter's reading by a varying time
			s.suspend(testMaxStaleness)
			if !s.WaitUntilFresh(t.Context()) {
				t.Errorf("request %d refused by an isolated node", i)
			}
		}
	})
}

// TestNothingConfirmedByUnreadMessages tests that a message that may have waited unread during a
// pause of the process does not count as a confirmation as of its reading, neither here nor at
// peers: they would not ask the store for as long as a confirmation lasts.
func TestNothingConfirmedByUnreadMessages(t *testing.T) {
	const sincePaused = 2 * time.Second
	for _, test := range []struct {
		name string
		read func(f *Follower, revision int64)
	}{
		{"batch", func(f *Follower, revision int64) { f.handleBatch(store.WatchBatch{Revision: revision}) }},
		{"announcement", func(f *Follower, revision int64) {
			f.handleAnnouncement(announce.Announcement{Revision: revision})
		}},
		{"announcement with an age", func(f *Follower, revision int64) {
			f.handleAnnouncement(announce.Announcement{Revision: revision, AgeMilliseconds: 100})
		}},
	} {
		now, ran := start, true
		announcer := &fakeAnnouncer{}
		f := New(Options{
			Decoder: testDecoder{}, Keys: testKeys, Board: &blackboard.Board{}, Self: topology.Node{ID: "self"},
			MaxStaleness: testMaxStaleness, Announcer: announcer,
			Now: func() time.Time { return now }, RanWithoutPause: func(time.Duration) bool { return ran },
		})
		f.announceApplied(now, 4)
		now, ran = now.Add(sincePaused), false
		test.read(f, 4)
		test.read(f, 7)
		if f.staleness.confirmedAt.After(start) {
			t.Errorf("%s: confirmed as of %v after the pause began", test.name, f.staleness.confirmedAt.Sub(start))
		}
		last := announcer.sent[len(announcer.sent)-1]
		if len(announcer.sent) != 2 || last.Revision != 7 || last.Age() < sincePaused {
			t.Errorf("%s: announced %+v, want revision 7 with an age of %v", test.name, announcer.sent, sincePaused)
		}
		ran = true
		test.read(f, 9)
		if f.staleness.confirmedAt.Before(now.Add(-time.Second)) || f.staleness.confirmed != 9 {
			t.Errorf("%s: revision %d confirmed at %v without a pause", test.name, f.staleness.confirmed, f.staleness.confirmedAt)
		}
	}
}
