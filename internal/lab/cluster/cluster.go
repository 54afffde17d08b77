// Package cluster runs several daemons in one process, on free loopback
// ports, over the stand-ins of package platform.
package cluster

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/admin"
	"github.com/doorpond/doorpond/internal/daemon"
	"github.com/doorpond/doorpond/internal/operator"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/settings"
	"github.com/doorpond/doorpond/internal/topology"
)

// How long daemons get to find each other, how often it is looked at, and how
// long an edit gets to come into force.
const (
	readyWait   = 15 * time.Second
	readyPoll   = 100 * time.Millisecond
	inForceWait = 10 * time.Second
)

// stopGrace is how long a stopping daemon keeps answering.
const stopGrace = 200 * time.Millisecond

const anyPort = "127.0.0.1:0"

// Options say what the daemons are joined to.
type Options struct {
	// Places has one entry for each daemon.
	Places []topology.Place
	// StoreURL and MachinesURL are the platform's.
	StoreURL    string
	MachinesURL string
}

// Cluster is the running daemons.
type Cluster struct {
	// Daemons are the addresses, in the order of the places.
	Daemons []daemon.Addresses
	// Operator is the administration of the first daemon.
	Operator *operator.AdminClient

	options Options
	group   errgroup.Group
	stop    context.CancelFunc
}

// Start starts the daemons, which run until Stop or until ctx ends, and waits
// until each knows the others and the catalogue.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	serving, stop := context.WithCancel(ctx)
	started := &Cluster{options: options, stop: stop}
	if err := started.start(serving); err != nil {
		_ = started.Stop() // the start has failed already
		return nil, err
	}
	return started, nil
}

func (c *Cluster) start(ctx context.Context) error {
	for _, place := range c.options.Places {
		if err := c.startDaemon(ctx, place); err != nil {
			return err
		}
	}
	c.Operator = operator.NewAdminClient(c.Daemons[0].Administration, "")
	return c.await(ctx)
}

// Stop ends the daemons and returns the first error of one.
func (c *Cluster) Stop() error {
	c.stop()
	return eris.Wrap(c.group.Wait(), "stop the daemons")
}

// URLs returns the base URLs of the callers' ports.
func (c *Cluster) URLs() []string {
	var all []string
	for _, addresses := range c.Daemons {
		all = append(all, "http://"+addresses.Callers)
	}
	return all
}

func (c *Cluster) startDaemon(ctx context.Context, place topology.Place) error {
	made, err := daemon.New(daemon.Options{Settings: c.settingsOf(place), Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		return eris.Wrap(err, "start a daemon")
	}
	c.Daemons = append(c.Daemons, made.Addresses())
	c.group.Go(func() error { return made.Run(ctx, context.WithoutCancel(ctx)) })
	return nil
}

// settingsOf returns a daemon's settings: free ports, joined to the first.
func (c *Cluster) settingsOf(place topology.Place) settings.Settings {
	chosen := settings.Default()
	chosen.Region, chosen.Zone = place.Region, place.Zone
	chosen.Callers.Address, chosen.Peers.Address, chosen.Administration.Address = anyPort, anyPort, anyPort
	chosen.Store.URL = c.options.StoreURL
	chosen.Machines.URL = c.options.MachinesURL
	chosen.Stop.Grace = stopGrace
	if len(c.Daemons) > 0 {
		chosen.Peers.Seeds = []string{c.Daemons[0].Peers}
	}
	return chosen
}

// await waits until every daemon knows the others and the catalogue.
func (c *Cluster) await(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		status, err := c.Operator.Status(bounded)
		if err == nil && c.ready(status) {
			return nil
		}
		select {
		case <-bounded.Done():
			return eris.Wrap(bounded.Err(), "wait for the daemons to know each other")
		case <-ticker.C:
		}
	}
}

func (c *Cluster) ready(status *admin.Status) bool {
	if len(status.Nodes) != len(c.Daemons) {
		return false
	}
	for i := range status.Nodes {
		state := &status.Nodes[i]
		if state.MembersKnown != len(c.Daemons) || state.CatalogueRevision == 0 {
			return false
		}
	}
	return true
}

// Submit sends an edit, fails unless it comes into force on every daemon, and
// returns the table's new revision.
func (c *Cluster) Submit(ctx context.Context, edit policytable.Edit) (uint64, error) {
	result, err := c.Operator.Edit(ctx, edit, inForceWait)
	if err != nil {
		return 0, eris.Wrapf(err, "change %s", edit.ID)
	}
	if result.Propagation == nil || !result.Propagation.Complete {
		return 0, eris.Errorf("change %s is not in force everywhere after %s", edit.ID, inForceWait)
	}
	return result.Change.Revision, nil
}
