// Package scale runs hundreds to thousands of hollow daemons in one process,
// which have the membership, the documents' revisions and the election of the
// store's followers, but no callers and no back ends. It measures what these
// cost a daemon at a number of daemons: in virtual time for the sizes and
// times, and over loopback connections for the processor time and the bytes
// on the wire.
package scale

import (
	"fmt"

	"github.com/doorpond/doorpond/internal/topology"
)

// The users' target topology.
const (
	zoneCount   = 12
	regionCount = 5
)

// place spreads daemons evenly over the zones, and the zones over the regions.
func place(daemon int) topology.Place {
	zone := daemon % zoneCount
	return topology.Place{Region: fmt.Sprintf("region-%d", zone%regionCount), Zone: fmt.Sprintf("zone-%02d", zone)}
}

// peerAddress is the virtual address of a daemon.
func peerAddress(daemon int) string {
	const perNetwork = 250
	return fmt.Sprintf("10.0.%d.%d:7000", daemon/perNetwork, daemon%perNetwork+1)
}

// memberID is as long as the daemon's real ones.
func memberID(daemon, start int) string {
	return fmt.Sprintf("doorpondd-%06d-%09d", daemon, start)
}
