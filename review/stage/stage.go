package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

func check(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// failure is what check panics with: the case could not run.
type failure struct{ err error }

func (f failure) Error() string { return f.err.Error() }

// stage is a small deployment: a store, replicas, nodes as processes, and what was recorded.
type stage struct {
	started time.Time
	folder  string // temporary
	store   *standin.Store
	address string // of the store
	network *network
	nodes   []*node
	regions map[string]string // by zone

	recordMutex sync.Mutex
	record      *os.File

	// ending is true while one request ends the replicas that run it.
	ending atomic.Bool

	mutex    sync.Mutex
	arrivals []arrival
	attempts []attempt
}

// arrival is a request that a replica began to run.
type arrival struct {
	id, service, replica, tenant, path string
	at                                 time.Time
	// ended is true if the request ended the replica.
	ended bool
}

// attempt is a request as a client sees it.
type attempt struct {
	id, node, group string
	sent, ended     time.Time
	status          int // 0: no answer
}

func newStage(record string) *stage {
	folder, err := os.MkdirTemp("", "review-stage-")
	check(err)
	file, err := os.Create(record)
	check(err)
	s := &stage{started: time.Now(), folder: folder, store: standin.NewStore(), network: newNetwork(), record: file, regions: make(map[string]string)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store) }()
	return s
}

// note writes a line to the record and to the standard output.
func (s *stage) note(format string, arguments ...any) {
	line := since(s.started) + " s  " + fmt.Sprintf(format, arguments...)
	fmt.Println(line)
	s.write(line)
}

func (s *stage) write(line string) {
	s.recordMutex.Lock()
	defer s.recordMutex.Unlock()
	_, _ = fmt.Fprintln(s.record, line)
}

func (s *stage) close() {
	for _, n := range s.nodes {
		n.end()
	}
	_ = s.record.Close()
	_ = os.RemoveAll(s.folder)
}

// configure writes a configuration, as the operator does.
func (s *stage) configure(configuration map[string]any) {
	check(s.store.Put("op/config", configuration))
}

// node is one machine with its process.
type node struct {
	stage               *stage
	name, zone          string
	callers, directory  string
	readiness, settings string
	command             *exec.Cmd
	log                 *os.File
	calls               *atomic.Int64 // of the store
	ended               chan struct{}
}

type nodeOptions struct {
	bounds string // further lines of the settings, below "bounds:"
	drain  time.Duration
}

// addNode prepares a node. The settings are those that deploy/settings.yaml.tmpl makes.
func (s *stage) addNode(name, zone string, options nodeOptions) *node {
	n := &node{stage: s, name: name, zone: zone, callers: freeAddress(), directory: freeAddress(), readiness: freeAddress()}
	peers, state, metrics := freeAddress(), freeAddress(), freeAddress()
	replaced := map[string]string{peers: s.network.addDatagrams(name, peers), state: s.network.addStream(name, state)}
	store, calls := s.network.storeProxy(name, "http://"+s.address, replaced)
	n.calls = calls
	regions, err := json.Marshal(s.regions)
	check(err)
	text := fmt.Sprintf(`node: %q
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
  url: "http://%s"
  least_ttl: 1000ms
limits:
  memory_mb: 284
  processor_share: 0.8
  cores: 1
bounds:
  drain: %dms
  grace: 6s
  apply: %dms
  retry_ratio: 0.2
  retry_slack: 58
  retry_window: 10s
  directory_ttl: 5s
  lost_nodes: 1
%s`, name, s.regions[zone], zone, regions, n.callers, n.readiness, n.directory, peers, state, metrics, store,
		cmp.Or(options.drain, 5*time.Second).Milliseconds(), cmp.Or(options.drain, 5*time.Second).Milliseconds(), options.bounds)
	n.settings = filepath.Join(s.folder, name+".yaml")
	check(os.WriteFile(n.settings, []byte(text), 0o600))
	n.log, err = os.Create(filepath.Join(s.folder, name+".log"))
	check(err)
	s.nodes = append(s.nodes, n)
	return n
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() {
	command := exec.Command("target/doorpond-edge")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOORPOND_SETTINGS=" + n.settings}
	command.Stdout, command.Stderr = n.log, n.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(command.Start())
	n.command, n.ended = command, make(chan struct{})
	n.stage.network.mutex.Lock()
	n.stage.network.pids[n.name] = command.Process.Pid
	n.stage.network.mutex.Unlock()
	go func(ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(n.ended)
}

func (n *node) signal(signal syscall.Signal) { _ = n.command.Process.Signal(signal) }

// end kills the process, if it runs.
func (n *node) end() {
	if n.command == nil {
		return
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.ended
	n.command = nil
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.readiness + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes say that they are ready.
func (s *stage) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range s.nodes {
		for n.command != nil && !n.ready() {
			if time.Now().After(deadline) {
				lines := n.logLines("")
				check(fmt.Errorf("node %s is not ready; its log ends with %s", n.name, strings.Join(lines[max(0, len(lines)-4):], "\n")))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// logLines returns the log lines of a node that contain a text.
func (n *node) logLines(text string) []string {
	content, _ := os.ReadFile(n.log.Name())
	var found []string
	for _, line := range strings.Split(string(content), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// replica is a sound server: it runs what reaches it, answers, and writes its entry each heartbeat.
type replica struct {
	stage       *stage
	id, service string
	zone        string
	address     string
	work        time.Duration
	born        time.Time
	stop        chan struct{}
	server      *http.Server

	mutex sync.Mutex
	down  bool
	// warmup is how long the replica is cold after its next start; coldUntil is when that ends.
	warmup    time.Duration
	coldUntil time.Time
}

const heartbeat = 1200 * time.Millisecond

func (s *stage) addReplica(id, service, zone string, work time.Duration) *replica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r := &replica{stage: s, id: id, service: service, zone: zone, address: listener.Addr().String(), work: work, born: time.Now(), stop: make(chan struct{})}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	r.beat()
	return r
}

// beat writes the replica's entry now and at each heartbeat, until the replica stops.
func (r *replica) beat() {
	r.mutex.Lock()
	stop := r.stop
	r.mutex.Unlock()
	r.writeEntry(0)
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for seq := 1; ; seq++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				r.writeEntry(seq)
			}
		}
	}()
}

func (r *replica) writeEntry(seq int) {
	r.mutex.Lock()
	born, coldFor := r.born.UnixMilli(), max(0, time.Until(r.coldUntil).Milliseconds())
	r.mutex.Unlock()
	check(r.stage.store.Put("servers/"+r.id, map[string]any{
		"backend": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 40,
		"state": "ready", "warmupLeftMs": coldFor, "seq": seq, "born": born,
	}))
}

// crash ends the replica as a process that exits: its port is closed and its connections break. It
// is back at its address after a time, under the id that it had, and cold if warmup is set.
func (r *replica) crash(away time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down {
		return
	}
	r.down = true
	close(r.stop)
	_ = r.server.Close()
	time.AfterFunc(away, func() {
		listener, err := net.Listen("tcp", r.address)
		if err != nil {
			r.stage.note("replica %s could not start again: %v", r.id, err)
			return
		}
		r.mutex.Lock()
		r.down, r.born, r.stop, r.coldUntil = false, time.Now(), make(chan struct{}), time.Now().Add(r.warmup)
		server := &http.Server{Handler: r}
		r.server = server
		r.mutex.Unlock()
		go func() { _ = server.Serve(listener) }()
		r.beat()
	})
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		w.Header().Set("Instance-Id", r.id)
		return
	}
	id := request.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := request.Header.Get("Target-Instance"); target != "" && target != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ends := r.stage.endsReplica(request.URL.Path)
	r.stage.mutex.Lock()
	r.stage.arrivals = append(r.stage.arrivals, arrival{id, r.service, r.id, request.Header.Get("Tenant-Id"), request.URL.Path, time.Now(), ends})
	r.stage.mutex.Unlock()
	if ends {
		r.crash(turnedAway)
		panic(http.ErrAbortHandler)
	}
	timer := time.NewTimer(r.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
		return
	}
	body := []byte("answer of " + r.service + " to " + id)
	w.Header().Set("Server-Stamp", r.service+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}

// client is a caller: it asks a directory where to go, beginning with the near ones, keeps the
// answer for its time, and opens a connection for each request unless it is told to keep them.
type client struct {
	stage       *stage
	group       string
	zone        string
	directories []string
	key         string
	http        http.Client

	mutex     sync.Mutex
	addresses []string
	expires   time.Time
}

func (s *stage) addClient(group, zone, key string, directories []string) *client {
	return &client{
		stage: s, group: group, zone: zone, key: key, directories: directories,
		http: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}},
	}
}

// keepConnections makes the client use its connections for several requests. It must not be used
// where nodes end: net/http sends a GET once more, with its Request-Id, if a kept connection breaks.
func (c *client) keepConnections() *client {
	transport := c.http.Transport.(*http.Transport)
	transport.DisableKeepAlives, transport.IdleConnTimeout = false, 5*time.Second
	return c
}

// directoriesFrom returns the addresses of all nodes' directories, beginning with one of them.
func (s *stage) directoriesFrom(first int) []string {
	var directories []string
	for i := range s.nodes {
		directories = append(directories, s.nodes[(first+i)%len(s.nodes)].directory)
	}
	return directories[:min(3, len(directories))]
}

// pick returns one of the addresses that the directory names, by chance.
func (c *client) pick() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.addresses) > 0 && time.Now().Before(c.expires) {
		return c.addresses[randomN(len(c.addresses))]
	}
	for _, directory := range c.directories {
		asking := http.Client{Timeout: time.Second}
		response, err := asking.Get(fmt.Sprintf("http://%s/-/resolve?name=desk.example&region=%s&zone=%s", directory, c.stage.regions[c.zone], c.zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addrs"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || len(answer.Addresses) == 0 {
			continue
		}
		c.addresses, c.expires = answer.Addresses, time.Now().Add(time.Duration(min(answer.TTL, 5)*float64(time.Second)))
		return c.addresses[randomN(len(c.addresses))]
	}
	return ""
}

// leaveOut drops an address that has failed the client, until it asks a directory again.
func (c *client) leaveOut(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addresses = slices.DeleteFunc(slices.Clone(c.addresses), func(each string) bool { return each == address })
}

var lastID atomic.Int64

// send sends one request and records it.
func (c *client) send(method, path string, body []byte) attempt {
	address := c.pick()
	return c.sendAs(c.group, address, method, path, body)
}

// sendAs sends one request to a node, and records it as one of a group.
func (c *client) sendAs(group, address, method, path string, body []byte) attempt {
	made := attempt{id: fmt.Sprintf("%016x", lastID.Add(1)), node: c.stage.nodeAt(address), group: group, sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	check(err)
	request.Host = "desk.example"
	request.Header.Set("Request-Id", made.id)
	request.Header.Set("Request-Timeout-Ms", "4000")
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.leaveOut(address)
	}
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			made.status = response.StatusCode
		}
	}
	made.ended = time.Now()
	c.stage.mutex.Lock()
	c.stage.attempts = append(c.stage.attempts, made)
	c.stage.mutex.Unlock()
	c.stage.write(fmt.Sprintf("%s s  client %s sent %s to %s, answer %d after %d ms", fmt.Sprintf("%7.3f", made.sent.Sub(c.stage.started).Seconds()),
		group, made.id, made.node, made.status, made.ended.Sub(made.sent).Milliseconds()))
	return made
}

func (s *stage) nodeAt(address string) string {
	for _, n := range s.nodes {
		if n.callers == address {
			return n.name
		}
	}
	return address
}
