package blackboard

import (
	"time"

	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
)

// Phase is a phase in the life cycle of a daemon.
type Phase int

// The phases, in order.
const (
	PhaseStarting Phase = iota
	PhaseServing
	// PhaseDraining: the shutdown is announced to peers; requests are served as before.
	PhaseDraining
	// PhaseClosing: the callers' port is closed; requests on the remaining connections
	// are served, and each connection is closed after its answer.
	PhaseClosing
	PhaseStopped
)

// StoreStatus is the state of the platform's store as observed by this daemon, or as
// reported by the peers that watch it.
type StoreStatus struct {
	Reachable bool
	// Since is when Reachable last changed.
	Since time.Time
	// Regressed is true while the store holds an older table than the one in force. As
	// reported to peers and operators, it is also true while calls are rejected because
	// the store was rolled back.
	Regressed bool
	LastError string
}

// Board is the blackboard of one daemon. Each section has one writer.
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
