package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports are taken below the range of outgoing connections.
const firstPort, lastPort = 16_000, 32_000

var taken = make(map[int]bool)

// freeAddress returns a loopback address whose TCP and UDP port is free.
func freeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if taken[port] {
			continue
		}
		taken[port] = true
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		socket, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = socket.Close()
			return address
		}
	}
}

// network carries all traffic among the nodes, and between the nodes and the store. A node that
// is cut off reaches none of them and is reached by none, as behind a silent partition: what is
// under way stops, and new connections hang.
type network struct {
	mutex   sync.Mutex
	changed chan struct{}
	cut     map[string]bool
	udp     map[string]*datagramProxy // by node
	peers   map[string]string         // address of a node's socket to its name
	pids    map[string]int            // by node
	streams []*stream
	stale   *staleReads // nil: no read is stale
}

func newNetwork() *network {
	return &network{
		changed: make(chan struct{}), cut: make(map[string]bool), udp: make(map[string]*datagramProxy),
		peers: make(map[string]string), pids: make(map[string]int),
	}
}

// setCut cuts a node off, or connects it again.
func (n *network) setCut(node string, cut bool) {
	n.mutex.Lock()
	n.cut[node] = cut
	close(n.changed)
	n.changed = make(chan struct{})
	streams := n.streams
	n.mutex.Unlock()
	for _, each := range streams {
		if each.node == node && cut {
			each.hangNew()
		} else if each.node == node {
			each.takeNew()
		}
	}
}

// separated reports whether one of two nodes is cut off. An empty name is the store.
func (n *network) separated(a, b string) (cut bool, changed <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return a != b && (n.cut[a] || n.cut[b]), n.changed
}

func (n *network) await(a, b string) {
	for {
		cut, changed := n.separated(a, b)
		if !cut {
			return
		}
		<-changed
	}
}

// datagramProxy is the address at which other nodes reach the datagram socket of one node.
type datagramProxy struct {
	node   string
	socket *net.UDPConn
	target *net.UDPAddr
}

func (n *network) addDatagrams(node, target string) (address string) {
	to, err := net.ResolveUDPAddr("udp4", target)
	check(err)
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	check(err)
	proxy := &datagramProxy{node: node, socket: socket, target: to}
	n.mutex.Lock()
	n.udp[node] = proxy
	n.peers[to.String()] = node
	n.mutex.Unlock()
	go n.carryDatagrams(proxy)
	return socket.LocalAddr().String()
}

func (n *network) carryDatagrams(to *datagramProxy) {
	buffer := make([]byte, 64<<10)
	for {
		size, from, err := to.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		n.mutex.Lock()
		sender := n.udp[n.peers[from.String()]]
		n.mutex.Unlock()
		if sender == nil || sender == to {
			continue
		}
		if cut, _ := n.separated(sender.node, to.node); !cut {
			// The receiver sees the address at which it reaches the sender.
			_, _ = sender.socket.WriteToUDP(buffer[:size], to.target)
		}
	}
}

// stream is the address at which other nodes reach a TCP listener of one node.
type stream struct {
	node     string
	listener *net.TCPListener
	fillers  []net.Conn // fill the queue of new connections while the node is cut off
}

func (n *network) addStream(node, target string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &stream{node: node, listener: listener.(*net.TCPListener)}
	n.mutex.Lock()
	n.streams = append(n.streams, s)
	n.mutex.Unlock()
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			n.awaitConnected(node)
			go n.carryStream(accepted, node, target)
		}
	}()
	return listener.Addr().String()
}

// awaitConnected waits until a node is not cut off.
func (n *network) awaitConnected(node string) {
	for {
		n.mutex.Lock()
		cut, changed := n.cut[node], n.changed
		n.mutex.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

// hangNew makes new connections to the node hang, as behind a cut: it takes no more of them and
// fills the queue, so that the kernel drops the opening packets of further ones.
func (s *stream) hangNew() {
	s.setBacklog(0)
	for range 8 {
		filler, err := net.DialTimeout("tcp", s.listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return
		}
		s.fillers = append(s.fillers, filler)
	}
}

func (s *stream) takeNew() {
	s.setBacklog(128)
	for _, filler := range s.fillers {
		_ = filler.Close()
	}
	s.fillers = nil
}

func (s *stream) setBacklog(size int) {
	raw, err := s.listener.SyscallConn()
	check(err)
	check(raw.Control(func(descriptor uintptr) { _ = syscall.Listen(int(descriptor), size) }))
}

func (n *network) carryStream(from net.Conn, node, target string) {
	origin := n.ownerOf(from.RemoteAddr().(*net.TCPAddr).Port)
	n.await(origin, node)
	to, err := net.Dial("tcp", target)
	if err != nil {
		_ = from.(*net.TCPConn).SetLinger(0)
		_ = from.Close()
		return
	}
	var both sync.WaitGroup
	carry := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			size, err := from.Read(buffer)
			n.await(origin, node)
			if size > 0 {
				if _, failure := to.Write(buffer[:size]); failure != nil {
					err = failure
				}
			}
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			if err != nil {
				_ = to.Close()
				return
			}
		}
	}
	both.Go(func() { carry(to, from) })
	both.Go(func() { carry(from, to) })
	both.Wait()
	_ = from.Close()
	_ = to.Close()
}

// ownerOf returns the node whose process holds a local TCP port, or "" if none does.
func (n *network) ownerOf(port int) string {
	inode := inodeOf(port)
	if inode == "" {
		return ""
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for node, pid := range n.pids {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, link := range links {
			if to, err := os.Readlink(link); err == nil && to == "socket:["+inode+"]" {
				return node
			}
		}
	}
	return ""
}

// inodeOf returns the inode of the socket that has connected from a port of 127.0.0.1.
func inodeOf(port int) string {
	content, err := os.ReadFile("/proc/net/tcp")
	check(err)
	wanted := fmt.Sprintf("0100007F:%04X", port)
	for _, line := range strings.Split(string(content), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == wanted && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}

// storeProxy is the store as one node reaches it. In the entry that the node writes of itself, it
// replaces the addresses for other nodes by those of the network.
func (n *network) storeProxy(node, store string, replaced map[string]string) (address string, calls *atomic.Int64) {
	target, err := url.Parse(store)
	check(err)
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	calls = &atomic.Int64{}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		n.await(node, "")
		if query := r.URL.Query(); n.stale != nil && r.URL.Path == "/-/kv-range" && query.Get("stale") == "1" && query.Get("pathPrefix") == "" {
			if content := n.stale.answer(); content != nil {
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write(content)
				return
			}
		}
		if r.URL.Path == "/-/kv-txn" {
			body = replaceAddresses(body, replaced)
			r.ContentLength = int64(len(body))
			r.Header.Set("Content-Length", fmt.Sprint(len(body)))
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		proxy.ServeHTTP(&lateWriter{w, func() { n.await(node, "") }}, r)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), calls
}

// lateWriter holds an answer back while the node is cut off.
type lateWriter struct {
	http.ResponseWriter
	await func()
}

func (w *lateWriter) WriteHeader(status int) {
	w.await()
	w.ResponseWriter.WriteHeader(status)
}

func replaceAddresses(body []byte, replaced map[string]string) []byte {
	var transaction map[string]any
	if json.Unmarshal(body, &transaction) != nil {
		return body
	}
	puts, _ := transaction["put"].([]any)
	for _, each := range puts {
		put := each.(map[string]any)
		value, _ := put["value"].(string)
		put["value"] = replaceInBase64(value, replaced)
	}
	decoder := json.NewDecoder(bytes.NewReader(body)) // keeps numbers as they are
	decoder.UseNumber()
	var exact map[string]any
	check(decoder.Decode(&exact))
	if list, ok := exact["put"].([]any); ok {
		for i := range list {
			list[i].(map[string]any)["value"] = puts[i].(map[string]any)["value"]
		}
	}
	encoded, err := json.Marshal(exact)
	check(err)
	return encoded
}

func since(start time.Time) string { return fmt.Sprintf("%7.3f", time.Since(start).Seconds()) }

// replaceInBase64 replaces texts in a value that is encoded as the store wants it.
func replaceInBase64(value string, replaced map[string]string) string {
	decoded, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return value
	}
	text := string(decoded)
	for from, to := range replaced {
		text = strings.ReplaceAll(text, strconv.Quote(from), strconv.Quote(to))
	}
	return base64.StdEncoding.EncodeToString([]byte(text))
}
