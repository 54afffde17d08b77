// Package handover lets a node read from another node what it cannot read from
// the store: the store may refuse, throttle or drop some nodes while it serves
// the others.
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

// Path is where a node serves what it knows. Its version changes with what a revision means:
// a node of another version is not answered.
const Path = "/v2/state"

const (
	contentType = "application/msgpack"
	// maxBytes bounds a snapshot: some tens of thousands of entries.
	maxBytes = 64 << 20
	// mostNodes is the number of nodes that are asked, one after the other.
	mostNodes = 3
)

// Snapshot is what a node knows of the store.
type Snapshot struct {
	// Revision is the store's revision up to which all is known.
	Revision int64 `msgpack:"r"`
	// AgeMilliseconds is the time since that was confirmed.
	AgeMilliseconds int64 `msgpack:"a"`
	// Values are all keys of the store.
	Values []store.KeyValue `msgpack:"v"`
}

// Age returns the time since the snapshot was confirmed.
func (s *Snapshot) Age() time.Duration { return time.Duration(s.AgeMilliseconds) * time.Millisecond }

// Handler serves the snapshot that current returns, if there is one.
func Handler(current func() (Snapshot, bool)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		snapshot, known := current()
		if !known {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		encoded, err := msgpack.Marshal(&snapshot)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(encoded) // the other node is gone if this fails
	})
	return mux
}

// Reader reads snapshots from other nodes.
type Reader struct{ config Config }

// Config is what a Reader is made of.
type Config struct {
	HTTP *http.Client
	// Nodes returns the nodes known now.
	Nodes func() *topology.Nodes
	// Seeds are addresses of nodes, which may be gone, for a node that knows no
	// other yet.
	Seeds []netip.AddrPort
}

// New makes a Reader.
func New(config Config) *Reader { return &Reader{config: config} }

// Read returns the snapshot of the first of some nodes, chosen by chance, that
// gives one.
func (r *Reader) Read(ctx context.Context) (Snapshot, error) {
	last := eris.New("no other node is known")
	for _, address := range r.targets() {
		snapshot, err := r.readFrom(ctx, address)
		if err == nil {
			return snapshot, nil
		}
		last = err
	}
	return Snapshot{}, last
}

// targets are some of the nodes that are known, by chance; the seeds when there
// are none.
func (r *Reader) targets() []string {
	var targets []string
	if nodes := r.config.Nodes(); nodes != nil {
		for _, i := range rand.Perm(len(nodes.Nodes)) {
			node := nodes.Nodes[i]
			if node.ID != nodes.Self.ID && node.StateAddress != "" && len(targets) < mostNodes {
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
		return snapshot, eris.Wrapf(err, "ask %s", address)
	}
	response, err := r.config.HTTP.Do(request)
	if err != nil {
		return snapshot, eris.Wrapf(err, "ask %s", address)
	}
	defer func() { _ = response.Body.Close() }() // what matters was read
	if response.StatusCode != http.StatusOK {
		return snapshot, eris.Errorf("%s answered %d", address, response.StatusCode)
	}
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	if err != nil {
		return snapshot, eris.Wrapf(err, "read from %s", address)
	}
	return snapshot, eris.Wrapf(msgpack.Unmarshal(encoded, &snapshot), "decode what %s knows", address)
}
