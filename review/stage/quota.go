package main

import (
	"fmt"
	"sort"
	"time"
)

// The tenant's limit, and the bounds of QUOTA as the site with quotas sets them.
const (
	limitRate    = 100.0
	limitBurst   = 50.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	// demand is what the tenant sends, per second, and cutFor how long the cut lasts.
	demand = 250
	cutFor = 10 * time.Second
)

func quotaConfiguration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "look", "hostname": "desk.example", "pathPrefix": "/look/", "routeType": "idempotent", "backend": "desk",
			"timeoutMs": 4000, "targetLatencyMs": 250, "attempts": 2, "priority": 1,
		}},
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConns": 400}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": "acme", "apiKeys": []string{"key-acme"}, "priority": 1, "ratePerS": limitRate, "burst": limitBurst},
			{"name": "birch", "apiKeys": []string{"key-birch"}, "priority": 1, "ratePerS": 1000, "burst": 1000},
		},
	}
}

// quotaCut cuts one node off from the others and the store while a tenant asks for more than its limit.
func quotaCut(s *stage, trouble bool) bool {
	s.regions = map[string]string{"hall-a": "east", "hall-b": "west", "hall-c": "south"}
	for zone := range s.regions {
		for i := range 2 {
			s.addReplica(fmt.Sprintf("i-%s-%d", zone, i), "desk", zone, 5*time.Millisecond)
		}
	}
	s.configure(quotaConfiguration(3))
	bounds := nodeOptions{bounds: "  quota_window: 5s\n  quota_overage: 0.1\n  quota_slack: 20\n"}
	zones := []string{"hall-a", "hall-a", "hall-a", "hall-b", "hall-c"}
	for i, zone := range zones {
		s.addNode(fmt.Sprintf("edge-%s-%d", zone, i), zone, bounds)
	}
	for _, n := range s.nodes {
		n.start()
	}
	s.awaitReady()
	time.Sleep(4 * time.Second)
	var clients, others []*client
	for i := range 24 {
		// A client asks the directories of its zone, beginning with any of them.
		d := []string{s.nodes[i%3].directory, s.nodes[(i+1)%3].directory, s.nodes[(i+2)%3].directory}
		clients = append(clients, s.addClient("acme", "hall-a", "key-acme", d).keepConnections())
		others = append(others, s.addClient("birch", "hall-a", "key-birch", d).keepConnections())
	}
	for i := range 4 {
		d := []string{s.nodes[3+i%2].directory}
		others = append(others, s.addClient("birch", zones[3+i%2], "key-birch", d).keepConnections())
	}
	go s.load(others, 60, 40*time.Second, "/look/a")
	// The tenant asks for more than its limit all the while.
	s.note("tenant acme sends %d requests a second; its limit is %v a second with a burst of %v", demand, limitRate, limitBurst)
	s.load(clients, demand, 6*time.Second, "/look/a")
	if trouble {
		s.note("%s is cut off from the other nodes and the store", s.nodes[1].name)
		s.network.setCut(s.nodes[1].name, true)
	}
	s.load(clients, demand, cutFor, "/look/a")
	if trouble {
		s.note("%s is connected again", s.nodes[1].name)
		s.network.setCut(s.nodes[1].name, false)
	}
	s.load(clients, demand, 4*time.Second, "/look/a")
	return s.judgeQuota("acme", limitRate, limitBurst)
}

// judgeQuota reports whether in some window more requests of a tenant were both sent and began to
// run than its limit allows.
func (s *stage) judgeQuota(tenant string, rate, burst float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sent := make(map[string]attempt)
	statuses := make(map[int]int)
	byNode := make(map[string]int)
	for _, a := range s.attempts {
		sent[a.id] = a
		if a.group == tenant {
			statuses[a.status]++
		}
	}
	type span struct {
		sent, arrived time.Time
		node          string
	}
	var spans []span
	seen := make(map[string]bool)
	for _, a := range s.arrivals {
		request, known := sent[a.id]
		if a.tenant != tenant || !known || seen[a.id] {
			continue
		}
		seen[a.id] = true
		spans = append(spans, span{request.sent, a.at, request.node})
		byNode[request.node]++
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent.Before(spans[j].sent) })
	most, mostAt := 0, 0
	for i := range spans {
		end, count := spans[i].sent.Add(quotaWindow), 0
		for j := i; j < len(spans) && spans[j].sent.Before(end); j++ {
			if spans[j].arrived.Before(end) {
				count++
			}
		}
		if count > most {
			most, mostAt = count, i
		}
	}
	bound := (rate*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack
	s.note("tenant %s: answers by status %v; requests that ran, by node %v", tenant, statuses, byNode)
	if most > 0 {
		inWindow := make(map[string]int)
		for _, each := range spans[mostAt:] {
			if each.arrived.Before(spans[mostAt].sent.Add(quotaWindow)) {
				inWindow[each.node]++
			}
		}
		s.note("most requests of one window of %v: %d, from %s s on, by node %v; the rule allows %.1f", quotaWindow, most,
			fmt.Sprintf("%.3f", spans[mostAt].sent.Sub(s.started).Seconds()), inWindow, bound)
	}
	return float64(most) > bound
}
