package daemon

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"

	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/machines"
	"github.com/doorpond/doorpond/internal/machines/httpsd"
	"github.com/doorpond/doorpond/internal/membership"
	"github.com/doorpond/doorpond/internal/once"
	"github.com/doorpond/doorpond/internal/settings"
	"github.com/doorpond/doorpond/internal/topology"
)

// incarnationSeparator stands between address and incarnation in the key of a
// leaving replica's record. No address contains it.
const incarnationSeparator = "|"

// leavingVersion is the only version of a leaving replica's record: leaving
// is for good.
const leavingVersion = 1

// connectGossip passes what one part learns to the others.
func (d *Daemon) connectGossip() {
	d.register.Subscribe(func(accepted document.Document) {
		d.logger.Info("document in force", "document", accepted.Name, "revision", accepted.Revision)
		d.node.Announce(membership.Record{
			Kind: membership.RecordDocument, Key: string(accepted.Name), Version: accepted.Revision,
		})
	})
	d.tracker.OnLeaving(func(address, incarnation string) {
		d.node.Announce(membership.Record{
			Kind: membership.RecordReplicaLeaving, Key: address + incarnationSeparator + incarnation, Version: leavingVersion,
		})
	})
	d.node.OnRecord(d.learn)
}

// learn takes over what a peer has announced.
func (d *Daemon) learn(record membership.Record, fromPeerAddress string) {
	switch record.Kind {
	case membership.RecordDocument:
		d.fetcher.HandleAnnouncement(document.Name(record.Key), record.Version, fromPeerAddress)
	case membership.RecordStoreMark:
		d.calls.Learn(once.MarkOf(record.Version))
	case membership.RecordReplicaLeaving:
		address, incarnation, isWhole := strings.Cut(record.Key, incarnationSeparator)
		if isWhole {
			d.tracker.MarkLeaving(address, incarnation)
		}
	}
}

// announceMark tells peers how new the store must be.
func (d *Daemon) announceMark(mark once.Mark) {
	d.node.Announce(membership.Record{
		Kind: membership.RecordStoreMark, Key: membership.StoreMarkKey, Version: mark.Version(),
	})
}

// otherPeers returns the addresses of a few live peers, in random order.
func (d *Daemon) otherPeers() []string {
	const few = 3
	members := d.board.Members.Load()
	if members == nil {
		return nil
	}
	var addresses []string
	for _, i := range rand.Perm(len(members.Members)) {
		member := &members.Members[i]
		if member.ID != d.id && member.State == topology.MemberAlive && len(addresses) < few {
			addresses = append(addresses, member.PeerAddress)
		}
	}
	return addresses
}

// confirm takes over the newest documents from a peer, or from the store when
// no peer answers, and tells whether one of them answered.
func (d *Daemon) confirm(ctx context.Context) bool {
	for _, address := range d.otherPeers() {
		if d.fetcher.FetchFrom(ctx, address, document.Table) {
			d.fetcher.FetchFrom(ctx, address, document.Catalogue)
			return true
		}
	}
	return d.confirmFromStore(ctx)
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
		read, err := document.Parse(name, stored.Value)
		if err == nil {
			_, err = d.register.Offer(read)
		}
		if err != nil {
			d.logger.Warn("the store's document was refused", "document", name, "error", err)
		}
	}
	return true
}

// seedLister reads the machine list and remembers the daemons on it, so that
// one reading serves both the replicas and the membership.
type seedLister struct {
	lister machines.Lister
	fixed  []string
	listed atomic.Pointer[[]string]
}

func newSeedLister(chosen settings.Settings) *seedLister {
	return &seedLister{lister: httpsd.New(chosen.Machines.URL, nil), fixed: chosen.Peers.Seeds}
}

// List implements machines.Lister.
func (s *seedLister) List(ctx context.Context) (machines.List, error) {
	list, err := s.lister.List(ctx)
	if err == nil {
		s.listed.Store(&list.Daemons)
	}
	return list, err
}

// addresses returns where other daemons may be found.
func (s *seedLister) addresses() []string {
	addresses := append([]string(nil), s.fixed...)
	if listed := s.listed.Load(); listed != nil {
		addresses = append(addresses, *listed...)
	}
	return addresses
}

// mayHaveSeeds tells whether other daemons may exist: some are known, or the
// machine list has not been read yet.
func (s *seedLister) mayHaveSeeds() bool {
	return s.listed.Load() == nil || len(s.addresses()) > 0
}
