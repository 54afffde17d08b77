package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of playCrashingCaller.
const (
	// contact is contactMs: how long machines must have been without trouble to be in touch.
	contact = 6 * time.Second
	// crashedReplicas is the number of crashes and allowedRetries that of the retries after them
	// that the rule BUDGET allows.
	crashedReplicas, allowedRetries = 3, 3
	// crashAfter is how long a replica works on a request that crashes it, and backAfter the time
	// until it is back.
	crashAfter    = 5 * time.Millisecond
	backAfter     = 2 * time.Second
	crashTimeout  = 2 * time.Second
	crashInterval = time.Second
	calmInterval  = 50 * time.Millisecond
	deskReplicas  = 6
	deskPath      = "/desk/standings"
	deskBody      = "name  rating\n"
	// scorePath is the path of requests that may run once, at the same service.
	scorePath     = "/score/"
	scoreWork     = 30 * time.Millisecond
	scoreInterval = 100 * time.Millisecond
)

// The tenants, and the header that tells a replica whose request it is.
const (
	calmTenant, calmKey   = "club-a", "key-of-club-a"
	crashTenant, crashKey = "club-b", "key-of-club-b"
	tenantHeader          = "Tenant-Id"
)

// crashLog is what a request that crashes replicas has done.
type crashLog struct {
	mutex   sync.Mutex
	crashes int
	// thirdAt is when the third replica crashed.
	thirdAt time.Time
	// late holds the tries that reached a replica later than contact after that.
	late map[string]bool
}

// began records that a replica begins to run a try.
func (l *crashLog) began(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.crashes++
	if l.crashes == crashedReplicas {
		l.thirdAt = time.Now()
	}
	if l.crashes > crashedReplicas && time.Since(l.thirdAt) > contact {
		l.late[id] = true
	}
}

// calmLog counts the requests of the tenant whose requests crash nothing.
type calmLog struct {
	mutex        sync.Mutex
	sent, served int
	// lost counts the requests that replicas had begun to run and that got no answer of theirs.
	lost int
}

func (l *calmLog) add(s *stage, id string, got answer) {
	s.record.note("answered %s status %d error %v", id, got.status, got.err)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent++
	switch {
	case got.status == http.StatusOK:
		l.served++
	case s.runsOf(id) > 0:
		l.lost++
		s.record.note("lost %s, which a replica had begun to run", id)
	}
}

// playCrashingCaller sends the requests of two tenants for the same path, without a body. As a
// disruption, the request of one of them crashes each replica that begins to run it.
func playCrashingCaller(s *stage) (held bool, err error) {
	crashes := &crashLog{late: make(map[string]bool)}
	for i := range deskReplicas {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		zone := zones[i%len(zones)].name
		_, err = s.startReplica(listener, fmt.Sprintf("i-desk-%d", i), "desk", zone, func(r *replica, e exchange) bool {
			return answerOrCrash(r, e, crashes)
		})
		if err != nil {
			return false, err
		}
	}
	s.tenants = []map[string]any{
		{"name": calmTenant, "apiKeys": []string{calmKey}, "priority": 1},
		{"name": crashTenant, "apiKeys": []string{crashKey}, "priority": 1},
	}
	var routes []map[string]any
	for _, each := range []struct{ name, path, kind string }{{"desk", "/desk/", "idempotent"}, {"score", scorePath, "non_idempotent"}} {
		routes = append(routes, map[string]any{
			"name": each.name, "hostname": host, "pathPrefix": each.path, "routeType": each.kind, "timeoutMs": crashTimeout.Milliseconds(),
			"targetLatencyMs": 600, "attempts": 2, "priority": 1, "backend": "desk",
		})
	}
	err = s.configure(routes, []map[string]any{{"name": "desk", "healthPath": "/health", "maxConns": 520}})
	if err != nil {
		return false, err
	}
	if err := s.startNodes(); err != nil {
		return false, err
	}
	calm, crashing := &client{stage: s, key: calmKey}, &client{stage: s, key: crashKey}
	calmResults := &calmLog{}
	var senders sync.WaitGroup
	senders.Go(func() {
		every(calmInterval, s.length, func(number int) {
			id := fmt.Sprintf("calm-%06d", number)
			calmResults.add(s, id, calm.send(id, http.MethodGet, deskPath, nil, crashTimeout))
		})
	})
	senders.Go(func() {
		every(scoreInterval, s.length, func(number int) {
			id := fmt.Sprintf("score-%06d", number)
			calmResults.add(s, id, calm.send(id, http.MethodPost, scorePath+id, []byte("1:0"), crashTimeout))
		})
	})
	var tries atomic.Int64
	senders.Go(func() {
		time.Sleep(2 * crashInterval) // the other tenant's requests have been answered by then
		every(crashInterval, s.length-2*crashInterval, func(number int) {
			id := fmt.Sprintf("crashing-%06d", number)
			s.record.note("sent %s GET %s, the same request of %s again", id, deskPath, crashTenant)
			got := crashing.send(id, http.MethodGet, deskPath, nil, crashTimeout)
			s.record.note("answered %s status %d error %v", id, got.status, got.err)
			tries.Add(1)
		})
	})
	senders.Wait()
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	late := len(crashes.late)
	s.record.conclude("crashing request: %d tries, %d crashes, %d tries reached replicas later than %v after the third crash (%d allowed); "+
		"other tenant: %d requests, %d served, %d lost while they ran",
		tries.Load(), crashes.crashes, late, contact, allowedRetries, calmResults.sent, calmResults.served, calmResults.lost)
	return late <= allowedRetries, nil
}

// answerOrCrash answers a request, or crashes on it.
func answerOrCrash(r *replica, e exchange, crashes *crashLog) bool {
	r.began(e.id)
	work := crashAfter
	if strings.HasPrefix(e.request.URL.Path, scorePath) {
		work = scoreWork
	}
	time.Sleep(work)
	if r.stage.trouble && e.request.Header.Get(tenantHeader) == crashTenant {
		r.stage.record.note("run %s of %s at %s, which crashes", e.id, crashTenant, r.id)
		crashes.began(e.id)
		r.crash(backAfter)
		return false
	}
	_, err := fmt.Fprintf(e.conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", e.id, r.stamp(e.id), len(deskBody), deskBody)
	return err == nil
}
