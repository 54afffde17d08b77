package topology

import "slices"

// Node is a node of the system as recorded by itself in the store.
type Node struct {
	// ID is unique per start of the process.
	ID string `json:"id" msgpack:"i"`
	// Address is the IP:port that serves callers.
	Address string `json:"address" msgpack:"a"`
	// PeerAddress is the IP:port that serves other nodes; empty if there is none.
	PeerAddress string `json:"peer_address" msgpack:"p"`
	// StateAddress is the IP:port that serves the node's copy of the store.
	StateAddress string `json:"state_address" msgpack:"s"`
	Place        Place  `json:"place" msgpack:"l"`
	// Ready is true while the node accepts new callers.
	Ready bool `json:"ready" msgpack:"r"`
	// Overloaded is true if the node has recently rejected requests for load or had
	// high CPU usage.
	Overloaded bool `json:"loaded,omitempty" msgpack:"o"`
	// Processors is the CPU time available to the node, in cores.
	Processors float64 `json:"processors,omitempty" msgpack:"c"`
}

// Nodes holds all recorded nodes, sorted by ID.
type Nodes struct {
	Self  Node
	Nodes []Node
	// EntryNodes are the nodes that callers are directed to. They hold the connections
	// to the replicas and most of the shared retry budget; the other nodes stand by.
	EntryNodes []Node
	// BudgetShares is the number of current and recent entry nodes that the shared
	// retry budget is divided by.
	BudgetShares int
	// Suspected are the IDs of recorded nodes that do not respond. They are not ready
	// in Nodes.
	Suspected []string
}

// SelfIsEntry reports whether this node is an entry node.
func (n *Nodes) SelfIsEntry() bool {
	return slices.ContainsFunc(n.EntryNodes, func(entry Node) bool { return entry.ID == n.Self.ID })
}

// WithUnready returns a copy in which the nodes with the given IDs are not ready.
func (n *Nodes) WithUnready(ids []string) *Nodes {
	changed := *n
	changed.Nodes = slices.Clone(n.Nodes)
	for i := range changed.Nodes {
		if slices.Contains(ids, changed.Nodes[i].ID) {
			changed.Nodes[i].Ready = false
		}
	}
	return &changed
}
