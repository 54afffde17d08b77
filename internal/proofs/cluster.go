// Package proofs runs doorpondd as real processes against the stand-in
// platform, does them harm (SIGKILL, SIGSTOP, SIGTERM, outages of the store),
// and counts at the back ends, the callers and the operators whether the
// promises held. Each proof waits for conditions, never for a fixed time, so
// that its verdict does not depend on the speed of the machine.
package proofs

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"

	"github.com/doorpond/doorpond/internal/machines"
	"github.com/doorpond/doorpond/internal/operator"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/standin/machinelist"
	"github.com/doorpond/doorpond/internal/standin/platform"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/testdata"
)

// places are where the daemons run, in turn.
var places = []topology.Place{
	{Region: "accra", Zone: "accra-a"},
	{Region: "kumasi", Zone: "kumasi-a"},
	{Region: "takoradi", Zone: "takoradi-a"},
}

// The policy and the group of all requests of the proofs.
const (
	policyName  = "steady"
	callerGroup = "gate"
	author      = "ama"
)

// ClusterOptions say what is started.
type ClusterOptions struct {
	// Program is the path of doorpondd; see Build.
	Program string
	// Directory is for ready files.
	Directory string
	// Daemons is the number of processes to begin with.
	Daemons int
	// Arguments are added to each daemon's.
	Arguments []string
}

// Cluster is a platform and the daemons that run against it.
type Cluster struct {
	Platform *platform.Platform

	options ClusterOptions
	mutex   sync.Mutex
	// daemons were ever started, in order; some may have ended.
	daemons []*Process
}

// Start starts the platform and the daemons, and writes the first table.
func Start(ctx context.Context, options ClusterOptions) (*Cluster, error) {
	running, err := platform.Start(context.WithoutCancel(ctx), platform.DefaultConfig(testdata.Corpus))
	if err != nil {
		return nil, err
	}
	cluster := &Cluster{Platform: running, options: options}
	if err := cluster.begin(ctx); err != nil {
		return nil, errors.Join(err, cluster.Close())
	}
	return cluster, nil
}

func (c *Cluster) begin(ctx context.Context) error {
	for range c.options.Daemons {
		if _, err := c.AddDaemon(ctx); err != nil {
			return err
		}
	}
	edit := policytable.Edit{
		Author:         author,
		SetPolicies:    []policy.Row{policy.DefaultRow(policyName)},
		SetAssignments: []policy.Assignment{{Group: callerGroup, Shares: []policy.Share{{Policy: policyName, Weight: 1}}}},
	}
	result, err := c.AdminClient(0).Edit(ctx, edit, 0)
	if err != nil {
		return err
	}
	return c.awaitServing(ctx, result.Change.Revision)
}

// awaitServing waits until every daemon knows all others and the revision.
func (c *Cluster) awaitServing(ctx context.Context, revision uint64) error {
	daemons := len(c.Alive())
	return await(ctx, "all daemons to know each other and the table", func() (bool, error) {
		status, err := c.AdminClient(0).Status(ctx)
		if err != nil || len(status.Nodes) < daemons {
			return false, nil // the daemons are still joining
		}
		for _, node := range status.Nodes {
			if node.MembersKnown < daemons || node.TableRevision < revision || node.CatalogueRevision == 0 {
				return false, nil
			}
		}
		return true, nil
	})
}

// AddDaemon starts one more daemon and puts it on the machine list.
func (c *Cluster) AddDaemon(ctx context.Context) (*Process, error) {
	c.mutex.Lock()
	number := len(c.daemons)
	c.mutex.Unlock()
	place := places[number%len(places)]
	arguments := []string{
		"--region", place.Region, "--zone", place.Zone,
		"--store-url", c.Platform.StoreURL(), "--machines-url", c.Platform.MachinesURL(),
		"--callers-address", "127.0.0.1:0", "--peers-address", "127.0.0.1:0", "--administration-address", "127.0.0.1:0",
		"--machines-interval", "200ms", "--membership-period", "200ms",
	}
	for _, other := range c.Alive() {
		arguments = append(arguments, "--peers-seeds", other.Addresses.Peers)
	}
	readyFile := filepath.Join(c.options.Directory, fmt.Sprintf("ready-%d.json", number))
	process, err := startProcess(ctx, c.options.Program, readyFile, append(arguments, c.options.Arguments...))
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	c.daemons = append(c.daemons, process)
	c.mutex.Unlock()
	c.Platform.Machines.Add(machinelist.Machine{
		Address: process.Addresses.Peers,
		Labels:  map[string]string{machines.LabelRole: machines.RoleDaemon},
	})
	return process, nil
}

// Alive returns the daemons that have not ended, the oldest first.
func (c *Cluster) Alive() []*Process {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var alive []*Process
	for _, process := range c.daemons {
		if process.alive() {
			alive = append(alive, process)
		}
	}
	return alive
}

func (c *Cluster) oldestAlive() *Process { return c.Alive()[0] }

// AdminClient returns a client of the administration port of the daemon at a position
// among those alive.
func (c *Cluster) AdminClient(position int) *operator.AdminClient {
	return apiOf(c.Alive()[position])
}

func apiOf(process *Process) *operator.AdminClient {
	return operator.NewAdminClient(process.Addresses.Administration, "")
}

// randomURL is the callers' port of any daemon.
func (c *Cluster) randomURL(random *rand.Rand) string {
	alive := c.Alive()
	return alive[random.IntN(len(alive))].callersURL()
}

// StopAll stops all daemons as planned and waits for their end.
func (c *Cluster) StopAll(ctx context.Context) error {
	alive := c.Alive()
	for _, process := range alive {
		if err := process.Stop(); err != nil {
			return err
		}
	}
	for _, process := range alive {
		if err := process.Wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close kills the daemons and ends the platform.
func (c *Cluster) Close() error {
	for _, process := range c.Alive() {
		process.Kill()
	}
	return c.Platform.Close()
}
