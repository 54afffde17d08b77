// Package machines defines the interface to the platform's machine list. Package
// httpsd implements it for the HTTP service-discovery JSON format:
//
//	[{"targets": ["10.0.0.1:9000"], "labels": {"role": "backend", ...}}]
//
// The list is eventually consistent: it may contain machines that have left and
// lack new ones.
package machines

import (
	"context"

	"github.com/doorpond/doorpond/internal/topology"
)

// The labels of a list entry.
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

// The values of LabelState; without the label, a machine is live.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// List is the machine list at one moment.
type List struct {
	Replicas []topology.Replica
	// Daemons are the peer addresses of daemons, which a new daemon joins through.
	Daemons []string
}

// Lister reads the machine list.
type Lister interface {
	List(ctx context.Context) (List, error)
}
