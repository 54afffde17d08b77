// Package machinelist is a stand-in for the platform's list of machines in
// the HTTP service-discovery JSON format. What it serves lags behind what
// happened by a time that can be set.
package machinelist

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/machines"
)

// The paths of the stand-in.
const (
	TargetsPath = "/targets"
	FaultsPath  = "/standin/faults"
)

const maximumBodyBytes = 64 << 10

// Machine is one entry of the list.
type Machine struct {
	// Address is IP:port, unique in the list.
	Address string
	// Labels are those of package machines.
	Labels map[string]string
}

// TargetGroup is one element of the JSON array that is served.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Faults is the body of POST /standin/faults; it replaces the faults in force.
type Faults struct {
	// LagMilliseconds is how long a change takes to appear in the list.
	LagMilliseconds int64 `json:"lag_ms"`
	// Outage cuts every connection without an answer.
	Outage bool `json:"outage"`
}

// version is the whole list from a moment on.
type version struct {
	since    time.Time
	machines []Machine
}

// List is the machine list. It is an http.Handler and is safe for concurrent
// use.
type List struct {
	now func() time.Time
	mux *http.ServeMux

	mutex    sync.Mutex
	versions []version
	faults   Faults
}

// New makes an empty list; a nil clock means the system's.
func New(now func() time.Time) *List {
	if now == nil {
		now = time.Now
	}
	list := &List{now: now, mux: http.NewServeMux(), versions: make([]version, 1)}
	list.mux.HandleFunc("GET "+TargetsPath, list.serveTargets)
	list.mux.HandleFunc("POST "+FaultsPath, list.serveFaults)
	return list
}

// ServeHTTP serves the list and the administration path.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Add adds machines in one change, or replaces those of the same address.
func (l *List) Add(added ...Machine) {
	l.change(func(current []Machine) []Machine {
		for _, machine := range added {
			machine.Labels = maps.Clone(machine.Labels)
			current = append(without(current, machine.Address), machine)
		}
		return current
	})
}

// Remove takes a machine off the list.
func (l *List) Remove(address string) {
	l.change(func(current []Machine) []Machine { return without(current, address) })
}

// SetLeaving marks a machine as leaving.
func (l *List) SetLeaving(address string) {
	l.change(func(current []Machine) []Machine {
		for i := range current {
			if current[i].Address == address {
				current[i].Labels = maps.Clone(current[i].Labels)
				current[i].Labels[machines.LabelState] = machines.StateLeaving
			}
		}
		return current
	})
}

// SetFaults replaces the faults in force.
func (l *List) SetFaults(faults Faults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults = faults
}

// Machines returns the list as it is served now, by address.
func (l *List) Machines() []Machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	horizon := l.now().Add(-time.Duration(l.faults.LagMilliseconds) * time.Millisecond)
	for i := len(l.versions) - 1; i > 0; i-- {
		if !l.versions[i].since.After(horizon) {
			return slices.Clone(l.versions[i].machines)
		}
	}
	return slices.Clone(l.versions[0].machines)
}

func (l *List) change(edit func([]Machine) []Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	last := l.versions[len(l.versions)-1]
	edited := edit(slices.Clone(last.machines))
	slices.SortFunc(edited, func(a, b Machine) int { return strings.Compare(a.Address, b.Address) })
	l.versions = append(l.versions, version{since: l.now(), machines: edited})
}

func without(current []Machine, address string) []Machine {
	return slices.DeleteFunc(current, func(m Machine) bool { return m.Address == address })
}

func (l *List) serveTargets(w http.ResponseWriter, _ *http.Request) {
	l.mutex.Lock()
	outage := l.faults.Outage
	l.mutex.Unlock()
	if outage {
		panic(http.ErrAbortHandler)
	}
	groups := make([]TargetGroup, 0)
	for _, machine := range l.Machines() {
		groups = append(groups, TargetGroup{Targets: []string{machine.Address}, Labels: machine.Labels})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(groups) // the client is gone if this fails
}

func (l *List) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}
