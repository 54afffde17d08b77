package topology

import "slices"

// Node is one node of the system as it has recorded itself in the store.
type Node struct {
	// ID is unique for each start of the process.
	ID string `json:"id" msgpack:"i"`
	// Address is IP:port on which the node takes callers' requests.
	Address string `json:"address" msgpack:"a"`
	// PeerAddress is IP:port on which it hears other nodes; empty if it has none.
	PeerAddress string `json:"peer_address" msgpack:"p"`
	// StateAddress is IP:port on which it hands over what it knows of the store.
	StateAddress string `json:"state_address" msgpack:"s"`
	Place        Place  `json:"place" msgpack:"l"`
	// Ready is true while the node takes new callers.
	Ready bool `json:"ready" msgpack:"r"`
	// Overloaded is true while the node has lately had to refuse requests for load, or
	// has used much of its processor time.
	Overloaded bool `json:"loaded,omitempty" msgpack:"o"`
	// Processors is the processor time that the node may use, in cores.
	Processors float64 `json:"processors,omitempty" msgpack:"c"`
}

// Nodes is every recorded node, sorted by ID.
type Nodes struct {
	Self  Node
	Nodes []Node
	// EntryNodes are those that callers are led to. They hold the connections to
	// the replicas and most of the shared retry budget; the others stand by.
	EntryNodes []Node
	// BudgetShares is the number of entry nodes, present or of late, that a shared
	// budget is divided by.
	BudgetShares int
	// Suspected are the IDs of nodes that are recorded and do not answer. They count
	// as not ready in Nodes.
	Suspected []string
}

// SelfIsEntry tells whether callers are led to this node.
func (n *Nodes) SelfIsEntry() bool {
	return slices.ContainsFunc(n.EntryNodes, func(entry Node) bool { return entry.ID == n.Self.ID })
}

// WithUnready returns a copy in which some nodes are not ready.
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
