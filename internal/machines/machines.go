// Package machines is the narrow interface to the platform's list of
// machines, and its adapter for the HTTP service-discovery JSON format:
//
//	[{"targets": ["10.0.0.1:9000"], "labels": {"role": "backend", ...}}]
//
// The list lags: it may name machines that have left and miss new ones.
package machines

import (
	"context"

	"github.com/doorpond/doorpond/internal/topology"
)

// The labels that doorpond reads.
const (
	LabelRole        = "role"
	LabelGroup       = "group"
	LabelRegion      = "region"
	LabelZone        = "zone"
	LabelState       = "state"
	LabelIncarnation = "incarnation"
	LabelSlots       = "slots"
	LabelConnections = "connections"
)

// The values of LabelRole.
const (
	RoleBackend = "backend"
	RoleDaemon  = "daemon"
)

// The values of LabelState; a missing label means live.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// List is one reading of the machine list.
type List struct {
	Replicas []topology.Replica
	// Daemons are the peer addresses of listed daemons, used to join.
	Daemons []string
}

// Lister reads the list.
type Lister interface {
	List(ctx context.Context) (List, error)
}
