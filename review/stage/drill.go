package main

import (
	"fmt"
	"time"

	"github.com/doorpond/doorpond/internal/standin/kv"
)

const drain = 3 * time.Second

func plainConfiguration(version int, extra ...map[string]any) map[string]any {
	routes := []map[string]any{{
		"name": "look", "hostname": "desk.example", "pathPrefix": "/look/", "routeType": "idempotent", "backend": "desk",
		"timeoutMs": 4000, "targetLatencyMs": 250, "attempts": 2, "priority": 1,
	}}
	return map[string]any{
		"version":  version,
		"routes":   append(routes, extra...),
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConns": 400}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// leave ends the heartbeats and removes the entry, as a replica does that never says "draining". It
// serves on.
func (r *replica) leave() {
	close(r.stop)
	check(r.stage.store.Remove("servers/" + r.id))
}

// drainDrill takes a replica's entry away, and then restores the store from a copy of before that.
func drainDrill(s *stage, trouble bool) bool {
	s.regions = map[string]string{"hall-a": "east", "hall-b": "west", "hall-c": "south"}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	var replicas []*replica
	for i, zone := range zones {
		replicas = append(replicas, s.addReplica(fmt.Sprintf("i-%d", i), "desk", zone, 5*time.Millisecond))
	}
	configuration := plainConfiguration(3)
	s.configure(configuration)
	for i, zone := range zones {
		s.addNode(fmt.Sprintf("edge-%s-%d", zone, i), zone, nodeOptions{drain: drain}).start()
	}
	var clients []*client
	for i, zone := range zones {
		for range 6 {
			clients = append(clients, s.addClient("callers", zone, "", s.directoriesFrom(i)))
		}
	}
	s.awaitReady()
	loaded := make(chan struct{})
	go func() {
		s.load(clients, 150, 20*time.Second, "/look/a")
		close(loaded)
	}()
	time.Sleep(6 * time.Second)
	copied := s.store.Memory.Revision()
	time.Sleep(3 * time.Second)
	left := time.Now()
	replicas[0].leave()
	s.note("the entry of replica %s is gone from the store; it never said draining, and serves on", replicas[0].id)
	time.Sleep(time.Second)
	if trouble {
		s.note("the store is away")
		check(s.store.SetFaults(kv.Faults{Outage: true}))
		time.Sleep(time.Second)
		check(s.store.RestoreCopy(copied))
		check(s.store.SetFaults(kv.Faults{}))
		s.note("the store is back from a copy that was made 3 s before the entry went; replicas and the operator write again")
		s.configure(configuration)
		time.Sleep(1900 * time.Millisecond)
		check(s.store.Remove("servers/" + replicas[0].id))
		s.note("the entry of replica %s is gone again", replicas[0].id)
	}
	<-loaded
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := make(map[int]int)
	late := 0
	for _, a := range s.arrivals {
		if a.replica != replicas[0].id || a.at.Before(left) {
			continue
		}
		after := a.at.Sub(left)
		counts[int(after/(500*time.Millisecond))]++
		if after > drain {
			late++
		}
	}
	for slot := range 30 {
		if counts[slot] > 0 {
			s.note("requests at replica %s from %.1f s to %.1f s after its entry went: %d", replicas[0].id, float64(slot)/2, float64(slot+1)/2, counts[slot])
		}
	}
	s.note("requests that reached replica %s later than drainMs (%v) after its entry went: %d", replicas[0].id, drain, late)
	return late > 0
}
