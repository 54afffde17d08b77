// Package demo runs the whole system in one process for a few seconds: the
// stand-ins of the platform, three daemons, operators and callers. Every
// answer is checked against a search of the same files without any shards.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/examples"
	"github.com/doorpond/doorpond/internal/admin"
	"github.com/doorpond/doorpond/internal/daemon"
	"github.com/doorpond/doorpond/internal/operator"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/settings"
	"github.com/doorpond/doorpond/internal/standin/platform"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/testdata"
)

// inForceWait is how long the demo waits for a table to be in force.
const inForceWait = 10 * time.Second

// How long the demo waits for the daemons to find each other, and how often
// it looks.
const (
	readyWait = 15 * time.Second
	readyPoll = 100 * time.Millisecond
)

// daemonPlaces are where the three daemons run.
var daemonPlaces = []topology.Place{
	{Region: "accra", Zone: "accra-a"},
	{Region: "kumasi", Zone: "kumasi-a"},
	{Region: "addis", Zone: "addis-a"},
}

// Options say where the demo reports.
type Options struct {
	// Out gets the answers and the comparison.
	Out io.Writer
	// Progress gets a line a step.
	Progress io.Writer
}

// demo is one run.
type demo struct {
	options  Options
	platform *platform.Platform
	daemons  []daemon.Addresses
	clients  []*client.Client
	operator *operator.API
	step     int
}

// Run runs the demo. It fails if any answer is wrong.
func Run(ctx context.Context, options Options) error {
	d := &demo{options: options}
	d.progress("starting the stand-ins of store, machine list and back ends")
	started, err := platform.Start(ctx, platform.DefaultConfig(testdata.Corpus))
	if err != nil {
		return eris.Wrap(err, "start the platform")
	}
	defer func() { _ = started.Close() }()
	d.platform = started
	return d.withDaemons(ctx)
}

// withDaemons runs the steps while three daemons run, and stops them.
func (d *demo) withDaemons(ctx context.Context) error {
	d.progress("starting %d daemons", len(daemonPlaces))
	serving, stop := context.WithCancel(ctx)
	defer stop()
	group, _ := errgroup.WithContext(context.WithoutCancel(ctx))
	for _, place := range daemonPlaces {
		if err := d.startDaemon(serving, group, place); err != nil {
			stop()
			return err
		}
	}
	stepsErr := d.steps(ctx)
	d.progress("stopping the daemons")
	stop()
	if err := group.Wait(); err != nil {
		return eris.Wrap(err, "stop the daemons")
	}
	return stepsErr
}

func (d *demo) startDaemon(ctx context.Context, group *errgroup.Group, place topology.Place) error {
	made, err := daemon.New(daemon.Options{Settings: d.settingsOf(place), Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		return eris.Wrap(err, "start a daemon")
	}
	addresses := made.Addresses()
	d.daemons = append(d.daemons, addresses)
	d.clients = append(d.clients, client.New("http://"+addresses.Callers, nil))
	if d.operator == nil {
		d.operator = operator.NewAPI(addresses.Administration, "")
	}
	group.Go(func() error { return made.Run(ctx, context.WithoutCancel(ctx)) })
	return nil
}

// settingsOf returns a daemon's settings: free ports, joined to the first.
func (d *demo) settingsOf(place topology.Place) settings.Settings {
	const anyPort = "127.0.0.1:0"
	chosen := settings.Default()
	chosen.Region, chosen.Zone = place.Region, place.Zone
	chosen.Callers.Address, chosen.Peers.Address, chosen.Administration.Address = anyPort, anyPort, anyPort
	chosen.Store.URL = d.platform.StoreURL()
	chosen.Machines.URL = d.platform.MachinesURL()
	chosen.Stop.Grace = 200 * time.Millisecond
	if len(d.daemons) > 0 {
		chosen.Peers.Seeds = []string{d.daemons[0].Peers}
	}
	return chosen
}

// steps are what the demo shows, in order.
func (d *demo) steps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		d.awaitDaemons, d.applyPolicies, d.showAnswers, d.callOnce, d.editUnderLoad, d.compare,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// awaitDaemons waits until every daemon knows the others and the catalogue.
func (d *demo) awaitDaemons(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		status, err := d.operator.Status(bounded)
		if err == nil && d.ready(status) {
			return nil
		}
		select {
		case <-bounded.Done():
			return eris.Wrap(bounded.Err(), "wait for the daemons to know each other")
		case <-ticker.C:
		}
	}
}

func (d *demo) ready(status *admin.Status) bool {
	if len(status.Nodes) != len(d.daemons) {
		return false
	}
	for i := range status.Nodes {
		state := &status.Nodes[i]
		if state.MembersKnown != len(d.daemons) || state.CatalogueRevision == 0 {
			return false
		}
	}
	return true
}

// applyPolicies writes the example table and waits until it is in force.
func (d *demo) applyPolicies(ctx context.Context) error {
	d.progress("applying two policies and waiting until they are in force everywhere")
	var edit policytable.Edit
	if err := yaml.UnmarshalWithOptions(examples.Policies, &edit, yaml.Strict()); err != nil {
		return eris.Wrap(err, "read the example policies")
	}
	edit.ID, edit.Author = "demo-apply", "demo"
	return d.submit(ctx, edit)
}

// submit sends an edit and fails unless it comes into force on every daemon.
func (d *demo) submit(ctx context.Context, edit policytable.Edit) error {
	result, err := d.operator.Edit(ctx, edit, inForceWait)
	if err != nil {
		return eris.Wrapf(err, "change %s", edit.ID)
	}
	if result.Propagation == nil || !result.Propagation.Complete {
		return eris.Errorf("change %s is not in force everywhere after %s", edit.ID, inForceWait)
	}
	d.print("revision %d is in force on all %d daemons\n", result.Change.Revision, len(d.daemons))
	return nil
}

func (d *demo) progress(format string, arguments ...any) {
	d.step++
	fmt.Fprintf(d.options.Progress, "[%d/%d] %s\n", d.step, lastStep, fmt.Sprintf(format, arguments...))
}

// lastStep is the number of progress lines.
const lastStep = 8

func (d *demo) print(format string, arguments ...any) {
	fmt.Fprintf(d.options.Out, format, arguments...)
}
