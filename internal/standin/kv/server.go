package kv

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"
)

// The administration paths of the stand-in.
const (
	FaultsPath   = "/standin/faults"
	CountersPath = "/standin/counters"
)

// maximumBodyBytes is etcd's default limit on a request.
const maximumBodyBytes = 1536 << 10

// Options are the settings of a Server; the zero value is usable.
type Options struct {
	// Now is the clock of leases and of the rate limit.
	Now func() time.Time
	// Sleep waits for the latency fault.
	Sleep func(ctx context.Context, duration time.Duration) error
}

// Counter is the number of requests to one endpoint.
type Counter struct {
	Requests int64 `json:"requests"`
	// Refused is the number turned away by the rate limit.
	Refused int64 `json:"refused"`
	// Cut is the number whose connection was cut without an answer.
	Cut int64 `json:"cut"`
}

// Counters is the body of GET /standin/counters, by endpoint.
type Counters map[string]Counter

// Server serves a Store as the JSON gateway. It is an http.Handler.
type Server struct {
	// Store is what is served.
	Store *Store

	faults   *faultState
	mux      *http.ServeMux
	mutex    sync.Mutex
	counters Counters
}

// NewServer makes a server of an empty store.
func NewServer(options Options) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Sleep == nil {
		options.Sleep = sleepFor
	}
	server := &Server{
		Store:    NewStore(options.Now),
		faults:   &faultState{now: options.Now, sleep: options.Sleep},
		mux:      http.NewServeMux(),
		counters: make(Counters),
	}
	server.route()
	return server
}

func (s *Server) route() {
	handle(s, "/v3/kv/range", s.readRange)
	handle(s, "/v3/kv/put", acknowledged(s, s.Store.Put))
	handle(s, "/v3/kv/deleterange", acknowledged(s, s.Store.DeleteRange))
	handle(s, "/v3/kv/txn", acknowledged(s, s.Store.Txn))
	handle(s, "/v3/kv/compaction", acknowledged(s, s.Store.Compact))
	handle(s, "/v3/lease/grant", acknowledged(s, s.Store.Grant))
	handle(s, "/v3/lease/revoke", acknowledged(s, s.Store.Revoke))
	handle(s, "/v3/lease/keepalive", s.keepAlive)
	s.mux.HandleFunc("POST /v3/watch", s.guard("/v3/watch", s.serveWatch))
	s.mux.HandleFunc("POST "+FaultsPath, s.serveFaults)
	s.mux.HandleFunc("GET "+CountersPath, s.serveCounters)
}

// ServeHTTP serves the gateway and the administration paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) error {
	if faults.RestoreRevision > 0 {
		if err := s.Store.Restore(faults.RestoreRevision); err != nil {
			return err
		}
	}
	s.faults.set(faults)
	s.Store.FreezeWatches(faults.FreezeWatches)
	if faults.Outage {
		s.Store.EndWatches()
	}
	return nil
}

// Counters returns the number of requests by endpoint.
func (s *Server) Counters() Counters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.counters)
}

func (s *Server) count(path string, add func(*Counter)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counter := s.counters[path]
	add(&counter)
	s.counters[path] = counter
}

// Run ends leases as time passes, so that watchers see their keys go, until
// ctx ends.
func (s *Server) Run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Store.Expire()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.SetFaults(faults); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counters())
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client is gone if this fails
}
