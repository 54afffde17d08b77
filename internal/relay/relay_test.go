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

func deletion(key string) store.Event {
	return store.Event{KeyValue: store.KeyValue{Key: key}, Deleted: true}
}

func TestSince(t *testing.T) {
	var feed Feed
	changes, started, available := feed.since(3)
	if !available || started == nil || len(changes.Events) != 0 {
		t.Error("request to a feed that has not started does not wait")
	}
	feed.Publish(5, []store.Event{put("before", 4)})
	select {
	case <-started:
	default:
		t.Error("waiting request was not notified when the feed started")
	}
	feed.Publish(7, []store.Event{put("a", 6), deletion("b")})
	feed.Publish(9, []store.Event{put("c", 9)})
	cases := []struct {
		after     int64
		available bool
		revision  int64
		keys      []string
	}{
		{4, false, 0, nil},
		{5, true, 9, []string{"a", "b", "c"}},
		{7, true, 9, []string{"c"}},
		{9, true, 0, nil},
		{12, true, 0, nil}, // the requesting node is ahead
	}
	for _, test := range cases {
		changes, changed, available := feed.since(test.after)
		var keys []string
		for _, event := range changes.Events {
			keys = append(keys, event.KeyValue.Key)
		}
		if available != test.available || changes.Revision != test.revision || !cmp.Equal(keys, test.keys) {
			t.Errorf("after %d: available %v, revision %d, keys %v", test.after, available, changes.Revision, keys)
		}
		if waiting := changed != nil; waiting != (test.available && test.revision == 0) {
			t.Errorf("after %d: waiting is %v", test.after, waiting)
		}
	}
}

func TestSinceTrimmedEvents(t *testing.T) {
	var feed Feed
	feed.Publish(0, nil)
	for revision := range int64(maxEvents + 10) {
		feed.Publish(revision+1, []store.Event{put("a", revision+1)})
	}
	if _, _, available := feed.since(9); available {
		t.Error("trimmed changes are reported as available")
	}
	if changes, _, available := feed.since(10); !available || len(changes.Events) != maxEvents {
		t.Errorf("available %v, %d events", available, len(changes.Events))
	}
}

func TestPublishIgnoresOlderRevisions(t *testing.T) {
	var feed Feed
	feed.Publish(5, nil)
	feed.Publish(8, nil)
	feed.Publish(8, nil)
	feed.Publish(7, nil)
	if changes, _, _ := feed.since(5); changes.Revision != 8 {
		t.Errorf("revision %d", changes.Revision)
	}
}

// errStop ends a watch from within deliver.
var errStop = errors.New("stop")

// watch collects batches from a server until it has received a number of events.
func watch(t *testing.T, handler http.Handler, from int64, events int) ([]store.WatchBatch, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	var batches []store.WatchBatch
	client := New(Config{HTTP: server.Client(), Wait: 50 * time.Millisecond, ResponseMargin: 10 * time.Second})
	err := client.Watch(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), from, func(batch store.WatchBatch) error {
		batches = append(batches, batch)
		if events -= len(batch.Events); events <= 0 {
			return errStop
		}
		return nil
	})
	return batches, err
}

// atRequest serves a feed and calls change when the request with that number arrives.
// It does not support concurrent requests.
func atRequest(number int, feed *Feed, change func()) http.Handler {
	requests := 0
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests++; requests == number {
			change()
		}
		feed.ServeHTTP(w, r)
	})
}

// TestWatch checks that existing changes are delivered at once and later ones when they
// are published, and that a request without changes times out and is repeated.
func TestWatch(t *testing.T) {
	var feed Feed
	feed.Publish(1, nil)
	feed.Publish(2, []store.Event{put("a", 2)})
	changing := atRequest(3, &feed, func() { feed.Publish(4, []store.Event{deletion("a"), put("b", 4)}) })
	batches, err := watch(t, changing, 2, 3)
	if !errors.Is(err, errStop) {
		t.Fatal(err)
	}
	first, last := batches[0], batches[len(batches)-1]
	if diff := cmp.Diff(store.WatchBatch{Revision: 2, Events: []store.Event{put("a", 2)}, Relayed: true}, first); diff != "" {
		t.Errorf("first (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(store.WatchBatch{Revision: 4, Events: []store.Event{deletion("a"), put("b", 4)}, Relayed: true}, last); diff != "" {
		t.Errorf("last (-want +got):\n%s", diff)
	}
	if len(batches) < 3 {
		t.Error("no request ended without changes")
	}
}

func TestWatchEndsOnErrorResponse(t *testing.T) {
	var started Feed
	started.Publish(10, nil)
	garbage := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("garbage")) })
	for name, handler := range map[string]http.Handler{
		"changes trimmed": &started, "another service": http.NotFoundHandler(), "invalid body": garbage,
	} {
		_, err := watch(t, handler, 5, 1)
		if !errors.Is(err, ErrWatchEnded) || errors.Is(err, ErrRevisionUnavailable) != (name == "changes trimmed") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestWatchOfUnstartedFeed checks that the feed responds without changes until it starts, and
// then fails the watch if it started after the requested revision.
func TestWatchOfUnstartedFeed(t *testing.T) {
	for startRevision, want := range map[int64]error{4: errStop, 5: ErrRevisionUnavailable} {
		var feed Feed
		starting := atRequest(3, &feed, func() {
			feed.Publish(startRevision, nil)
			feed.Publish(7, []store.Event{put("a", 7)})
		})
		batches, err := watch(t, starting, 5, 1)
		if !errors.Is(err, want) || len(batches) < 2 {
			t.Errorf("started at %d: %d batches, error %v", startRevision, len(batches), err)
		}
	}
}

func TestWatchTimesOut(t *testing.T) {
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
	defer server.Close()
	defer close(hold)
	client := New(Config{HTTP: server.Client(), Wait: 10 * time.Millisecond, ResponseMargin: 10 * time.Millisecond})
	err := client.Watch(context.Background(), netip.MustParseAddrPort(server.Listener.Addr().String()), 1, nil)
	if !errors.Is(err, ErrWatchEnded) {
		t.Error(err)
	}
}

func TestServeHTTPRejectsInvalidQuery(t *testing.T) {
	for _, query := range []string{"", "?after=x&wait=1s", "?after=1&wait=x"} {
		recorder := httptest.NewRecorder()
		new(Feed).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, Path+query, nil))
		if recorder.Code != http.StatusBadRequest {
			t.Errorf("%q: status %d", query, recorder.Code)
		}
	}
}

// TestSuspicionsWithoutChanges checks that a response without changes carries the suspicions.
func TestSuspicionsWithoutChanges(t *testing.T) {
	feed := &Feed{Suspicions: func() []Suspicion { return []Suspicion{{ID: "unresponsive", TTLMilliseconds: 1500}} }}
	feed.Publish(7, nil)
	server := httptest.NewServer(feed)
	defer server.Close()
	received := make(chan []Suspicion, 1)
	client := New(Config{HTTP: server.Client(), Wait: time.Millisecond, ResponseMargin: time.Minute, OnSuspicions: func(suspicions []Suspicion) { received <- suspicions }})
	stop := errors.New("stop")
	err := client.Watch(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), 8, func(batch store.WatchBatch) error {
		if batch.Revision != 7 || len(batch.Events) != 0 || !batch.Relayed {
			t.Errorf("batch %+v", batch)
		}
		return stop
	})
	if !errors.Is(err, stop) {
		t.Fatal(err)
	}
	if suspicions := <-received; len(suspicions) != 1 || suspicions[0].ID != "unresponsive" || suspicions[0].TTL() != 1500*time.Millisecond {
		t.Errorf("received suspicions %v", suspicions)
	}
}

// TestWatchNoResponse checks that a timeout is reported as ErrNoResponse and an error status is not.
func TestWatchNoResponse(t *testing.T) {
	release := make(chan struct{})
	hanging := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer hanging.Close()
	defer close(release)
	failing := httptest.NewServer(http.NotFoundHandler())
	defer failing.Close()
	for _, test := range []struct {
		server     *httptest.Server
		noResponse bool
		// margin is short where the timeout is expected, and long where a response is.
		margin time.Duration
	}{{hanging, true, 100 * time.Millisecond}, {failing, false, time.Minute}} {
		client := New(Config{HTTP: &http.Client{Transport: &http.Transport{}}, Wait: time.Millisecond, ResponseMargin: test.margin})
		err := client.Watch(t.Context(), netip.MustParseAddrPort(test.server.Listener.Addr().String()), 8, nil)
		if !errors.Is(err, ErrWatchEnded) || errors.Is(err, ErrNoResponse) != test.noResponse {
			t.Errorf("error %v, want ErrNoResponse: %v", err, test.noResponse)
		}
	}
}

// TestResponseCached checks that the same response is compressed and encoded once. It uses
// virtual time, so that the cached response does not expire during the test.
func TestResponseCached(t *testing.T) {
	synctest.Test(t, testResponseCached)
}

func testResponseCached(t *testing.T) {
	var feed Feed
	changes := Changes{Revision: 9}
	plain := 0
	for range 400 {
		event := store.Event{KeyValue: store.KeyValue{Key: "servers/1", Value: []byte(`{"address":"10.0.0.1:80","state":"ready"}`)}}
		changes.Events = append(changes.Events, event)
		plain += len(event.KeyValue.Value)
	}
	first, err := feed.encodeCached(8, &changes)
	if err != nil {
		t.Fatal(err)
	}
	second, err := feed.encodeCached(8, &changes)
	if err != nil || &first[0] != &second[0] {
		t.Errorf("same request was encoded again, error %v", err)
	}
	if len(first) > plain/4 {
		t.Errorf("compressed to %d bytes of %d", len(first), plain)
	}
	if other, err := feed.encodeCached(7, &changes); err != nil || &other[0] == &first[0] {
		t.Errorf("different request got the cached response, error %v", err)
	}
	decoded, err := decode(bytes.NewReader(first))
	if diff := cmp.Diff(changes, decoded); err != nil || diff != "" {
		t.Errorf("error %v, decoded (-want +got):\n%s", err, diff)
	}
}

// FuzzDecode checks that no response causes a panic or excessive memory use, and that decoded
// changes survive re-encoding.
func FuzzDecode(f *testing.F) {
	sent, err := encode(&Changes{Revision: 7, Events: []store.Event{{KeyValue: store.KeyValue{Key: "k", Value: []byte("v")}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sent)
	f.Add([]byte{})
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, content []byte) {
		changes, err := decode(bytes.NewReader(content))
		if err != nil {
			return
		}
		encoded, err := encode(&changes)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decode(bytes.NewReader(encoded))
		if err != nil || again.Revision != changes.Revision || len(again.Events) != len(changes.Events) || len(again.Suspicions) != len(changes.Suspicions) {
			t.Errorf("%+v re-encoded decodes to %+v, error %v", changes, again, err)
		}
	})
}

// TestSinceAfterEraChange checks that events published at the change to a later era are served
// only to nodes that come from the previous era. They would not remove the entries that a node
// has read from a restored store.
func TestSinceAfterEraChange(t *testing.T) {
	var feed Feed
	deleted := store.Event{KeyValue: store.KeyValue{Key: "a"}, Deleted: true}
	feed.Publish(50, nil)
	feed.Publish(58, nil)
	inRestoredStore := store.MakeRevision(1, 46)
	if _, changed, available := feed.since(inRestoredStore); !available || changed == nil {
		t.Fatal("request does not wait before the feed changes to the new era")
	}
	eraEntry := store.MakeRevision(1, 74)
	feed.Publish(eraEntry, []store.Event{deleted})
	if changes, _, available := feed.since(58); !available || len(changes.Events) != 1 || changes.Revision != eraEntry {
		t.Errorf("after the previous era: %+v, available %v", changes, available)
	}
	if changes, _, available := feed.since(inRestoredStore); available {
		t.Errorf("node that read the restored store gets %+v", changes)
	}
	feed.Publish(eraEntry+1, []store.Event{deleted})
	if changes, _, available := feed.since(eraEntry); !available || len(changes.Events) != 1 {
		t.Errorf("after the era change: %+v, available %v", changes, available)
	}
	if _, _, available := feed.since(inRestoredStore); available {
		t.Error("node that read the restored store gets later changes")
	}
}
