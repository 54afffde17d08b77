package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Parameters of playSurplusRejection.
const (
	// rejectShare is the share of requests for which the replica is full.
	rejectShare = 0.12
	// surplusShare is the share of these answers that the faulty replica sends once more, in the
	// slot where the next answer is due.
	surplusShare = 0.25
	onceInterval = 25 * time.Millisecond
	onceTimeout  = 4 * time.Second
	onceWork     = 5 * time.Millisecond
)

// playSurplusRejection sends requests that may run once to a service with one replica left, which
// is full at times. It rejects what it does not run, truthfully. As a disruption, some rejections
// are sent a second time, late.
func playSurplusRejection(s *stage) (held bool, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	if _, err := s.startReplica(listener, "i-billing-1", "billing", zones[0].name, answerOrReject); err != nil {
		return false, err
	}
	var routes []map[string]any
	for attempts := 2; attempts <= 3; attempts++ {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("once-%d", attempts), "hostname": host, "pathPrefix": fmt.Sprintf("/once-%d/", attempts),
			"routeType": "non_idempotent", "timeoutMs": onceTimeout.Milliseconds(), "targetLatencyMs": 1000, "attempts": attempts,
			"priority": 1, "backend": "billing",
		})
	}
	err = s.configure(routes, []map[string]any{{"name": "billing", "healthPath": "/health", "maxConns": 96}})
	if err != nil {
		return false, err
	}
	if err := s.startNodes(); err != nil {
		return false, err
	}
	caller := &client{stage: s}
	var mutex sync.Mutex
	answers := make(map[string]answer)
	every(onceInterval, s.length, func(number int) {
		id := fmt.Sprintf("once-%06d", number)
		path := fmt.Sprintf("/once-%d/%06d", 2+number%2, number)
		s.record.note("sent %s POST %s", id, path)
		got := caller.send(id, http.MethodPost, path, []byte("credit 1"), onceTimeout)
		s.record.note("answered %s status %d stamp %q error %v", id, got.status, got.header.Get("Server-Stamp"), got.err)
		mutex.Lock()
		defer mutex.Unlock()
		answers[id] = got
	})
	time.Sleep(time.Second) // whatever still runs
	return judgeOnce(s, answers), nil
}

// answerOrReject answers a request, or rejects it because the replica is full.
func answerOrReject(r *replica, e exchange) bool {
	if len(*e.surplus) > 0 {
		_, _ = e.conn.Write(*e.surplus) // the write below reports the error
		*e.surplus = nil
		r.stage.record.note("surplus copy of the last rejection sent in the slot of %s", e.id)
	}
	if rand.Float64() < rejectShare {
		rejection := fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", e.id)
		r.stage.record.note("rejected %s, not run", e.id)
		if r.stage.trouble && rand.Float64() < surplusShare {
			*e.surplus = rejection
		}
		_, err := e.conn.Write(rejection)
		return err == nil
	}
	r.stage.record.note("run %s, time %d", e.id, r.began(e.id))
	time.Sleep(onceWork)
	body := "done " + e.id
	_, err := fmt.Fprintf(e.conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", e.id, r.stamp(e.id), len(body), body)
	return err == nil
}

// judgeOnce checks the rules TWICE and REFUSED.
func judgeOnce(s *stage, answers map[string]answer) (held bool) {
	twice, refused, served := 0, 0, 0
	for id, got := range answers {
		runs := s.runsOf(id)
		promised := got.status == http.StatusTooManyRequests || got.status == http.StatusServiceUnavailable ||
			got.status == http.StatusRequestTimeout || got.status == http.StatusMisdirectedRequest
		if runs > 1 {
			twice++
			s.record.note("TWICE broken: %s ran %d times, answered %d", id, runs, got.status)
		}
		if promised && runs > 0 {
			refused++
			s.record.note("REFUSED broken: %s was answered %d and ran %d times", id, got.status, runs)
		}
		if got.status == http.StatusOK {
			served++
		}
	}
	s.record.conclude("%d requests, %d served; TWICE broken by %d, REFUSED broken by %d", len(answers), served, twice, refused)
	return twice+refused == 0
}
