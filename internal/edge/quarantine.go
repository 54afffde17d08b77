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

// retellAfter are the times after which a notice of a request that is quarantined or released
// is sent again: a datagram may be lost. The store, where it answers, tells of it as well.
var retellAfter = []time.Duration{200 * time.Millisecond, time.Second}

// addQuarantine makes the quarantine and what keeps it in the store, unless it is off.
func (n *Node) addQuarantine(source quarantine.Store, registerer prometheus.Registerer) {
	if n.settings.Quarantine.Disabled {
		return
	}
	n.quarantine = quarantine.New(quarantine.Config{
		Duration: n.settings.Quarantine.Duration, MaxEntries: n.settings.Quarantine.MaxEntries,
		Broadcast: n.tellOfRequest, Registerer: registerer, Logger: n.logger,
	})
	n.keeper = quarantine.NewPersister(quarantine.PersisterConfig{
		Store: source, Prefix: n.platform.Keys.Quarantine, List: n.quarantine, Rank: n.rank, Logger: n.logger,
	})
}

// keepQuarantine writes what is quarantined into the store, until ctx ends.
func (n *Node) keepQuarantine(ctx context.Context) error {
	if n.keeper == nil {
		return nil
	}
	return n.keeper.Run(ctx)
}

// rank is this node's place among those that are known.
func (n *Node) rank() int {
	nodes := n.board.Nodes.Load()
	if nodes == nil {
		return 0
	}
	return max(0, slices.IndexFunc(nodes.Nodes, func(node topology.Node) bool { return node.ID == n.self.ID }))
}

// tellOfRequest tells other nodes of a suspect, and again of what they must not miss.
func (n *Node) tellOfRequest(record quarantine.Record) {
	notice, err := msgpack.Marshal(&record)
	if err == nil {
		err = n.announcer.SendNotice(notice)
	}
	if err != nil {
		n.logger.Error("other nodes were not told of a request", "identity", record.Identity.String(), "error", err.Error())
		return
	}
	if record.RefuseMilliseconds == 0 && !record.Released {
		return
	}
	for _, wait := range retellAfter {
		time.AfterFunc(wait, func() { _ = n.announcer.SendNotice(notice) }) // it was sent before
	}
}

// hearOfRequest takes in what another node tells of a request, and passes on what is news and
// concerns all nodes.
func (n *Node) hearOfRequest(notice []byte) {
	var record quarantine.Record
	if err := msgpack.Unmarshal(notice, &record); err != nil {
		n.logger.Debug("a notice was not read", "error", err.Error())
		return
	}
	if n.quarantine.Receive(record) && (record.RefuseMilliseconds > 0 || record.Released) {
		_ = n.announcer.SendNotice(notice) // as long as when it came
	}
}

// release ends the quarantine of a request on all nodes.
func (n *Node) release(ctx context.Context, identity quarantine.Identity) error {
	if n.keeper == nil {
		return failure.New(failure.NotFound, "the quarantine is off")
	}
	if err := n.keeper.Release(ctx, identity); err != nil {
		return failure.Wrap(err, failure.StoreUnavailable, "release a request").WithNotRun(errors.Is(err, store.ErrNotApplied))
	}
	return nil
}
