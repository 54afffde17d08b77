package backend

import (
	"encoding/json"
	"net/http"

	"github.com/doorpond/doorpond/internal/backendapi"
)

// The administration paths of the stand-in.
const (
	FaultsPath     = "/standin/faults"
	TimingPath     = "/standin/timing"
	DrainPath      = "/standin/drain"
	CountersPath   = "/standin/counters"
	ExecutionsPath = "/standin/executions"
)

const maximumBodyBytes = 1 << 20

func (r *Replica) route() {
	r.mux.HandleFunc("POST "+backendapi.SearchPath, r.serveSearch)
	r.mux.HandleFunc("POST "+backendapi.CallPath, r.serveCall)
	r.mux.HandleFunc("GET "+backendapi.StatusPath, r.serveStatus)
	r.mux.HandleFunc("POST "+FaultsPath, r.serveFaults)
	r.mux.HandleFunc("POST "+TimingPath, r.serveTiming)
	r.mux.HandleFunc("POST "+DrainPath, r.serveDrain)
	r.mux.HandleFunc("GET "+CountersPath, r.serveCounters)
	r.mux.HandleFunc("GET "+ExecutionsPath, r.serveExecutions)
}

// ServeHTTP serves the back end's interface and the administration paths.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if attempt := request.Header.Get(backendapi.AttemptHeader); attempt != "" {
		w.Header().Set(backendapi.AttemptHeader, attempt)
	}
	r.mux.ServeHTTP(w, request)
}

func (r *Replica) serveStatus(w http.ResponseWriter, _ *http.Request) {
	if r.faults.current().Outage {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, r.faults.status(r.truth()))
}

func (r *Replica) serveFaults(w http.ResponseWriter, request *http.Request) {
	var faults Faults
	if !decode(w, request, &faults) {
		return
	}
	r.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (r *Replica) serveTiming(w http.ResponseWriter, request *http.Request) {
	var timing Timing
	if !decode(w, request, &timing) {
		return
	}
	r.SetTiming(timing)
	w.WriteHeader(http.StatusNoContent)
}

func (r *Replica) serveDrain(w http.ResponseWriter, _ *http.Request) {
	r.Drain()
	w.WriteHeader(http.StatusNoContent)
}

func (r *Replica) serveCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, r.Counters())
}

func (r *Replica) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, r.Executions())
}

// decode reads a request's body whole, or answers 400 and returns false.
func decode(w http.ResponseWriter, request *http.Request, body any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maximumBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client is gone if this fails
}
