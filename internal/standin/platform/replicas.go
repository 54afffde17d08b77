package platform

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/machines"
	"github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/standin/machinelist"
	"github.com/doorpond/doorpond/internal/topology"
)

// replicaGroup is the replicas that hold the same shards.
type replicaGroup struct {
	Group
	deployment *Deployment
	number     int
	started    int
	// holdings are the shards that a new replica of the group loads.
	holdings []holding
	servers  []*backend.Server
	// everStarted has the replicas that were removed, too.
	everStarted []*backend.Replica
}

func sortedNames(groups map[string]*replicaGroup) []string {
	return slices.Sorted(maps.Keys(groups))
}

// searchGroup names a group of an index.
func searchGroup(index string, number int) string { return fmt.Sprintf("%s-%d", index, number) }

// AddReplica starts a replica of a group with all of the group's shards, on a
// free port, and lists it.
func (p *Platform) AddReplica(groupName string) (*backend.Server, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	group := p.groups[groupName]
	if group == nil {
		return nil, eris.Errorf("no group is called %q", groupName)
	}
	place := group.deployment.placeOf(group.number, group.started)
	return p.startReplicaLocked(group, place, loopback)
}

// RestartReplica ends a replica at once and starts another incarnation on its
// address.
func (p *Platform) RestartReplica(address string) (*backend.Server, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	group, server, err := p.takeLocked(address)
	if err != nil {
		return nil, err
	}
	if err := server.Close(); err != nil {
		return nil, err
	}
	return p.startReplicaLocked(group, server.Replica.Options().Place, address)
}

// KillReplica ends a replica at once and leaves it on the machine list.
func (p *Platform) KillReplica(address string) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, server, err := p.takeLocked(address)
	if err != nil {
		return err
	}
	return server.Close()
}

// RemoveReplica ends a replica at once and takes it off the machine list.
func (p *Platform) RemoveReplica(address string) error {
	err := p.KillReplica(address)
	p.Machines.Remove(address)
	return err
}

// DrainReplica makes a replica refuse new work and lists it as leaving.
func (p *Platform) DrainReplica(address string) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, position, found := p.findLocked(address)
	if found == nil {
		return errNoReplica(address)
	}
	found.servers[position].Replica.Drain()
	p.Machines.SetLeaving(address)
	return nil
}

func errNoReplica(address string) error { return eris.Errorf("no replica runs at %s", address) }

// startReplicaLocked starts and lists a replica.
func (p *Platform) startReplicaLocked(group *replicaGroup, place topology.Place, address string) (*backend.Server, error) {
	p.incarnations++
	replica := backend.New(backend.Options{
		Group:           group.Name,
		Place:           place,
		Incarnation:     fmt.Sprintf("%s.%d", group.Name, p.incarnations),
		Slots:           group.Slots,
		QueueLimit:      group.QueueLimit,
		ConnectionLimit: group.ConnectionLimit,
		Timing:          p.timingOf(group.deployment),
		Hollow:          group.deployment.Hollow,
		Seed:            p.config.Seed + uint64(p.incarnations),
	})
	for _, held := range group.holdings {
		held.load(replica)
	}
	server, err := backend.Start(replica, address)
	if err != nil {
		return nil, eris.Wrapf(err, "start a replica of %s", group.Name)
	}
	group.started++
	group.servers = append(group.servers, server)
	group.everStarted = append(group.everStarted, replica)
	p.Machines.Add(machineOf(server.Address, server.Replica.Options()))
	return server, nil
}

func (p *Platform) timingOf(deployment *Deployment) backend.Timing {
	if deployment.Timing != nil {
		return *deployment.Timing
	}
	return p.config.Timing
}

// ListReplicas lists replicas that run in other processes.
func (p *Platform) ListReplicas(replicas []BackendDescription) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, replica := range replicas {
		group := p.groups[replica.Group]
		if group == nil {
			return eris.Errorf("no group is called %q", replica.Group)
		}
		p.Machines.Add(machineOf(replica.Address, backend.Options{
			Group: replica.Group, Place: replica.Place, Incarnation: replica.Incarnation,
			Slots: group.Slots, ConnectionLimit: group.ConnectionLimit,
		}))
	}
	return nil
}

// machineOf is a replica's entry in the machine list.
func machineOf(address string, options backend.Options) machinelist.Machine {
	return machinelist.Machine{
		Address: address,
		Labels: map[string]string{
			machines.LabelRole:        machines.RoleBackend,
			machines.LabelGroup:       options.Group,
			machines.LabelRegion:      options.Place.Region,
			machines.LabelZone:        options.Place.Zone,
			machines.LabelState:       machines.StateLive,
			machines.LabelIncarnation: options.Incarnation,
			machines.LabelSlots:       strconv.Itoa(options.Slots),
			machines.LabelConnections: strconv.Itoa(options.ConnectionLimit),
		},
	}
}

// takeLocked removes a replica from its group.
func (p *Platform) takeLocked(address string) (*replicaGroup, *backend.Server, error) {
	server, position, group := p.findLocked(address)
	if group == nil {
		return nil, nil, errNoReplica(address)
	}
	group.servers = slices.Delete(group.servers, position, position+1)
	return group, server, nil
}

// findLocked returns a replica, its position and its group, or a nil group.
func (p *Platform) findLocked(address string) (*backend.Server, int, *replicaGroup) {
	for _, group := range p.groups {
		for position, server := range group.servers {
			if server.Address == address {
				return server, position, group
			}
		}
	}
	return nil, 0, nil
}
