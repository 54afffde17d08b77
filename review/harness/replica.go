package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replicaSlots is the number of requests that a replica says it works on at once.
const replicaSlots = 5

// exchange is one request that a replica has read the header of, and the state of its connection.
type exchange struct {
	conn    *net.TCPConn
	request *http.Request
	id      string
	// surplus is what the replica still sends before its next answer on the connection.
	surplus *[]byte
}

// replica is a stand-in for a replica. It answers one request at a time on a connection.
type replica struct {
	stage             *stage
	id, service, zone string
	listener          net.Listener
	// handle answers a request that is addressed to this replica. It returns false if the
	// connection has been closed.
	handle func(r *replica, e exchange) (keep bool)

	mutex sync.Mutex
	// born is when the replica's process started, and down is true while there is none.
	born   time.Time
	down   bool
	closed bool
	runs   map[string]int
	open   map[net.Conn]bool
}

func (s *stage) startReplica(listener net.Listener, id, service, zone string, handle func(*replica, exchange) bool) (*replica, error) {
	started := &replica{
		stage: s, id: id, service: service, zone: zone, listener: listener, handle: handle,
		born: time.Now(), runs: make(map[string]int), open: make(map[net.Conn]bool),
	}
	s.replicas = append(s.replicas, started)
	go started.accept(listener)
	return started, s.publish(started)
}

func (r *replica) address() string { return r.listener.Addr().String() }

func (r *replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mutex.Lock()
		if r.down || r.closed {
			_ = conn.Close() // accepted while the process ended
		} else {
			r.open[conn] = true
			go r.serve(conn.(*net.TCPConn))
		}
		r.mutex.Unlock()
	}
}

// crash ends the replica's process: its port and all connections are closed. It is back after a
// while, at the same address and under the same id.
func (r *replica) crash(back time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down || r.closed {
		return
	}
	r.down = true
	_ = r.listener.Close()
	for conn := range r.open {
		_ = conn.Close() // serve closes it again
	}
	time.AfterFunc(back, r.restart)
}

func (r *replica) restart() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	listener, err := net.Listen("tcp", r.address())
	if err != nil {
		r.stage.record.note("replica %s could not start again: %v", r.id, err)
		return
	}
	r.listener, r.born, r.down = listener, time.Now(), false
	go r.accept(listener)
	if err := r.stage.publish(r); err != nil {
		r.stage.record.note("replica %s could not record itself: %v", r.id, err)
	}
}

func (r *replica) serve(conn *net.TCPConn) {
	defer func() {
		_ = conn.Close() // it may be closed already
		r.mutex.Lock()
		delete(r.open, conn)
		r.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var surplus []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		switch instance := request.Header.Get("Target-Instance"); {
		case request.URL.Path == "/health":
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
		case instance != "" && instance != r.id:
			_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
		default:
			if !r.handle(r, exchange{conn: conn, request: request, id: id, surplus: &surplus}) {
				return
			}
		}
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}

// began records that the replica has begun working on a request, and returns how often it has.
func (r *replica) began(id string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[id]++
	return r.runs[id]
}

func (r *replica) stamp(id string) string { return r.id + "." + id }

func (r *replica) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	_ = r.listener.Close()
	for conn := range r.open {
		_ = conn.Close()
	}
}

// runsOf returns how often replicas began working on a request.
func (s *stage) runsOf(id string) int {
	total := 0
	for _, each := range s.replicas {
		each.mutex.Lock()
		total += each.runs[id]
		each.mutex.Unlock()
	}
	return total
}
