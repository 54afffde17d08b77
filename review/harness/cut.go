package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Parameters of playCutAnswer.
const (
	// cutShare is the share of answers that the faulty replicas break off.
	cutShare    = 0.04
	cutInterval = 25 * time.Millisecond
	cutTimeout  = 4 * time.Second
	cutWork     = 5 * time.Millisecond
	// cutAfter is the time from the part of an answer that is sent to the reset.
	cutAfter = 5 * time.Millisecond
	// uploadBytes is the length of the requests' bodies, within maxBodyBytes.
	uploadBytes = 240_000
	// answerBytes is the length of a replica's whole answer, and cutBytes of the part that is sent
	// before it is broken off.
	answerBytes = 3000
	cutBytes    = 1000
	// segmentBytes and windowBytes give the replicas' links the segments and the small windows of a
	// real network in place of the loopback's.
	segmentBytes = 1460
	windowBytes  = 16 << 10
)

// playCutAnswer sends requests with long bodies to a service whose replicas answer some of them
// before they have read the body, without a length. As a disruption, some of these answers are
// broken off by a reset.
func playCutAnswer(s *stage) (held bool, err error) {
	for i, zone := range []string{zones[0].name, zones[1].name, zones[0].name} {
		listener, err := listenSmallWindow()
		if err != nil {
			return false, err
		}
		if _, err := s.startReplica(listener, fmt.Sprintf("i-intake-%d", i), "intake", zone, answerEarly); err != nil {
			return false, err
		}
	}
	err = s.configure([]map[string]any{{
		"name": "upload", "hostname": host, "pathPrefix": "/upload/", "routeType": "idempotent", "timeoutMs": cutTimeout.Milliseconds(),
		"targetLatencyMs": 1000, "attempts": 2, "priority": 1, "backend": "intake",
	}}, []map[string]any{{"name": "intake", "healthPath": "/health", "maxConns": 96}})
	if err != nil {
		return false, err
	}
	if err := s.startNodes(); err != nil {
		return false, err
	}
	caller := &client{stage: s}
	upload := []byte(strings.Repeat("u", uploadBytes))
	var mutex sync.Mutex
	sent, served, broken := 0, 0, 0
	every(cutInterval, s.length, func(number int) {
		id := fmt.Sprintf("upload-%06d", number)
		path := fmt.Sprintf("/upload/%06d", number)
		s.record.note("sent %s POST %s with a body of %d bytes", id, path, len(upload))
		got := caller.send(id, http.MethodPost, path, upload, cutTimeout)
		stamp := got.header.Get("Server-Stamp")
		s.record.note("answered %s status %d stamp %q, body of %d bytes, complete %v, error %v", id, got.status, stamp, len(got.body), got.complete, got.err)
		mutex.Lock()
		defer mutex.Unlock()
		sent++
		if got.status != http.StatusOK || !got.complete {
			return
		}
		if string(got.body) == wholeAnswer(id) && strings.HasSuffix(stamp, "."+id) {
			served++
			return
		}
		broken++
		s.record.note("MIXED broken: the answer to %s is complete by its framing and has %d of the replica's %d bytes", id, len(got.body), answerBytes)
	})
	s.record.conclude("%d requests, %d served; MIXED broken by %d", sent, served, broken)
	return broken == 0, nil
}

// listenSmallWindow opens a listener whose connections have small segments and windows.
func listenSmallWindow() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			if failure == nil {
				failure = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
			}
		})
		if err != nil {
			return err
		}
		return failure
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// wholeAnswer returns the body with which every replica answers a request.
func wholeAnswer(id string) string {
	return strings.Repeat(id+" ", answerBytes/(len(id)+1)+1)[:answerBytes]
}

// answerEarly answers a request without a length and ends the connection with the answer, before
// the body has been read. Some answers are broken off by a reset.
func answerEarly(r *replica, e exchange) bool {
	r.stage.record.note("run %s, time %d", e.id, r.began(e.id))
	time.Sleep(cutWork)
	cut := r.stage.trouble && rand.Float64() < cutShare
	body := wholeAnswer(e.id)
	if cut {
		body = body[:cutBytes]
	}
	_, err := fmt.Fprintf(e.conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nConnection: close\r\n\r\n%s", e.id, r.stamp(e.id), body)
	if err != nil {
		return false
	}
	if cut {
		time.Sleep(cutAfter)
		r.stage.record.note("answer to %s broken off by a reset after %d of %d bytes", e.id, cutBytes, answerBytes)
		_ = e.conn.SetLinger(0) // Close then sends a reset
		return false
	}
	return finishEarly(e)
}

// finishEarly ends the answer, and reads on so that the close resets nothing.
func finishEarly(e exchange) bool {
	_ = e.conn.CloseWrite()
	_ = e.conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	buffer := make([]byte, 32<<10)
	for {
		if _, err := e.conn.Read(buffer); err != nil {
			return false
		}
	}
}
