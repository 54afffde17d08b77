package edge

import (
	"cmp"
	"context"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/ingress"
	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/internal/quota"
)

// initQuota creates the shared quota, unless the settings have no window for it.
func (n *Node) initQuota(registerer prometheus.Registerer) {
	if n.settings.Bounds.QuotaWindow == 0 {
		return
	}
	n.quota = quota.New(quota.Config{
		Node: n.settings.Node, Bounds: n.settings.Bounds.Quota(), Nodes: n.board.Nodes.Load, Table: n.board.Routes.Load,
		Send: n.announcer.SendDirect, Logger: n.logger, Registerer: registerer,
	})
}

// runQuota sends the reports of the shared quota until ctx is done.
func (n *Node) runQuota(ctx context.Context) error {
	if n.quota == nil {
		return nil
	}
	return n.quota.Run(ctx)
}

// ingressQuota returns the quota of callers' requests; nil if there is none.
func (n *Node) ingressQuota() ingress.Quota {
	if n.quota == nil {
		return nil
	}
	return n.quota
}

// handleDirect handles a direct datagram from another node.
func (n *Node) handleDirect(from netip.AddrPort, content []byte) {
	if n.quota != nil {
		n.quota.Receive(from, content)
	}
}

// QuotaState returns the state of the shared quota, and false if there is none.
func (n *Node) QuotaState() (quota.State, bool) {
	if n.quota == nil {
		return quota.State{}, false
	}
	return n.quota.State(), true
}

// quotaAge returns how old the reports are by which the shared quota decides.
func (n *Node) quotaAge() ingress.QuotaAge {
	state, exists := n.QuotaState()
	if !exists {
		return ingress.QuotaAge{}
	}
	var age ingress.QuotaAge
	if oldest := inspect.OldestReport(state.Peers); oldest != nil {
		age.Node, age.Age = cmp.Or(oldest.Node, "unknown"), time.Duration(oldest.AgeMilliseconds)*time.Millisecond
	}
	for _, peer := range state.Peers {
		if peer.Silent {
			age.Silent++
		}
	}
	return age
}
