// Package demo runs the whole system in one process for a few seconds: the
// stand-ins of the platform, three daemons, operators and callers. Every
// answer is checked against a search of the same files without any shards.
package demo

import (
	"context"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/examples"
	"github.com/doorpond/doorpond/internal/lab/cluster"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/standin/platform"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/testdata"
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
	cluster  *cluster.Cluster
	clients  []*client.Client
	// step is the progress line written last.
	step, lastStep int
}

// Run runs the demo. It fails if any answer is wrong.
func Run(ctx context.Context, options Options) error {
	d := &demo{options: options, lastStep: lastStep}
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
	started, err := cluster.Start(ctx, cluster.Options{
		Places: daemonPlaces, StoreURL: d.platform.StoreURL(), MachinesURL: d.platform.MachinesURL(),
	})
	if err != nil {
		return err
	}
	d.cluster = started
	for _, url := range started.URLs() {
		d.clients = append(d.clients, client.New(url, nil))
	}
	stepsErr := d.steps(ctx)
	d.progress("stopping the daemons")
	if err := started.Stop(); err != nil {
		return err
	}
	return stepsErr
}

// steps are what the demo shows, in order.
func (d *demo) steps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		d.applyPolicies, d.showAnswers, d.callOnce, d.editUnderLoad, d.compare,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
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
	revision, err := d.cluster.Submit(ctx, edit)
	if err != nil {
		return err
	}
	d.print("revision %d is in force on all %d daemons\n", revision, len(daemonPlaces))
	return nil
}

func (d *demo) progress(format string, arguments ...any) {
	d.step++
	fmt.Fprintf(d.options.Progress, "[%d/%d] %s\n", d.step, d.lastStep, fmt.Sprintf(format, arguments...))
}

// lastStep is the number of progress lines.
const lastStep = 8

func (d *demo) print(format string, arguments ...any) {
	fmt.Fprintf(d.options.Out, format, arguments...)
}
