// Package relay lets a node watch the store's changes through another node.
// Watches of the store are billed and rate-limited, so only a few nodes watch it
// directly; the others long-poll one of those over HTTP.
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

	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/store"
)

// Path is the HTTP path at which a node serves changes. Its version changes with the meaning of
// a revision: a node of another version gets no answer and watches the store instead.
const Path = "/v2/changes"

var (
	// ErrWatchEnded is returned by Client.Watch for any failure of the watched node. It says
	// nothing about the store.
	ErrWatchEnded = errors.New("watch of another node ended")
	// ErrNoResponse is returned with ErrWatchEnded if the node sent no response.
	ErrNoResponse = errors.New("no response from the node")
	// ErrRevisionUnavailable is returned with ErrWatchEnded if the node cannot serve the changes
	// from the requested revision on.
	ErrRevisionUnavailable = errors.New("node does not have the changes since the requested revision")
)

const (
	// maxEvents is the number of recent events that a Feed retains.
	maxEvents = 4096
	// maxResponseBytes is the maximum size of a decompressed response.
	maxResponseBytes = 64 << 20
	// maxWait is the maximum time for which a request is held open.
	maxWait     = 30 * time.Second
	contentType = "application/msgpack"
	// contentEncoding is raw DEFLATE, as written by package flate.
	contentEncoding = "deflate"
)

// Changes is the response to one request.
type Changes struct {
	// Revision is the store revision up to which the response is complete.
	Revision int64 `msgpack:"r"`
	// Events are in the order in which the node received them.
	Events []store.Event `msgpack:"e"`
	// Suspicions are about registered nodes that do not respond.
	Suspicions []Suspicion `msgpack:"u"`
}

// Suspicion reports that a registered node does not respond. Its TTL decreases as it is passed
// on, so that nodes cannot keep a suspicion alive by repeating it to each other.
type Suspicion struct {
	// ID identifies the suspected node.
	ID string `msgpack:"i"`
	// TTLMilliseconds is the remaining time to live.
	TTLMilliseconds int64 `msgpack:"m"`
}

// TTL returns the remaining time to live.
func (s Suspicion) TTL() time.Duration { return time.Duration(s.TTLMilliseconds) * time.Millisecond }

// Feed retains a node's recent changes and serves them to other nodes. The zero
// value is an empty feed. It is safe for concurrent use.
//
// Invariant: events holds every change after baseRevision, up to and including
// revision.
type Feed struct {
	// Suspicions returns the current suspicions; nil means none. It must be set
	// before the feed is served.
	Suspicions func() []Suspicion

	mu           sync.Mutex
	started      bool
	baseRevision int64
	revision     int64
	// eraEntryRevision is the revision at which the feed continued from one era of the store
	// into the next; zero if it has not.
	eraEntryRevision int64
	events           []publishedEvent
	changed          chan struct{} // closed when revision increases

	// responseMu guards lastResponse.
	responseMu   sync.Mutex
	lastResponse cachedResponse
}

// publishedEvent is an event and the revision with which it was published, which
// may be later than the event's own revision.
type publishedEvent struct {
	publishRevision int64
	event           store.Event
}

// Publish appends the events that lead up to a revision. The first call only sets the
// base revision and ignores the events: no request can have been served from before it.
func (f *Feed) Publish(revision int64, events []store.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.started {
		f.started, f.baseRevision, f.revision = true, revision, revision
		f.notifyLocked()
		return
	}
	for _, event := range events {
		f.events = append(f.events, publishedEvent{publishRevision: revision, event: event})
	}
	if extra := len(f.events) - maxEvents; extra > 0 {
		f.baseRevision = f.events[extra-1].publishRevision
		f.events = append([]publishedEvent(nil), f.events[extra:]...)
	}
	if revision <= f.revision {
		return
	}
	if store.EraOf(revision) > store.EraOf(f.revision) {
		f.eraEntryRevision = revision
	}
	f.revision = revision
	f.notifyLocked()
}

// notifyLocked wakes the waiting requests. f.mu must be held.
func (f *Feed) notifyLocked() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// since returns the changes after a revision. If there are none yet, changed is
// non-nil and is closed on the next one. available is false if the feed does not
// have all of them.
func (f *Feed) since(after int64) (changes Changes, changed <-chan struct{}, available bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.started && (after < f.baseRevision || f.missedEraEntry(after)) {
		return Changes{}, nil, false
	}
	if !f.started || after >= f.revision {
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		return Changes{}, f.changed, true
	}
	changes.Revision = f.revision
	for _, published := range f.events {
		if published.publishRevision > after {
			changes.Events = append(changes.Events, published.event)
		}
	}
	return changes, nil, true
}

// missedEraEntry reports whether a node at a revision entered the current era of the store
// before or without the events published at eraEntryRevision, for example by reading a restored
// store at startup. Those events are relative to the previous era: the node would miss deletions
// and keep using replicas that no longer exist.
func (f *Feed) missedEraEntry(after int64) bool {
	return after < f.eraEntryRevision && store.EraOf(after) == store.EraOf(f.eraEntryRevision)
}

// ServeHTTP responds with the changes after a revision as soon as there are some, or
// with 410 if they are not all available. A feed that has not started has none yet. If
// there are none in time, it responds with the current suspicions, or with 204 if
// there are none of those either.
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
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		changes, changed, available := f.since(after)
		switch {
		case !available:
			w.WriteHeader(http.StatusGone)
			return
		case changed == nil:
			f.writeResponse(w, after, &changes)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			f.writeResponse(w, after, &Changes{Revision: after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeResponse writes the changes after a revision.
func (f *Feed) writeResponse(w http.ResponseWriter, after int64, changes *Changes) {
	if f.Suspicions != nil {
		changes.Suspicions = f.Suspicions()
	}
	if len(changes.Events) == 0 && len(changes.Suspicions) == 0 {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	encoded, err := f.encodeCached(after, changes)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Encoding", contentEncoding)
	_, _ = w.Write(encoded) // fails only if the client disconnected
}

// encodeCached encodes a response, or returns the last one if it matches. All nodes of
// a zone request the changes after the same revision at about the same time.
func (f *Feed) encodeCached(after int64, changes *Changes) ([]byte, error) {
	if len(changes.Events) == 0 {
		return encode(changes)
	}
	f.responseMu.Lock()
	defer f.responseMu.Unlock()
	now := time.Now()
	if f.lastResponse.matches(after, changes.Revision, now) {
		return f.lastResponse.content, nil
	}
	content, err := encode(changes)
	if err == nil {
		f.lastResponse = cachedResponse{after: after, revision: changes.Revision, encodedAt: now, content: content}
	}
	return content, err
}

// cachedResponse is an encoded response and the revisions it spans.
type cachedResponse struct {
	after, revision int64
	encodedAt       time.Time
	content         []byte
}

// responseCacheTTL is the time for which an encoded response is reused. It is short
// because the TTLs of the suspicions in the response keep decreasing.
const responseCacheTTL = 200 * time.Millisecond

func (r *cachedResponse) matches(after, revision int64, now time.Time) bool {
	return r.after == after && r.revision == revision && r.content != nil && now.Sub(r.encodedAt) < responseCacheTTL
}

// encode returns the changes as compressed msgpack. Entries are similar to each other
// and compress well, which keeps a small node's link from saturating when many
// replicas change at once.
func encode(changes *Changes) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress changes")
	}
	if err := msgpack.NewEncoder(writer).Encode(changes); err != nil {
		return nil, eris.Wrap(err, "encode changes")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress changes")
	}
	return compressed.Bytes(), nil
}

func decode(compressed io.Reader) (Changes, error) {
	var changes Changes
	err := msgpack.NewDecoder(io.LimitReader(flate.NewReader(compressed), maxResponseBytes)).Decode(&changes)
	return changes, eris.Wrap(err, "decode changes")
}

// Config configures a Client.
type Config struct {
	HTTP *http.Client
	// Wait is the time for which one request waits for a change. The response
	// must arrive within Wait plus ResponseMargin.
	Wait, ResponseMargin time.Duration
	// Meter measures that time; nil counts all time. With a Meter, time in which the process is
	// paused does not count, as a response that arrives then is not yet read.
	Meter *elapsed.Meter
	// OnSuspicions is called with the suspicions in a response, if there are any;
	// it may be nil.
	OnSuspicions func(suspicions []Suspicion)
}

// Client watches the store's changes through other nodes.
type Client struct{ config Config }

// New returns a Client.
func New(config Config) *Client { return &Client{config: config} }

// Watch calls deliver with the changes of a node from a revision on, until ctx is
// done, deliver returns an error, or the node fails. It always returns an error,
// which is ErrWatchEnded if the node failed.
func (c *Client) Watch(ctx context.Context, node netip.AddrPort, fromRevision int64, deliver func(store.WatchBatch) error) error {
	after := fromRevision - 1
	for {
		batch, err := c.poll(ctx, node, after)
		if err != nil {
			return eris.Wrapf(err, "watch %s", node)
		}
		after = max(after, batch.Revision)
		if err := deliver(batch); err != nil {
			return err
		}
	}
}

// poll makes one request for the changes after a revision.
func (c *Client) poll(ctx context.Context, node netip.AddrPort, after int64) (store.WatchBatch, error) {
	bounded, cancel := c.config.Meter.WithTimeout(ctx, c.config.Wait+c.config.ResponseMargin)
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
	defer func() { _ = response.Body.Close() }() // the body has been read
	switch response.StatusCode {
	case http.StatusNoContent:
		return store.WatchBatch{Revision: after, Relayed: true}, nil
	case http.StatusOK:
	case http.StatusGone:
		return store.WatchBatch{}, fmt.Errorf("%w: %w", ErrWatchEnded, ErrRevisionUnavailable)
	default:
		return store.WatchBatch{}, fmt.Errorf("%w: status %d", ErrWatchEnded, response.StatusCode)
	}
	changes, err := decode(response.Body)
	if err != nil {
		return store.WatchBatch{}, fmt.Errorf("%w: %v", ErrWatchEnded, err)
	}
	if len(changes.Suspicions) > 0 && c.config.OnSuspicions != nil {
		c.config.OnSuspicions(changes.Suspicions)
	}
	return store.WatchBatch{Revision: changes.Revision, Events: changes.Events, Relayed: true}, nil
}
