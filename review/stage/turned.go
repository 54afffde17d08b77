package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// turnedPath is the request that replicas answer first and that then ends them.
	turnedPath = "/look/turned"
	// turnedAfter is how long it is answered, turnedFor how long it comes again after that, once in
	// turnedEvery.
	turnedAfter = 5 * time.Second
	turnedFor   = 25 * time.Second
	turnedEvery = time.Second
	// turnedAway is how long a replica is away after its end.
	turnedAway = 3 * time.Second
	// contact is contactMs, and allowedRetries what the rule allows later than that after the third
	// end.
	contact        = 5 * time.Second
	allowedRetries = 3
)

// turned sends a request that is answered at first and then ends each replica that begins to run it.
func turned(s *stage, trouble bool) bool {
	s.regions = map[string]string{"hall-a": "east", "hall-b": "west", "hall-c": "south"}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i := range 9 {
		s.addReplica(fmt.Sprintf("i-%d", i), "desk", zones[i%3], 20*time.Millisecond)
	}
	s.configure(plainConfiguration(3))
	for i, zone := range zones {
		s.addNode(fmt.Sprintf("edge-%s-%d", zone, i), zone, nodeOptions{drain: drain}).start()
	}
	var clients []*client
	for i, zone := range zones {
		for range 6 {
			clients = append(clients, s.addClient("others", zone, "", s.directoriesFrom(i)))
		}
	}
	s.awaitReady()
	time.Sleep(2 * time.Second)
	var under sync.WaitGroup
	under.Go(func() { s.load(clients, 60, turnedAfter+turnedFor+2*time.Second, "/look/a") })
	began := time.Now()
	for i := 0; time.Since(began) < turnedAfter+turnedFor; i++ {
		if trouble && !s.ending.Load() && time.Since(began) >= turnedAfter {
			s.ending.Store(true)
			s.note("from now on the request %s ends each replica that begins to run it", turnedPath)
		}
		sender := clients[i%len(clients)]
		under.Go(func() { sender.sendAs("turned", sender.pick(), "GET", turnedPath, nil) })
		time.Sleep(turnedEvery)
	}
	under.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answers, others := make(map[int]int), make(map[int]int)
	for _, a := range s.attempts {
		if a.group == "turned" {
			answers[a.status]++
		} else {
			others[a.status]++
		}
	}
	var ends []time.Time
	for _, a := range s.arrivals {
		if a.ended {
			ends = append(ends, a.at)
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
	late := 0
	for i, at := range ends {
		s.note("the request reached a replica and ended it at %.3f s", at.Sub(s.started).Seconds())
		if i >= 3 && at.Sub(ends[2]) > contact {
			late++
		}
	}
	s.note("answers to it, by status (0: none): %v; to the other requests: %v", answers, others)
	s.note("it reached replicas %d times later than contactMs (%v) after the third end; the rule allows %d", late, contact, allowedRetries)
	return late > allowedRetries
}

// endsReplica reports whether a request ends the replica that runs it.
func (s *stage) endsReplica(path string) bool {
	return s.ending.Load() && strings.HasPrefix(path, turnedPath)
}
