package relay

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/store"
)

func put(key string, revision int64) store.Event {
	return store.Event{KeyValue: store.KeyValue{Key: key, Value: []byte{1}, ModRevision: revision}}
}

func gone(key string) store.Event {
	return store.Event{KeyValue: store.KeyValue{Key: key}, Deleted: true}
}

func TestSince(t *testing.T) {
	var feed Feed
	found, begins, known := feed.since(3)
	if !known || begins == nil || len(found.Events) != 0 {
		t.Error("a feed that has not begun is not waited for")
	}
	feed.Publish(5, []store.Event{put("before", 4)})
	select {
	case <-begins:
	default:
		t.Error("who waits for the feed does not hear that it has begun")
	}
	feed.Publish(7, []store.Event{put("a", 6), gone("b")})
	feed.Publish(9, []store.Event{put("c", 9)})
	cases := []struct {
		after    int64
		known    bool
		revision int64
		keys     []string
	}{
		{4, false, 0, nil},
		{5, true, 9, []string{"a", "b", "c"}},
		{7, true, 9, []string{"c"}},
		{9, true, 0, nil},
		{12, true, 0, nil}, // another node knew more
	}
	for _, test := range cases {
		found, changed, known := feed.since(test.after)
		var keys []string
		for _, event := range found.Events {
			keys = append(keys, event.KeyValue.Key)
		}
		if known != test.known || found.Revision != test.revision || !cmp.Equal(keys, test.keys) {
			t.Errorf("after %d: known %v, revision %d, keys %v", test.after, known, found.Revision, keys)
		}
		if waits := changed != nil; waits != (test.known && test.revision == 0) {
			t.Errorf("after %d: waits %v", test.after, waits)
		}
	}
}

func TestWhatIsNotKeptIsNotKnown(t *testing.T) {
	var feed Feed
	feed.Publish(0, nil)
	for revision := range int64(mostEvents + 10) {
		feed.Publish(revision+1, []store.Event{put("a", revision+1)})
	}
	if _, _, known := feed.since(9); known {
		t.Error("changes that were dropped are said to be known")
	}
	if found, _, known := feed.since(10); !known || len(found.Events) != mostEvents {
		t.Errorf("known %v, %d events", known, len(found.Events))
	}
}

func TestLateAndRepeatedRevisionsDoNotGoBack(t *testing.T) {
	var feed Feed
	feed.Publish(5, nil)
	feed.Publish(8, nil)
	feed.Publish(8, nil)
	feed.Publish(7, nil)
	if found, _, _ := feed.since(5); found.Revision != 8 {
		t.Errorf("revision %d", found.Revision)
	}
}

var errEnough = errors.New("enough")

// watch collects batches from a server until a number of events has come.
func watch(t *testing.T, handler http.Handler, from int64, events int) ([]store.WatchBatch, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	var batches []store.WatchBatch
	client := New(Config{HTTP: server.Client(), Wait: 50 * time.Millisecond, Slack: 10 * time.Second})
	err := client.Watch(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), from, func(batch store.WatchBatch) error {
		batches = append(batches, batch)
		if events -= len(batch.Events); events <= 0 {
			return errEnough
		}
		return nil
	})
	return batches, err
}

// atQuestion serves a feed, and calls change as the question with that number arrives.
// Questions come one after the other.
func atQuestion(number int, feed *Feed, change func()) http.Handler {
	asked := 0
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asked++; asked == number {
			change()
		}
		feed.ServeHTTP(w, r)
	})
}

// TestWatch: changes that are there come at once, later ones when they come, and
// a question without changes ends in time and is asked again.
func TestWatch(t *testing.T) {
	var feed Feed
	feed.Publish(1, nil)
	feed.Publish(2, []store.Event{put("a", 2)})
	changing := atQuestion(3, &feed, func() { feed.Publish(4, []store.Event{gone("a"), put("b", 4)}) })
	batches, err := watch(t, changing, 2, 3)
	if !errors.Is(err, errEnough) {
		t.Fatal(err)
	}
	first, last := batches[0], batches[len(batches)-1]
	if diff := cmp.Diff(store.WatchBatch{Revision: 2, Events: []store.Event{put("a", 2)}, Relayed: true}, first); diff != "" {
		t.Errorf("first (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(store.WatchBatch{Revision: 4, Events: []store.Event{gone("a"), put("b", 4)}, Relayed: true}, last); diff != "" {
		t.Errorf("last (-want +got):\n%s", diff)
	}
	if len(batches) < 3 {
		t.Error("no question ended without changes")
	}
}

func TestAWatchEndsWhenTheNodeCannotTell(t *testing.T) {
	var began Feed
	began.Publish(10, nil)
	garbage := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("garbage")) })
	for name, handler := range map[string]http.Handler{
		"changes not kept": &began, "another service": http.NotFoundHandler(), "no changes": garbage,
	} {
		_, err := watch(t, handler, 5, 1)
		if !errors.Is(err, ErrBroken) || errors.Is(err, ErrForgotten) != (name == "changes not kept") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestANodeThatHasJustStartedIsWaitedFor: it answers without changes until it knows
// some, and says when it does not keep those from as far back as is asked for.
func TestANodeThatHasJustStartedIsWaitedFor(t *testing.T) {
	for began, want := range map[int64]error{4: errEnough, 5: ErrForgotten} {
		var feed Feed
		starting := atQuestion(3, &feed, func() {
			feed.Publish(began, nil)
			feed.Publish(7, []store.Event{put("a", 7)})
		})
		batches, err := watch(t, starting, 5, 1)
		if !errors.Is(err, want) || len(batches) < 2 {
			t.Errorf("begun at %d: %d batches, error %v", began, len(batches), err)
		}
	}
}

func TestASilentNodeIsGivenUp(t *testing.T) {
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
	defer server.Close()
	defer close(hold)
	client := New(Config{HTTP: server.Client(), Wait: 10 * time.Millisecond, Slack: 10 * time.Millisecond})
	err := client.Watch(context.Background(), netip.MustParseAddrPort(server.Listener.Addr().String()), 1, nil)
	if !errors.Is(err, ErrBroken) {
		t.Error(err)
	}
}

func TestBadQuestionsAreRefused(t *testing.T) {
	for _, query := range []string{"", "?after=x&wait=1s", "?after=1&wait=x"} {
		recorder := httptest.NewRecorder()
		new(Feed).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, Path+query, nil))
		if recorder.Code != http.StatusBadRequest {
			t.Errorf("%q: status %d", query, recorder.Code)
		}
	}
}

// TestAHeartbeatTellsWhoIsSuspected: an answer without changes has the nodes that do
// not answer.
func TestAHeartbeatTellsWhoIsSuspected(t *testing.T) {
	feed := &Feed{Suspected: func() []Suspicion { return []Suspicion{{ID: "gone", Milliseconds: 1500}} }}
	feed.Publish(7, nil)
	server := httptest.NewServer(feed)
	defer server.Close()
	told := make(chan []Suspicion, 1)
	client := New(Config{HTTP: server.Client(), Wait: time.Millisecond, Slack: time.Minute, Suspected: func(found []Suspicion) { told <- found }})
	stop := errors.New("enough")
	err := client.Watch(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), 8, func(batch store.WatchBatch) error {
		if batch.Revision != 7 || len(batch.Events) != 0 || !batch.Relayed {
			t.Errorf("batch %+v", batch)
		}
		return stop
	})
	if !errors.Is(err, stop) {
		t.Fatal(err)
	}
	if found := <-told; len(found) != 1 || found[0].ID != "gone" || found[0].For() != 1500*time.Millisecond {
		t.Errorf("told %v", found)
	}
}

// TestANodeThatDoesNotAnswerIsSilent, and one that refuses is not.
func TestANodeThatDoesNotAnswerIsSilent(t *testing.T) {
	release := make(chan struct{})
	hanging := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer hanging.Close()
	defer close(release)
	refusing := httptest.NewServer(http.NotFoundHandler())
	defer refusing.Close()
	for _, test := range []struct {
		server *httptest.Server
		silent bool
		// slack is short where its end is awaited, and long where the answer is.
		slack time.Duration
	}{{hanging, true, 100 * time.Millisecond}, {refusing, false, time.Minute}} {
		client := New(Config{HTTP: &http.Client{Transport: &http.Transport{}}, Wait: time.Millisecond, Slack: test.slack})
		err := client.Watch(t.Context(), netip.MustParseAddrPort(test.server.Listener.Addr().String()), 8, nil)
		if !errors.Is(err, ErrBroken) || errors.Is(err, ErrSilent) != test.silent {
			t.Errorf("error %v, silent should be %v", err, test.silent)
		}
	}
}

// TestAnAnswerToAllNodesOfAZoneIsEncodedOnce, and compressed. An encoded answer is kept
// for a time, which a virtual clock does not let pass while it is encoded.
func TestAnAnswerToAllNodesOfAZoneIsEncodedOnce(t *testing.T) {
	synctest.Test(t, answerIsEncodedOnce)
}

func answerIsEncodedOnce(t *testing.T) {
	var feed Feed
	found := Changes{Revision: 9}
	plain := 0
	for range 400 {
		event := store.Event{KeyValue: store.KeyValue{Key: "servers/1", Value: []byte(`{"address":"10.0.0.1:80","state":"ready"}`)}}
		found.Events = append(found.Events, event)
		plain += len(event.KeyValue.Value)
	}
	first, err := feed.encoded(8, &found)
	if err != nil {
		t.Fatal(err)
	}
	second, err := feed.encoded(8, &found)
	if err != nil || &first[0] != &second[0] {
		t.Errorf("encoded again, error %v", err)
	}
	if len(first) > plain/4 {
		t.Errorf("%d bytes of %d", len(first), plain)
	}
	if other, err := feed.encoded(7, &found); err != nil || &other[0] == &first[0] {
		t.Errorf("another question has the same answer, error %v", err)
	}
	decoded, err := decode(bytes.NewReader(first))
	if diff := cmp.Diff(found, decoded); err != nil || diff != "" {
		t.Errorf("error %v, decoded (-want +got):\n%s", err, diff)
	}
}

// FuzzDecode: no answer of another node makes this one panic or take much more memory than the
// answer has bytes, and what is read is read the same from what this node would pass on.
func FuzzDecode(f *testing.F) {
	sent, err := encode(&Changes{Revision: 7, Events: []store.Event{{KeyValue: store.KeyValue{Key: "k", Value: []byte("v")}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sent)
	f.Add([]byte{})
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, content []byte) {
		found, err := decode(bytes.NewReader(content))
		if err != nil {
			return
		}
		passedOn, err := encode(&found)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decode(bytes.NewReader(passedOn))
		if err != nil || again.Revision != found.Revision || len(again.Events) != len(found.Events) || len(again.Suspected) != len(found.Suspected) {
			t.Errorf("%+v passed on is %+v, error %v", found, again, err)
		}
	})
}

// TestAnEraIsEnteredOnlyByThoseWhoFollowed: what is published with a later era of the store is how
// it differs from what was known before. A node that has read the copy itself, and asks from there,
// holds entries that were gone before: it must not take itself for up to date. (Two replicas that
// had ended stayed in use at such a node for good, and its callers got 502.)
func TestAnEraIsEnteredOnlyByThoseWhoFollowed(t *testing.T) {
	var feed Feed
	gone := store.Event{KeyValue: store.KeyValue{Key: "a"}, Deleted: true}
	feed.Publish(50, nil)
	feed.Publish(58, nil)
	inCopy := store.MakeRevision(1, 46)
	if _, changed, known := feed.since(inCopy); !known || changed == nil {
		t.Fatal("before the era is entered there is nothing to tell")
	}
	entered := store.MakeRevision(1, 74)
	feed.Publish(entered, []store.Event{gone})
	if found, _, known := feed.since(58); !known || len(found.Events) != 1 || found.Revision != entered {
		t.Errorf("who followed is told %+v, %v", found, known)
	}
	if found, _, known := feed.since(inCopy); known {
		t.Errorf("who has read the copy is told %+v", found)
	}
	feed.Publish(entered+1, []store.Event{gone})
	if found, _, known := feed.since(entered); !known || len(found.Events) != 1 {
		t.Errorf("who is in the era is told %+v, %v", found, known)
	}
	if _, _, known := feed.since(inCopy); known {
		t.Error("who has read the copy is told later changes")
	}
}
