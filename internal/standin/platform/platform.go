package platform

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/corpus"
	"github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/internal/standin/machinelist"
)

// leaseCheckInterval is how often the store ends leases.
const leaseCheckInterval = 200 * time.Millisecond

// loopback is where everything listens.
const loopback = "127.0.0.1:0"

// Platform is the running stand-ins. It is safe for concurrent use.
type Platform struct {
	// Store and Machines are the stand-ins themselves, for their faults.
	Store    *kv.Server
	Machines *machinelist.List
	// Records is everything that was indexed.
	Records []corpus.Record

	config  Config
	servers []*httpServer
	store   *httpServer
	list    *httpServer
	admin   *httpServer
	stop    context.CancelFunc
	stopped chan struct{}

	mutex        sync.Mutex
	catalogue    catalogue.Catalogue
	groups       map[string]*replicaGroup
	incarnations int
}

// Start starts everything and publishes the first snapshot of each corpus.
// The platform runs until Close, or until ctx ends.
func Start(ctx context.Context, config Config) (*Platform, error) {
	records, err := corpus.Load(config.Corpus)
	if err != nil {
		return nil, eris.Wrap(err, "load the corpus")
	}
	running, stop := context.WithCancel(ctx)
	platform := &Platform{
		Store:    kv.NewServer(kv.Options{}),
		Machines: machinelist.New(nil),
		Records:  records,
		config:   config,
		stop:     stop,
		stopped:  make(chan struct{}),
		groups:   make(map[string]*replicaGroup),
	}
	go platform.runStore(running)
	if err := platform.start(); err != nil {
		return nil, errors.Join(err, platform.Close())
	}
	return platform, nil
}

func (p *Platform) runStore(ctx context.Context) {
	defer close(p.stopped)
	_ = p.Store.Run(ctx, leaseCheckInterval) // it ends only with ctx
}

func (p *Platform) start() error {
	var err error
	if p.store, err = p.serve(p.Store); err != nil {
		return err
	}
	if p.list, err = p.serve(p.Machines); err != nil {
		return err
	}
	if p.admin, err = p.serve(p.adminHandler()); err != nil {
		return err
	}
	for i := range p.config.Deployments {
		if err := p.startDeployment(&p.config.Deployments[i]); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) serve(handler http.Handler) (*httpServer, error) {
	server, err := listenAndServe(handler)
	if err != nil {
		return nil, err
	}
	p.servers = append(p.servers, server)
	return server, nil
}

func (p *Platform) startDeployment(deployment *Deployment) error {
	for _, index := range p.indexesOf(deployment) {
		for number := range deployment.GroupsPerIndex {
			group := deployment.Search
			group.Name = searchGroup(index, number)
			if err := p.startGroup(deployment, group); err != nil {
				return err
			}
		}
	}
	for _, service := range deployment.Services {
		if err := p.startGroup(deployment, service); err != nil {
			return err
		}
	}
	_, err := p.Publish(deployment.Corpus, deployment.ShardsPerIndex)
	return err
}

func (p *Platform) indexesOf(deployment *Deployment) []string {
	if deployment.Hollow {
		return []string{deployment.Corpus}
	}
	return corpus.Indexes(p.Records, deployment.Corpus)
}

func (p *Platform) startGroup(deployment *Deployment, description Group) error {
	p.mutex.Lock()
	group := &replicaGroup{Group: description, deployment: deployment, number: len(p.groups)}
	p.groups[description.Name] = group
	p.mutex.Unlock()
	for number := range description.Replicas {
		if p.config.StartsReplica != nil && !p.config.StartsReplica(number) {
			p.skipReplica(group)
			continue
		}
		if _, err := p.AddReplica(description.Name); err != nil {
			return err
		}
	}
	return nil
}

// skipReplica leaves a replica to another process, which starts it with the same
// place and incarnation.
func (p *Platform) skipReplica(group *replicaGroup) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.incarnations++
	group.started++
}

// StoreURL is the base URL of the store's JSON gateway.
func (p *Platform) StoreURL() string { return "http://" + p.store.address }

// MachinesURL is the URL of the machine list.
func (p *Platform) MachinesURL() string { return "http://" + p.list.address + machinelist.TargetsPath }

// AdminURL is the base URL of the platform's administration (see admin.go).
func (p *Platform) AdminURL() string { return "http://" + p.admin.address }

// Backends returns the running replicas, by group and then in the order in
// which they were started.
func (p *Platform) Backends() []*backend.Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var servers []*backend.Server
	for _, name := range sortedNames(p.groups) {
		servers = append(servers, p.groups[name].servers...)
	}
	return servers
}

// Executions sums, over all replicas that ever ran, how often the operation
// of each key was run.
func (p *Platform) Executions() map[string]int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	total := make(map[string]int)
	for _, group := range p.groups {
		for _, replica := range group.everStarted {
			for key, count := range replica.Executions() {
				total[key] += count
			}
		}
	}
	return total
}

// Close ends everything at once.
func (p *Platform) Close() error {
	p.stop()
	<-p.stopped
	var problems []error
	for _, server := range p.Backends() {
		problems = append(problems, server.Close())
	}
	for _, server := range p.servers {
		problems = append(problems, server.close())
	}
	return errors.Join(problems...)
}
