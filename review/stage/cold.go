package main

import (
	"fmt"
	"sort"
	"time"
)

// What the service says of its cold replicas, the bounds of FAILBACK, and what the case does.
const (
	coldRate     = 8.0
	coldOverage  = 1.5
	coldSlack    = 5.0
	coldDuration = 6 * time.Second
	// awayFor is how long the replicas of one zone are down. killedAfter is the time from their
	// return to the end of all nodes, and restartAfter the time until these start again.
	awayFor      = time.Second
	killedAfter  = 700 * time.Millisecond
	restartAfter = 300 * time.Millisecond
	// staleBy is how old a read of the store is that may be stale.
	staleBy = 3 * time.Second
)

// coldStart takes the replicas of a zone down, lets them come back cold, and kills all nodes.
func coldStart(s *stage, trouble bool) bool {
	s.regions = map[string]string{"hall-a": "east", "hall-b": "west", "hall-c": "south"}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	var replicas []*replica
	for i := range 6 {
		replicas = append(replicas, s.addReplica(fmt.Sprintf("i-%d", i), "desk", zones[i%3], 5*time.Millisecond))
	}
	configuration := plainConfiguration(3)
	configuration["services"] = []map[string]any{{"name": "desk", "healthPath": "/health", "maxConns": 400, "warmupS": coldDuration.Seconds(), "warmupPerS": coldRate}}
	s.configure(configuration)
	bounds := nodeOptions{bounds: fmt.Sprintf("  cold_overage: %v\n  cold_slack: %v\n", coldOverage, coldSlack)}
	for i, zone := range zones {
		s.addNode(fmt.Sprintf("edge-%s-%d", zone, i), zone, bounds).start()
	}
	var clients []*client
	for i, zone := range zones {
		for range 6 {
			clients = append(clients, s.addClient("callers", zone, "", s.directoriesFrom(i)))
		}
	}
	s.awaitReady()
	s.network.stale = &staleReads{behind: staleBy}
	go s.network.stale.keep("http://" + s.address)
	loaded := make(chan struct{})
	go func() {
		s.load(clients, 240, 20*time.Second, "/look/a")
		close(loaded)
	}()
	time.Sleep(8 * time.Second)
	back := time.Now()
	if trouble {
		s.note("the replicas of hall-a end")
		back = time.Now().Add(awayFor)
		for _, r := range replicas {
			if r.zone == "hall-a" {
				r.warmup = coldDuration
				r.crash(awayFor)
			}
		}
		time.Sleep(awayFor)
		s.note("they are back under their ids and at their addresses, and cold for %v", coldDuration)
		time.Sleep(killedAfter)
		for _, n := range s.nodes {
			n.end()
		}
		s.note("all nodes are killed")
		time.Sleep(restartAfter)
		for _, n := range s.nodes {
			n.start()
		}
		s.note("all nodes are started again")
	}
	<-loaded
	broken := false
	for _, r := range replicas {
		if trouble && r.zone == "hall-a" {
			broken = s.judgeCold(r, back) || broken
		}
	}
	return broken
}

// judgeCold reports whether a replica that came back cold got more requests in some second than the
// rule allows. Those count that were both sent and arrived in it.
func (s *stage) judgeCold(r *replica, back time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sent := make(map[string]time.Time)
	for _, a := range s.attempts {
		sent[a.id] = a.sent
	}
	var cold []arrival
	perHalf := make([]int, 2*coldDuration/time.Second)
	for _, a := range s.arrivals {
		if after := a.at.Sub(back); a.replica == r.id && after >= 0 && after < coldDuration {
			cold = append(cold, a)
			perHalf[after/(500*time.Millisecond)]++
		}
	}
	sort.Slice(cold, func(i, j int) bool { return cold[i].at.Before(cold[j].at) })
	most, mostAt := 0, back
	for i := range cold {
		start, count := cold[i].at.Add(-time.Second), 0
		for j := i; j >= 0 && cold[j].at.After(start); j-- {
			if sent[cold[j].id].After(start) {
				count++
			}
		}
		if count > most {
			most, mostAt = count, start
		}
	}
	bound := coldRate*coldOverage + coldSlack
	s.note("requests at the cold replica %s in each half second after its return: %v", r.id, perHalf)
	s.note("most of one second: %d, from %.3f s after its return on; the rule allows %.0f", most, mostAt.Sub(back).Seconds(), bound)
	return float64(most) > bound
}
