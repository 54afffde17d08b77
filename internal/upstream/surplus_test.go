package upstream

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// surplusServer answers the first request on a connection with a rejection or a failure, and sends
// a copy of this answer later. It executes all other requests.
type surplusServer struct {
	*rawServer
	mutex sync.Mutex
	// received holds the request IDs of each connection, executed counts executions by ID.
	received map[net.Conn][]string
	executed map[string]int
	// surplusSent is closed once the copy has been sent while the connection is idle.
	surplusSent chan struct{}
}

// surplusMoment is when a copy of an answer is sent.
type surplusMoment int

const (
	// atOnce is together with the answer.
	atOnce surplusMoment = iota
	// idle is some time after the answer, before the next request.
	idle
	// inNextSlot is after the next request on the connection has arrived, before its answer.
	inNextSlot
)

// serveSurplus starts a server that answers the first request on its first connection with answer,
// a format of the request ID, and sends it again at the given moment.
func serveSurplus(t *testing.T, answer string, moment surplusMoment) *surplusServer {
	t.Helper()
	server := &surplusServer{received: make(map[net.Conn][]string), executed: make(map[string]int), surplusSent: make(chan struct{})}
	server.rawServer = serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		id := r.Header.Get("Id")
		server.mutex.Lock()
		first := len(server.received[conn]) == 0
		previous := append([]string(nil), server.received[conn]...)
		server.received[conn] = append(server.received[conn], id)
		server.mutex.Unlock()
		write := func(id string) { _, _ = fmt.Fprintf(conn, answer, id) }
		if first && server.connections.Load() == 1 {
			switch moment {
			case atOnce:
				_, _ = fmt.Fprintf(conn, answer+answer, id, id)
			case idle:
				write(id)
				time.AfterFunc(5*time.Millisecond, func() {
					write(id)
					close(server.surplusSent)
				})
			default:
				write(id)
			}
			return true
		}
		if len(previous) == 1 && moment == inNextSlot {
			write(previous[0])
		}
		server.mutex.Lock()
		server.executed[id]++
		server.mutex.Unlock()
		respond(conn, id, "", "executed "+id)
		return true
	})
	return server
}

// Guards against taking a surplus answer to a request for the answer to the next try of the same
// request, or to another one: the request would be sent again though it has run, or be reported as
// not run.
func TestSurplusResponseIsNotTakenForNextOne(t *testing.T) {
	answers := map[string]string{
		"rejection":            "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n",
		"rejection by another": "HTTP/1.1 421 Misdirected Request\r\nId: %s\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n",
		"too many requests":    "HTTP/1.1 429 Too Many Requests\r\nId: %s\r\nRefused: 1\r\nContent-Length: 2\r\n\r\nno",
		"failure":              "HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
		"success in chunks":    "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n",
		"without an ID":        "HTTP/1.1 503 Service Unavailable\r\nOther: %s\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n",
	}
	moments := map[string]surplusMoment{"at once": atOnce, "while idle": idle, "in the next slot": inNextSlot}
	for name, answer := range answers {
		for when, moment := range moments {
			for _, limit := range []int{1, 2} {
				for _, next := range []string{"m", "other"} {
					t.Run(fmt.Sprintf("%s, %s, limit %d, then %s", name, when, limit, next), func(t *testing.T) {
						server := serveSurplus(t, answer, moment)
						pool := newTestPool(server.rawServer, limit)
						if _, err := exchange(t, pool, newRequest("m")); err != nil {
							t.Fatal(err)
						}
						if moment == idle {
							<-server.surplusSent
							time.Sleep(5 * time.Millisecond) // it has arrived
						}
						response, err := exchange(t, pool, newRequest(next))
						withoutID := strings.Contains(answer, "Other:")
						if lost := withoutID && next == "other" && moment == inNextSlot; lost && errors.Is(err, ErrIncomplete) {
							return // it cannot be told whose answer it is
						}
						if err != nil || string(response.Body) != "executed "+next {
							t.Errorf("response %+v, error %v, want that of the execution", response, err)
						}
						server.mutex.Lock()
						defer server.mutex.Unlock()
						if server.executed[next] != 1 {
							t.Errorf("executed %d times", server.executed[next])
						}
					})
				}
			}
		}
	}
}

// A connection must never carry two requests with the same ID, in whatever order requests, retries
// and failures come, and no request may be refused for that while the limit allows it.
func TestConnectionCarriesIDOnce(t *testing.T) {
	const (
		callers, requestsPerCaller = 8, 200
		differentIDs               = 5
	)
	var mutex sync.Mutex
	carried := make(map[net.Conn]map[string]bool)
	server := serve(t, func(conn net.Conn, number int64, r *http.Request) bool {
		id := r.Header.Get("Id")
		mutex.Lock()
		if carried[conn] == nil {
			carried[conn] = make(map[string]bool)
		}
		repeated := carried[conn][id]
		carried[conn][id] = true
		mutex.Unlock()
		if repeated {
			t.Errorf("a connection carried request %q twice", id)
		}
		switch number % 7 {
		case 0:
			return false // no answer
		case 1:
			respond(conn, id, "Connection: close\r\n", "x")
		default:
			respond(conn, id, "", "x")
		}
		return true
	})
	pool := newTestPool(server, callers)
	var sending sync.WaitGroup
	for caller := range callers {
		sending.Go(func() {
			random := rand.New(rand.NewPCG(uint64(caller), 1))
			for range requestsPerCaller {
				if _, err := exchange(t, pool, newRequest(fmt.Sprint(random.IntN(differentIDs)))); errors.Is(err, ErrNotSent) {
					t.Error(err)
				}
			}
		})
	}
	sending.Wait()
	if open := pool.OpenConnections(); open > callers {
		t.Errorf("%d connections open, limit %d", open, callers)
	}
}

// Different requests share a connection up to the limit of requests, which bounds the IDs that are
// remembered.
func TestConnectionIsReplacedAfterManyRequests(t *testing.T) {
	server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		respond(conn, r.Header.Get("Id"), "", "x")
		return true
	})
	pool := newTestPool(server, 1)
	for number := range 2*maxRequests + 1 {
		if _, err := exchange(t, pool, newRequest(fmt.Sprint(number))); err != nil {
			t.Fatal(err)
		}
	}
	if got := server.connections.Load(); got != 3 {
		t.Errorf("%d connections opened, want 3", got)
	}
}

// Interim responses precede the response to a request.
func TestInterimResponseIsSkipped(t *testing.T) {
	server := serve(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		_, _ = fmt.Fprint(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
		respond(conn, r.Header.Get("Id"), "", "x")
		return true
	})
	pool := newTestPool(server, 1)
	for number := range 2 {
		response, err := exchange(t, pool, newRequest(fmt.Sprint(number)))
		if err != nil || response.Status != http.StatusOK || string(response.Body) != "x" {
			t.Errorf("response %+v, error %v", response, err)
		}
	}
}
