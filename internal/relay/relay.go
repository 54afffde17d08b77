// Package relay lets nodes hear the store's changes from another node. A watch
// of the store is priced and counted against its rate, so that a few nodes watch
// it and the others watch those.
package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/store"
)

// Path is where a node serves changes. Its version changes with what a revision means: a node
// of another version is not answered, and watches the store.
const Path = "/v2/changes"

// ErrWatchEnded is returned when a watch of another node ends; nothing is wrong
// with the store then. ErrNoResponse comes with it when the node did not answer at all,
// ErrRevisionUnavailable when it does not keep changes from as far back as is asked for.
var (
	ErrWatchEnded          = errors.New("the watch of another node has ended")
	ErrNoResponse          = errors.New("the other node does not answer")
	ErrRevisionUnavailable = errors.New("the other node does not keep these changes")
)

const (
	// mostEvents is the number of changes that are kept for those who come late.
	mostEvents = 4096
	// mostAnswerBytes bounds an answer, decompressed: some tens of thousands of entries.
	mostAnswerBytes = 64 << 20
	// longestWait bounds the time for which a question waits.
	longestWait = 30 * time.Second
	contentType = "application/msgpack"
	// contentEncoding is raw DEFLATE, as package flate writes it.
	contentEncoding = "deflate"
)

// Changes is the answer to one question.
type Changes struct {
	// Revision is the store's revision up to which all changes are in.
	Revision int64 `msgpack:"r"`
	// Events are in the order in which the node heard of them.
	Events []store.Event `msgpack:"e"`
	// Suspicions are the recorded nodes that do not answer.
	Suspicions []Suspicion `msgpack:"u"`
}

// Suspicion says that a recorded node does not answer. It counts for a time, which
// goes down as it is passed on, so that nodes that hear from each other do not keep
// it up.
type Suspicion struct {
	// ID is the node's.
	ID string `msgpack:"i"`
	// TTLMilliseconds is the time for which the suspicion still counts.
	TTLMilliseconds int64 `msgpack:"m"`
}

// TTL returns the time for which the suspicion still counts.
func (s Suspicion) TTL() time.Duration { return time.Duration(s.TTLMilliseconds) * time.Millisecond }

// Feed keeps the latest changes that a node knows, and serves them to others.
// Its zero value knows nothing. It is safe for concurrent use.
//
// Invariant: events holds every change after revision from, up to revision.
type Feed struct {
	// Suspicions returns the nodes that do not answer now; nil means none. It must be
	// set before the feed is served.
	Suspicions func() []Suspicion

	mu       sync.Mutex
	started  bool
	from     int64
	revision int64
	// entered is the revision at which a later era of the store was entered by what had
	// changed since the one before; zero when none was.
	entered int64
	events  []numbered
	changed chan struct{} // closed when revision rises

	// encoding guards last, the last answer with changes.
	encoding sync.Mutex
	last     encodedAnswer
}

// numbered is an event with the revision at which it was published, which may
// be later than its own.
type numbered struct {
	at    int64
	event store.Event
}

// Publish adds the changes that lead to a revision. The first call only begins
// the feed: nobody can have seen a part of what was before.
func (f *Feed) Publish(revision int64, events []store.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.started {
		f.started, f.from, f.revision = true, revision, revision
		f.wake()
		return
	}
	for _, event := range events {
		f.events = append(f.events, numbered{at: revision, event: event})
	}
	if extra := len(f.events) - mostEvents; extra > 0 {
		f.from = f.events[extra-1].at
		f.events = append([]numbered(nil), f.events[extra:]...)
	}
	if revision <= f.revision {
		return
	}
	if store.EraOf(revision) > store.EraOf(f.revision) {
		f.entered = revision
	}
	f.revision = revision
	f.wake()
}

// wake must be called with the mutex held.
func (f *Feed) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// since returns the changes after a revision; when there are none yet, changed
// is closed with the next. known is false when some of them are not kept.
func (f *Feed) since(after int64) (found Changes, changed <-chan struct{}, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.started && (after < f.from || f.isBesideEntry(after)) {
		return Changes{}, nil, false
	}
	if !f.started || after >= f.revision {
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		return Changes{}, f.changed, true
	}
	found.Revision = f.revision
	for _, one := range f.events {
		if one.at > after {
			found.Events = append(found.Events, one.event)
		}
	}
	return found, nil, true
}

// isBesideEntry tells whether a node at a revision has come into the present era of the store in
// another way than this feed, as one does that reads the copy itself when it starts. What has
// changed since the era before says nothing of what that node knows: replicas that had ended
// before, and are in the copy, would stay in use there for good.
func (f *Feed) isBesideEntry(after int64) bool {
	return after < f.entered && store.EraOf(after) == store.EraOf(f.entered)
}

// ServeHTTP answers with the changes after a revision as soon as there are
// some (a node that has just started knows none yet), and with 410 when some of them
// are not kept. When there are none in time, it answers with the nodes that do not
// answer, or with 204 when there are none of those either.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(wait, longestWait))
	defer timer.Stop()
	for {
		found, changed, known := f.since(after)
		switch {
		case !known:
			w.WriteHeader(http.StatusGone)
			return
		case changed == nil:
			f.answer(w, after, &found)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			f.answer(w, after, &Changes{Revision: after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes what was found after a revision.
func (f *Feed) answer(w http.ResponseWriter, after int64, found *Changes) {
	if f.Suspicions != nil {
		found.Suspicions = f.Suspicions()
	}
	if len(found.Events) == 0 && len(found.Suspicions) == 0 {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	encoded, err := f.encoded(after, found)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Encoding", contentEncoding)
	_, _ = w.Write(encoded) // the other node is gone if this fails
}

// encoded returns an answer as it is sent. All nodes of a zone ask for the changes
// after the same revision, so the last answer with changes is kept and encoded once.
func (f *Feed) encoded(after int64, found *Changes) ([]byte, error) {
	if len(found.Events) == 0 {
		return encode(found)
	}
	f.encoding.Lock()
	defer f.encoding.Unlock()
	now := time.Now()
	if f.last.serves(after, found.Revision, now) {
		return f.last.content, nil
	}
	content, err := encode(found)
	if err == nil {
		f.last = encodedAnswer{after: after, revision: found.Revision, at: now, content: content}
	}
	return content, err
}

// encodedAnswer is an answer as it was sent, and what it was an answer to.
type encodedAnswer struct {
	after, revision int64
	at              time.Time
	content         []byte
}

// answerLife is how long an encoded answer is used: the nodes of a zone ask within
// milliseconds of each other, and the times of its suspicions run on.
const answerLife = 200 * time.Millisecond

func (a *encodedAnswer) serves(after, revision int64, now time.Time) bool {
	return a.after == after && a.revision == revision && a.content != nil && now.Sub(a.at) < answerLife
}

// encode compresses: entries are much alike, and while many replicas come and go at
// once, what a small node tells its zone would fill its link for seconds.
func encode(found *Changes) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress changes")
	}
	if err := msgpack.NewEncoder(writer).Encode(found); err != nil {
		return nil, eris.Wrap(err, "encode changes")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress changes")
	}
	return compressed.Bytes(), nil
}

func decode(compressed io.Reader) (Changes, error) {
	var found Changes
	err := msgpack.NewDecoder(io.LimitReader(flate.NewReader(compressed), mostAnswerBytes)).Decode(&found)
	return found, eris.Wrap(err, "decode changes")
}

// Config is what a Client is made of.
type Config struct {
	HTTP *http.Client
	// Wait is how long one question waits for a change, ResponseMargin how much longer the
	// answer may take. A node that has not answered by then is silent.
	Wait, ResponseMargin time.Duration
	// OnSuspicions is told which nodes do not answer; nil means nobody.
	OnSuspicions func(found []Suspicion)
}

// Client watches other nodes.
type Client struct{ config Config }

// New makes a Client.
func New(config Config) *Client { return &Client{config: config} }

// Watch calls deliver for the changes that a node knows, from a revision on,
// until ctx ends, deliver returns an error, or the node does not answer. It
// always returns an error: ErrBroken when the node is to blame.
func (c *Client) Watch(ctx context.Context, node netip.AddrPort, fromRevision int64, deliver func(store.WatchBatch) error) error {
	after := fromRevision - 1
	for {
		batch, err := c.ask(ctx, node, after)
		if err != nil {
			return eris.Wrapf(err, "watch %s", node)
		}
		after = max(after, batch.Revision)
		if err := deliver(batch); err != nil {
			return err
		}
	}
}

func (c *Client) ask(ctx context.Context, node netip.AddrPort, after int64) (store.WatchBatch, error) {
	bounded, cancel := context.WithTimeout(ctx, c.config.Wait+c.config.ResponseMargin)
	defer cancel()
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {c.config.Wait.String()}}
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+node.String()+Path+"?"+query.Encode(), nil)
	if err != nil {
		return store.WatchBatch{}, fmt.Errorf("%w: %v", ErrWatchEnded, err)
	}
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return store.WatchBatch{}, fmt.Errorf("%w: %w: %v", ErrWatchEnded, ErrNoResponse, err)
	}
	defer func() { _ = response.Body.Close() }() // what matters was read
	switch response.StatusCode {
	case http.StatusNoContent:
		return store.WatchBatch{Revision: after, Relayed: true}, nil
	case http.StatusOK:
	case http.StatusGone:
		return store.WatchBatch{}, fmt.Errorf("%w: %w", ErrWatchEnded, ErrRevisionUnavailable)
	default:
		return store.WatchBatch{}, fmt.Errorf("%w: status %d", ErrWatchEnded, response.StatusCode)
	}
	found, err := decode(response.Body)
	if err != nil {
		return store.WatchBatch{}, fmt.Errorf("%w: %v", ErrWatchEnded, err)
	}
	if len(found.Suspicions) > 0 && c.config.OnSuspicions != nil {
		c.config.OnSuspicions(found.Suspicions)
	}
	return store.WatchBatch{Revision: found.Revision, Events: found.Events, Relayed: true}, nil
}
