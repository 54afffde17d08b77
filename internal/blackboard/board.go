package blackboard

import (
	"time"

	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
)

// Phase is where a daemon is in its life.
type Phase int

// The phases, in order.
const (
	PhaseStarting Phase = iota
	PhaseServing
	// PhaseDraining: others are told of the stop; requests are served as ever.
	PhaseDraining
	// PhaseClosing: the callers' port is closed; requests on the connections
	// that are left are served, and each connection ends with its answer.
	PhaseClosing
	PhaseStopped
)

// StoreStatus says whether the platform's store can be reached, as seen by
// this daemon or learned from the peers that watch it.
type StoreStatus struct {
	Reachable bool
	// Since is when Reachable last changed.
	Since time.Time
	// Regressed is true while the store holds an older table than the one in
	// force; in what peers and operators are told, also while calls are refused
	// since the store went back.
	Regressed bool
	LastError string
}

// Board is the blackboard of one daemon.
type Board struct {
	// PolicyTable is written by package policytable.
	PolicyTable Section[policy.Index]
	// Routes is written by package follower.
	Routes Section[routing.Table]
	// Nodes is written by package follower.
	Nodes Section[topology.Nodes]
	// Catalogue is written by package document's catalogue follower.
	Catalogue Section[catalogue.Catalogue]
	// Members is written by package membership.
	Members Section[topology.Members]
	// Replicas is written by package replica's tracker.
	Replicas Section[topology.Replicas]
	// Phase is written by package daemon.
	Phase Section[Phase]
	// Store is written by the store's watcher.
	Store Section[StoreStatus]
}
