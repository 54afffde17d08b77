package backend

import "sync/atomic"

// Counters is the body of GET /standin/counters.
type Counters struct {
	// Searches and Calls are the requests that arrived, refused or not.
	Searches int64 `json:"searches"`
	Calls    int64 `json:"calls"`
	// Completed is the number that ran to their end.
	Completed int64 `json:"completed"`
	// Canceled is the number whose client went away while it waited or ran.
	Canceled int64 `json:"canceled"`
	// Shed, DeadlinePassed, NotHeld and RefusedDraining are refusals.
	Shed            int64 `json:"shed"`
	DeadlinePassed  int64 `json:"deadline_passed"`
	NotHeld         int64 `json:"not_held"`
	RefusedDraining int64 `json:"refused_draining"`
	// LastArrivalUnixMilliseconds is when the last search or call arrived.
	LastArrivalUnixMilliseconds int64 `json:"last_arrival_unix_ms"`
	// ConnectionsAccepted and ConnectionsRefused count connections;
	// ConnectionsPeak is the most that were open at once.
	ConnectionsAccepted int64 `json:"connections_accepted"`
	ConnectionsRefused  int64 `json:"connections_refused"`
	ConnectionsPeak     int64 `json:"connections_peak"`
}

type counters struct {
	searches            atomic.Int64
	calls               atomic.Int64
	completed           atomic.Int64
	canceled            atomic.Int64
	shed                atomic.Int64
	deadlinePassed      atomic.Int64
	notHeld             atomic.Int64
	refusedDraining     atomic.Int64
	lastArrival         atomic.Int64
	connectionsOpen     atomic.Int64
	connectionsAccepted atomic.Int64
	connectionsRefused  atomic.Int64
	connectionsPeak     atomic.Int64
}

// Counters returns the counters as they are now.
func (r *Replica) Counters() Counters {
	c := &r.counters
	return Counters{
		Searches:                    c.searches.Load(),
		Calls:                       c.calls.Load(),
		Completed:                   c.completed.Load(),
		Canceled:                    c.canceled.Load(),
		Shed:                        c.shed.Load(),
		DeadlinePassed:              c.deadlinePassed.Load(),
		NotHeld:                     c.notHeld.Load(),
		RefusedDraining:             c.refusedDraining.Load(),
		LastArrivalUnixMilliseconds: c.lastArrival.Load(),
		ConnectionsAccepted:         c.connectionsAccepted.Load(),
		ConnectionsRefused:          c.connectionsRefused.Load(),
		ConnectionsPeak:             c.connectionsPeak.Load(),
	}
}
