package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

const (
	readyWait = 20 * time.Second
	stopWait  = 15 * time.Second
)

// zones maps the zones of the deployment to their regions.
var zones = []struct{ name, region string }{{"zone-a", "region-a"}, {"zone-b", "region-b"}}

// stage is a small deployment: the platform's store, replicas, and edge nodes as processes.
type stage struct {
	record   *record
	length   time.Duration
	trouble  bool
	program  string
	folder   string
	store    *standin.Store
	storeURL string
	listener net.Listener
	nodes    []*node
	replicas []*replica
	// tenants are those of the configuration; without any, clients need no keys.
	tenants []map[string]any
}

func newStage(program, recordPath string, length time.Duration, trouble bool) (*stage, error) {
	folder, err := os.MkdirTemp("", "doorpond-review-")
	if err != nil {
		return nil, err
	}
	written, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &stage{
		record: written, length: length, trouble: trouble, program: program, folder: folder, store: standin.NewStore(),
		listener: listener, storeURL: "http://" + listener.Addr().String(),
	}
	go func() { _ = http.Serve(listener, s.store) }() // returns when the listener is closed
	s.record.note("trouble %v, length %v", trouble, length)
	return s, nil
}

// configure writes the operator's configuration.
func (s *stage) configure(routes, services []map[string]any) error {
	configuration := map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if len(s.tenants) > 0 {
		configuration["tenants"] = s.tenants
	}
	return s.store.Put("op/config", configuration)
}

// publish writes the entry of a replica.
func (s *stage) publish(r *replica) error {
	return s.store.Put("servers/"+r.id, map[string]any{
		"backend": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slots": replicaSlots, "state": "ready",
		"warmupLeftMs": 0, "seq": 1, "born": r.born.UnixMilli(),
	})
}

// startNodes starts one edge node in each zone and waits until all are ready.
func (s *stage) startNodes() error {
	for _, zone := range zones {
		started, err := s.startNode("edge-"+zone.name+"-1", zone.name, zone.region)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, started)
	}
	deadline := time.Now().Add(readyWait)
	for _, each := range s.nodes {
		for !each.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s was not ready in time", each.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// node is an edge node, a process of its own.
type node struct {
	name, region, zone                                       string
	callers, readiness, directory, peers, state, metricsAddr string
	storeURL                                                 string
	command                                                  *exec.Cmd
	// ended has the result of the process once it has ended.
	ended chan error
}

func (s *stage) startNode(name, zone, region string) (*node, error) {
	started := &node{name: name, region: region, zone: zone, ended: make(chan error, 1), storeURL: s.storeURL}
	for _, address := range []*string{
		&started.callers, &started.readiness, &started.directory, &started.peers, &started.state, &started.metricsAddr,
	} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	settings := filepath.Join(s.folder, name+".yaml")
	if err := os.WriteFile(settings, []byte(started.settings()), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	started.command = exec.Command(s.program)
	started.command.Env = append(os.Environ(), "DOORPOND_SETTINGS="+settings)
	started.command.Stdout, started.command.Stderr = log, log
	started.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := started.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		started.ended <- started.command.Wait()
		_ = log.Close()
	}()
	s.record.note("node %s started in %s", name, zone)
	return started, nil
}

// settings returns the node's settings file, as deploy/settings.yaml.tmpl lays it out, with the
// figures of a small deployment.
func (n *node) settings() string {
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone.name] = zone.region
	}
	encoded, _ := json.Marshal(regions) // strings never fail
	return fmt.Sprintf(`node: %q
region: %q
zone: %q
regions: %s
callers: %q
readiness: %q
directory: %q
peers: %q
state: %q
seeds: []
metrics: %q
store:
  url: %q
  least_ttl: 1000ms
limits:
  memory_mb: 284
  processor_share: 0.4
  cores: 1
bounds:
  drain: 3000ms
  grace: 6s
  apply: 3000ms
  retry_ratio: 0.2
  retry_slack: 58
  retry_window: 10s
  directory_ttl: 5s
  lost_nodes: 1
`, n.name, n.region, n.zone, encoded, n.callers, n.readiness, n.directory, n.peers, n.state, n.metricsAddr, n.storeURL)
}

func (n *node) ready() bool {
	response, err := http.Get("http://" + n.readiness + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends the node: by SIGTERM, and by SIGKILL if that takes too long.
func (n *node) stop() error {
	_ = n.command.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case err := <-n.ended:
		return err
	case <-time.After(stopWait):
		_ = n.command.Process.Kill()
		<-n.ended
		return fmt.Errorf("node %s did not stop in time", n.name)
	}
}

// close ends everything that the stage started.
func (s *stage) close() error {
	var failures []error
	for _, each := range s.nodes {
		failures = append(failures, each.stop())
	}
	for _, each := range s.replicas {
		each.close()
	}
	s.store.Memory.EndWatches()
	_ = s.listener.Close()
	failures = append(failures, s.record.close(), os.RemoveAll(s.folder))
	return errors.Join(failures...)
}

// Node ports lie below the ephemeral range, so that no outgoing connection takes one.
const firstPort, lastPort = 16_000, 32_000

// freeAddress returns a loopback address with a port that is free for TCP and UDP now.
func freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}
