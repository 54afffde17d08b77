package edge

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/quarantine"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// resendDelays are the delays after which the notice of a quarantine or release is sent again,
// as datagrams may be lost. Nodes also learn of both from the store while it is available.
var resendDelays = []time.Duration{200 * time.Millisecond, time.Second}

// initQuarantine creates the quarantine list and its persister, unless the quarantine is
// disabled.
func (n *Node) initQuarantine(source quarantine.Store, registerer prometheus.Registerer) {
	if n.settings.Quarantine.Disabled {
		return
	}
	n.quarantine = quarantine.New(quarantine.Config{
		Duration: n.settings.Quarantine.Duration, MaxEntries: n.settings.Quarantine.MaxEntries,
		Broadcast: n.broadcastRecord, Registerer: registerer, Logger: n.logger,
	})
	n.persister = quarantine.NewPersister(quarantine.PersisterConfig{
		Store: source, Prefix: n.platform.Keys.Quarantine, List: n.quarantine, Rank: n.rank, Logger: n.logger,
	})
}

// persistQuarantine writes quarantined requests to the store until ctx is done.
func (n *Node) persistQuarantine(ctx context.Context) error {
	if n.persister == nil {
		return nil
	}
	return n.persister.Run(ctx)
}

// rank returns this node's index among the known nodes.
func (n *Node) rank() int {
	nodes := n.board.Nodes.Load()
	if nodes == nil {
		return 0
	}
	return max(0, slices.IndexFunc(nodes.Nodes, func(node topology.Node) bool { return node.ID == n.self.ID }))
}

// broadcastRecord sends a quarantine record to the other nodes. Quarantines and releases are
// sent repeatedly, suspicions once.
func (n *Node) broadcastRecord(record quarantine.Record) {
	notice, err := msgpack.Marshal(&record)
	if err == nil {
		err = n.announcer.SendNotice(notice)
	}
	if err != nil {
		n.logger.Error("failed to broadcast a quarantine record", "identity", record.Identity.String(), "error", err.Error())
		return
	}
	if record.RefuseMilliseconds == 0 && !record.Released {
		return
	}
	for _, delay := range resendDelays {
		time.AfterFunc(delay, func() { _ = n.announcer.SendNotice(notice) }) // the first send succeeded
	}
}

// handleNotice applies a quarantine record from another node, and forwards it if it is new and
// a quarantine or release.
func (n *Node) handleNotice(notice []byte) {
	var record quarantine.Record
	if err := msgpack.Unmarshal(notice, &record); err != nil {
		n.logger.Debug("failed to decode a notice", "error", err.Error())
		return
	}
	if n.quarantine.Receive(record) && (record.RefuseMilliseconds > 0 || record.Released) {
		_ = n.announcer.SendNotice(notice) // it was sent before, so it fits into a datagram
	}
}

// release ends the quarantine of a request on all nodes.
func (n *Node) release(ctx context.Context, identity quarantine.Identity) error {
	if n.persister == nil {
		return failure.New(failure.NotFound, "the quarantine is disabled")
	}
	if err := n.persister.Release(ctx, identity); err != nil {
		return failure.Wrap(err, failure.StoreUnavailable, "release a request").WithNotRun(errors.Is(err, store.ErrNotApplied))
	}
	return nil
}
