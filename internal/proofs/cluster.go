// Package proofs runs doorpondd processes against the stand-in platform, injects
// faults (SIGKILL, SIGSTOP, SIGTERM, store outages), and checks the documented
// guarantees from the view of back ends, callers and operators. Progress is
// awaited by polling conditions, so that verdicts do not depend on the speed of
// the machine.
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

// places are assigned to daemons round-robin.
var places = []topology.Place{
	{Region: "accra", Zone: "accra-a"},
	{Region: "kumasi", Zone: "kumasi-a"},
	{Region: "takoradi", Zone: "takoradi-a"},
}

// Policy, group and author used by all requests.
const (
	policyName  = "steady"
	callerGroup = "gate"
	author      = "ama"
)

// ClusterOptions configures Start.
type ClusterOptions struct {
	// Programs are the binaries; see Build.
	Programs Programs
	// Directory holds the ready files.
	Directory string
	// Daemons is the initial number of processes.
	Daemons int
	// Arguments are appended to the command line of every daemon.
	Arguments []string
}

// Cluster is a stand-in platform and the daemons that run against it.
type Cluster struct {
	Platform *platform.Platform

	options  ClusterOptions
	replicas *replicaProcesses
	mutex    sync.Mutex
	// daemons holds every daemon started, in order, including exited ones.
	daemons []*Process
}

// Start starts the platform and the daemons, and writes the first policy table.
func Start(ctx context.Context, options ClusterOptions) (*Cluster, error) {
	config := platform.DefaultConfig(testdata.Corpus)
	config.StartsReplica = func(int) bool { return false }
	running, err := platform.Start(context.WithoutCancel(ctx), config)
	if err != nil {
		return nil, err
	}
	cluster := &Cluster{Platform: running, options: options, replicas: &replicaProcesses{}}
	if err := cluster.bootstrap(ctx); err != nil {
		return nil, errors.Join(err, cluster.Close())
	}
	return cluster, nil
}

func (c *Cluster) bootstrap(ctx context.Context) error {
	if err := c.replicas.start(ctx, c.options.Programs.Lab, c.options.Directory); err != nil {
		return err
	}
	if err := c.Platform.ListReplicas(c.replicas.listed); err != nil {
		return err
	}
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

// awaitServing waits until every daemon knows all members and has loaded the
// catalogue and at least the given table revision.
func (c *Cluster) awaitServing(ctx context.Context, revision uint64) error {
	daemons := len(c.Alive())
	return await(ctx, "all daemons to know all members and the table", func() (bool, error) {
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

// AddDaemon starts a daemon and registers it in the machine list.
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
	process, err := startDaemon(ctx, c.options.Programs.Daemon, readyFile, append(arguments, c.options.Arguments...))
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

// Alive returns the daemons that have not exited, oldest first.
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

// AdminClient returns a client of the administration port of the live daemon at
// the given position.
func (c *Cluster) AdminClient(position int) *operator.AdminClient {
	return adminClient(c.Alive()[position])
}

func adminClient(process *Process) *operator.AdminClient {
	return operator.NewAdminClient(process.Addresses.Administration, "")
}

// randomURL returns the callers URL of a random live daemon.
func (c *Cluster) randomURL(random *rand.Rand) string {
	alive := c.Alive()
	return alive[random.IntN(len(alive))].callersURL()
}

// Logs returns the standard error of every daemon started, in order.
func (c *Cluster) Logs() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	logs := make([]string, 0, len(c.daemons))
	for _, process := range c.daemons {
		logs = append(logs, process.log.String())
	}
	return logs
}

// StopAll sends SIGTERM to all daemons and waits for them to exit.
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

// Close kills the daemons and the replicas, and closes the platform.
func (c *Cluster) Close() error {
	for _, process := range c.Alive() {
		process.Kill()
	}
	c.replicas.kill()
	return c.Platform.Close()
}
