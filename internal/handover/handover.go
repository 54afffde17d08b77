// Package handover lets a node read a snapshot of the store from another node.
// It is the fallback for a node that the store rejects, throttles or disconnects
// while it serves others.
package handover

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// Path is the HTTP path at which a node serves its snapshot. Its version changes with the
// meaning of a revision, so that nodes of different versions do not exchange snapshots.
const Path = "/v2/state"

const (
	contentType = "application/msgpack"
	// maxSnapshotBytes is the maximum size of an encoded snapshot.
	maxSnapshotBytes = 64 << 20
	// maxAttempts is the maximum number of known nodes that one Read tries.
	maxAttempts = 3
)

// Snapshot is the contents of the store as a node has replicated them.
type Snapshot struct {
	// Revision is the store revision up to which the snapshot is complete.
	Revision int64 `msgpack:"r"`
	// AgeMilliseconds is the time since the store last confirmed the revision.
	AgeMilliseconds int64 `msgpack:"a"`
	// Values are all entries of the store.
	Values []store.KeyValue `msgpack:"v"`
}

// Age returns the time since the store last confirmed the revision.
func (s *Snapshot) Age() time.Duration { return time.Duration(s.AgeMilliseconds) * time.Millisecond }

// Handler returns a handler that serves the snapshot returned by current, or 503 if there is none.
func Handler(current func() (Snapshot, bool)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		snapshot, available := current()
		if !available {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		encoded, err := msgpack.Marshal(&snapshot)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(encoded) // fails only if the client disconnected
	})
	return mux
}

// Reader reads snapshots from other nodes.
type Reader struct{ config Config }

// Config configures a Reader.
type Config struct {
	HTTP *http.Client
	// Nodes returns the currently known nodes, or nil.
	Nodes func() *topology.Nodes
	// Seeds are addresses that are tried if no other node is known. They may be
	// out of date.
	Seeds []netip.AddrPort
}

// New returns a Reader.
func New(config Config) *Reader { return &Reader{config: config} }

// Read tries a few random nodes one after the other and returns the first snapshot
// that it receives.
func (r *Reader) Read(ctx context.Context) (Snapshot, error) {
	lastErr := eris.New("no other node known")
	for _, address := range r.targets() {
		snapshot, err := r.readFrom(ctx, address)
		if err == nil {
			return snapshot, nil
		}
		lastErr = err
	}
	return Snapshot{}, lastErr
}

// targets returns the addresses of up to maxAttempts random nodes, or the seeds if no
// other node is known.
func (r *Reader) targets() []string {
	var targets []string
	if nodes := r.config.Nodes(); nodes != nil {
		for _, i := range rand.Perm(len(nodes.Nodes)) {
			node := nodes.Nodes[i]
			if node.ID != nodes.Self.ID && node.StateAddress != "" && len(targets) < maxAttempts {
				targets = append(targets, node.StateAddress)
			}
		}
	}
	if len(targets) > 0 {
		return targets
	}
	for _, seed := range r.config.Seeds {
		targets = append(targets, seed.String())
	}
	return targets
}

func (r *Reader) readFrom(ctx context.Context, address string) (Snapshot, error) {
	var snapshot Snapshot
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return snapshot, eris.Wrapf(err, "request snapshot from %s", address)
	}
	response, err := r.config.HTTP.Do(request)
	if err != nil {
		return snapshot, eris.Wrapf(err, "request snapshot from %s", address)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	if response.StatusCode != http.StatusOK {
		return snapshot, eris.Errorf("request snapshot from %s: status %d", address, response.StatusCode)
	}
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxSnapshotBytes))
	if err != nil {
		return snapshot, eris.Wrapf(err, "read snapshot from %s", address)
	}
	return snapshot, eris.Wrapf(msgpack.Unmarshal(encoded, &snapshot), "decode snapshot from %s", address)
}
