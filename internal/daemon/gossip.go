package daemon

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/freshness"
	"github.com/doorpond/doorpond/internal/machines"
	"github.com/doorpond/doorpond/internal/machines/httpsd"
	"github.com/doorpond/doorpond/internal/membership"
	"github.com/doorpond/doorpond/internal/once"
	"github.com/doorpond/doorpond/internal/settings"
	"github.com/doorpond/doorpond/internal/topology"
)

// incarnationSeparator separates address and incarnation in the key of a leaving replica's
// record. It does not occur in addresses.
const incarnationSeparator = "|"

// leavingRecordVersion is constant, as a replica that is leaving never returns to service.
const leavingRecordVersion = 1

// connectGossip announces updates to peers and applies those that peers announce.
func (d *Daemon) connectGossip() {
	d.register.Subscribe(func(accepted document.Document) {
		d.logger.Info("document accepted", "document", accepted.Name, "revision", accepted.Revision)
		d.node.Announce(membership.Record{
			Kind: membership.RecordDocument, Key: string(accepted.Name), Version: accepted.Revision,
		})
	})
	d.tracker.OnLeaving(func(address, incarnation string) {
		d.node.Announce(membership.Record{
			Kind: membership.RecordReplicaLeaving, Key: address + incarnationSeparator + incarnation, Version: leavingRecordVersion,
		})
	})
	d.node.OnRecord(d.handleRecord)
}

// handleRecord applies a record that a peer has announced.
func (d *Daemon) handleRecord(record membership.Record, fromPeerAddress string) {
	switch record.Kind {
	case membership.RecordDocument:
		d.fetcher.HandleAnnouncement(document.Name(record.Key), record.Version, fromPeerAddress)
	case membership.RecordStoreWatermark:
		d.calls.MergeWatermark(once.WatermarkFromVersion(record.Version))
	case membership.RecordReplicaLeaving:
		address, incarnation, valid := strings.Cut(record.Key, incarnationSeparator)
		if valid {
			d.tracker.MarkLeaving(address, incarnation)
		}
	}
}

// announceWatermark announces to peers how recent the store's state must be.
func (d *Daemon) announceWatermark(watermark once.Watermark) {
	d.node.Announce(membership.Record{
		Kind: membership.RecordStoreWatermark, Key: membership.StoreWatermarkKey, Version: watermark.Version(),
	})
}

// otherPeers returns the addresses of up to three live peers, in random order.
func (d *Daemon) otherPeers() []string {
	const maxPeers = 3
	members := d.board.Members.Load()
	if members == nil {
		return nil
	}
	var addresses []string
	for _, i := range rand.Perm(len(members.Members)) {
		member := &members.Members[i]
		if member.ID != d.id && member.State == topology.MemberAlive && len(addresses) < maxPeers {
			addresses = append(addresses, member.PeerAddress)
		}
	}
	return addresses
}

// confirmDelay is how long a peer may take to answer before the next one, or the store, is asked as
// well. It is above the round trip between regions, and a small part of a query's wait.
const confirmDelay = 50 * time.Millisecond

// confirm fetches the latest documents from a peer that knows that its own are current, or from the
// store if there is none. Peers that were paused together must not confirm each other's tables. It
// reports whether one of them answered.
func (d *Daemon) confirm(ctx context.Context) bool {
	var sources []freshness.Source
	for _, address := range d.otherPeers() {
		sources = append(sources, func(ctx context.Context) bool { return d.confirmFromPeer(ctx, address) })
	}
	return freshness.Ask(ctx, append(sources, d.confirmFromStore), confirmDelay)
}

func (d *Daemon) confirmFromPeer(ctx context.Context, address string) bool {
	if !d.fetcher.ConfirmFrom(ctx, address, document.Table) {
		return false
	}
	d.fetcher.ConfirmFrom(ctx, address, document.Catalogue)
	return true
}

func (d *Daemon) confirmFromStore(ctx context.Context) bool {
	for _, name := range document.Names {
		stored, found, _, err := d.store.Get(ctx, name.Key())
		if err != nil {
			return false
		}
		if !found {
			continue
		}
		received, err := document.Parse(name, stored.Value)
		if err == nil {
			_, err = d.register.Offer(received)
		}
		if err != nil {
			d.logger.Warn("rejected document from the store", "document", name, "error", err)
		}
	}
	return true
}

// seedLister is a machines.Lister that keeps the daemons of the last list as membership
// seeds, so that replicas and membership share one poll.
type seedLister struct {
	lister machines.Lister
	static []string
	listed atomic.Pointer[[]string]
}

func newSeedLister(config settings.Settings) *seedLister {
	return &seedLister{lister: httpsd.New(config.Machines.URL, nil), static: config.Peers.Seeds}
}

// List implements machines.Lister.
func (s *seedLister) List(ctx context.Context) (machines.List, error) {
	list, err := s.lister.List(ctx)
	if err == nil {
		s.listed.Store(&list.Daemons)
	}
	return list, err
}

// addresses returns the configured seeds and the daemons of the last machine list.
func (s *seedLister) addresses() []string {
	addresses := append([]string(nil), s.static...)
	if listed := s.listed.Load(); listed != nil {
		addresses = append(addresses, *listed...)
	}
	return addresses
}

// mayHaveSeeds reports whether other daemons may exist: some are known, or the machine list
// has not been read yet.
func (s *seedLister) mayHaveSeeds() bool {
	return s.listed.Load() == nil || len(s.addresses()) > 0
}
