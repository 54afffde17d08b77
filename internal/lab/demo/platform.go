package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/platform/standin"
)

// The shape of the demo on the platform's stand-in.
const (
	platformShards   = 6
	platformWork     = 5 * time.Millisecond
	platformRequests = 60
	platformWait     = 4 * time.Second
	// lastPlatformStep is the number of progress lines.
	lastPlatformStep = 6
)

var platformZones = []string{"accra", "kumasi", "takoradi"}

// platformDemo is one run of edge nodes on the platform's stand-in.
type platformDemo struct {
	demo
	deployment *standin.Deployment
	nodes      []*standin.Node
	caller     *standin.Client
	sent       int
}

// RunPlatform runs edge nodes for callers who run no process of ours, on
// stand-ins of the users' platform. It fails if any answer is wrong.
func RunPlatform(ctx context.Context, options Options) error {
	d := &platformDemo{demo: demo{options: options, lastStep: lastPlatformStep}}
	d.progress("starting the stand-ins of the platform's store and of the replicas")
	deployment, err := standin.Start(standin.Options{Zones: platformZones, Shards: platformShards, ProcessingTime: platformWork})
	if err != nil {
		return eris.Wrap(err, "start the stand-ins")
	}
	defer deployment.Close()
	d.deployment = deployment
	if err := d.startNodes(ctx); err != nil {
		return err
	}
	return d.play(ctx)
}

func (d *platformDemo) startNodes(ctx context.Context) error {
	d.progress("starting an edge node in each of three zones")
	d.caller = d.deployment.NewClient(platformZones[0], &http.Client{Timeout: platformWait})
	for _, zone := range platformZones {
		settings := d.deployment.NodeSettings("node-"+zone, zone)
		standin.LimitTenants(&settings.Bounds)
		node, err := d.deployment.StartNode(settings, nil)
		if err != nil {
			return eris.Wrap(err, "start a node")
		}
		d.nodes = append(d.nodes, node)
		d.caller.Directories = append(d.caller.Directories, node.Addresses().Directory)
	}
	return d.awaitNodes(ctx)
}

// awaitNodes waits until the directory knows the node of the caller's zone.
func (d *platformDemo) awaitNodes(ctx context.Context) error {
	own := d.nodes[0].Addresses().Callers
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		addresses, err := d.caller.Resolve(ctx)
		if err == nil && len(addresses) == 1 && addresses[0] == own {
			return nil
		}
	}
	return eris.New("the node of the caller's zone is not named in time")
}

func (d *platformDemo) play(ctx context.Context) error {
	if err := d.ask(ctx, "all replicas serve", platformShards); err != nil {
		return err
	}
	paused := d.deployment.ReplicasOf(standin.ShardService(1))[0]
	d.progress("a replica of shard 1 pauses")
	paused.Pause()
	if err := d.ask(ctx, "one replica is paused", platformShards); err != nil {
		return err
	}
	paused.Resume()
	d.progress("the index is cut into one shard fewer, and the node of the caller's zone is stopped")
	if err := d.deployment.Configure(platformShards - 1); err != nil {
		return err
	}
	if err := d.nodes[0].Stop(); err != nil {
		return eris.Wrap(err, "stop a node")
	}
	time.Sleep(time.Second) // the caller's addresses are over
	if err := d.ask(ctx, "a node is gone", platformShards-1); err != nil {
		return err
	}
	d.progress("the operators list a tenant, whose callers send many times its limit through both nodes")
	if err := d.playTenants(ctx); err != nil {
		return err
	}
	for _, node := range d.nodes[1:] {
		if err := node.Stop(); err != nil {
			return eris.Wrap(err, "stop a node")
		}
	}
	d.progress("every answer was right")
	return nil
}

// ask sends scattered requests one after the other, and checks each.
func (d *platformDemo) ask(ctx context.Context, what string, shards int) error {
	took := make([]time.Duration, 0, platformRequests)
	missing := 0
	for range platformRequests {
		d.sent++
		id := fmt.Sprint("demo-", d.sent)
		started := time.Now()
		response, err := d.caller.Send(ctx, id, standin.ScatteredPath, platformWait)
		if err != nil {
			return eris.Wrapf(err, "request %s", id)
		}
		if response.Status != http.StatusOK {
			return eris.Errorf("request %s: status %d", id, response.Status)
		}
		if err := standin.CheckScattered(id, shards, response); err != nil {
			return err
		}
		missing += response.Missing
		took = append(took, time.Since(started))
	}
	slices.Sort(took)
	_, err := fmt.Fprintf(d.options.Out, "%s: %d requests over %d shards, median %v, longest %v, %d shards missing\n",
		what, len(took), shards, took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond), missing)
	return err
}
