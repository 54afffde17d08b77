package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// maxFindings bounds the findings that are reported individually.
const maxFindings = 20

// checker checks the system's guarantees by what callers and back ends observe.
type checker struct {
	cluster *cluster

	mu          sync.Mutex
	report      Report
	seen        []observation
	healthyFrom time.Time
}

func newChecker(c *cluster) *checker { return &checker{cluster: c} }

func (c *checker) addFinding(format string, arguments ...any) {
	if len(c.report.Findings) < maxFindings {
		c.report.Findings = append(c.report.Findings, fmt.Sprintf(format, arguments...))
	}
}

// expectHealthyFrom sets the time from which all requests must get a complete
// answer.
func (c *checker) expectHealthyFrom(from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healthyFrom = from
}

// record adds one observed request.
func (c *checker) record(obs observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, obs)
	c.report.Requests++
	switch {
	case obs.err != nil:
		c.report.Unanswered++
	case obs.response.Status == http.StatusOK:
		c.report.Served++
		c.checkAnswer(&obs)
	case refusal(obs.response.Status):
		c.report.Refused++
	case obs.response.Status == http.StatusUnauthorized && c.cluster.keys != nil:
		c.report.Unauthenticated++
	default:
		c.report.Failed++
	}
}

func refusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// checkAnswer checks that a successful response is the complete answer to its
// own request.
func (c *checker) checkAnswer(obs *observation) {
	if !obs.path.isScattered() {
		if err := standin.CheckPlain(obs.path.service(), obs.id, obs.response); err != nil {
			c.addFinding("%s: %v", obs.id, err)
		}
		return
	}
	if obs.response.Missing > 0 {
		c.report.Partial++
	}
	count := len(obs.response.Parts) + obs.response.Missing
	c.cluster.mu.Lock()
	allowed := c.cluster.allowed[count]
	c.cluster.mu.Unlock()
	if !allowed {
		c.addFinding("%s: %d shards, which no configuration names", obs.id, count)
	}
	if err := standin.CheckScattered(obs.id, count, obs.response); err != nil {
		c.addFinding("%s: %v", obs.id, err)
	}
}

// finish runs the checks that need the whole run, and returns the report.
func (c *checker) finish() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	executions := c.executionsByID()
	c.report.Stalled = c.cluster.stalls.affectedTime()
	for i := range c.seen {
		c.checkRuns(&c.seen[i], executions[c.seen[i].id])
		if c.cluster.stalls.overlaps(c.seen[i].sent, c.seen[i].ended) {
			c.report.Unjudged++
			continue
		}
		c.checkResponse(&c.seen[i], executions[c.seen[i].id])
		c.checkHealthy(&c.seen[i])
	}
	c.checkRegions()
	for _, change := range c.cluster.changes {
		c.checkChange(change)
	}
	c.checkBudgets()
	c.checkCrashRuns()
	c.checkTenants()
	for _, node := range c.cluster.nodes {
		for _, failure := range node.process.Failures() {
			c.addFinding("node %s: %v", node.settings.Node, failure)
		}
	}
	c.report.Findings = append(c.report.Findings, c.cluster.notes...)
	return c.report
}

// executionsByID counts the executions of each request over all replicas.
func (c *checker) executionsByID() map[string]int {
	executions := make(map[string]int)
	for _, replica := range c.cluster.observedReplicas() {
		for _, arrival := range replica.ArrivalLog() {
			if arrival.Executed {
				executions[arrival.ID]++
			}
		}
	}
	return executions
}

// checkRegions checks that regional requests reach no replica of another region.
func (c *checker) checkRegions() {
	isRegional := make(map[string]bool)
	for i := range c.seen {
		isRegional[c.seen[i].id] = c.seen[i].path == regional
	}
	for _, replica := range c.cluster.replicas() {
		if replica.Region() == c.cluster.deployment.AllowedRegion() {
			continue
		}
		for _, arrival := range replica.ArrivalLog() {
			if isRegional[arrival.ID] && !arrival.Misdirected {
				c.addFinding("%s is bound to %s and reached a replica in %s", arrival.ID, c.cluster.deployment.AllowedRegion(), replica.Region())
			}
		}
	}
}

// checkRuns checks that a non-idempotent request is executed at most once, and
// not at all if it was refused.
func (c *checker) checkRuns(obs *observation, executions int) {
	if obs.path != nonIdempotent && obs.path != retried {
		return
	}
	if executions > 1 {
		c.addFinding("%s ran %d times", obs.id, executions)
	}
	if obs.err == nil && refusal(obs.response.Status) && executions > 0 {
		c.addFinding("%s was refused with %d and ran", obs.id, obs.response.Status)
	}
}

// breaksConnections selects faults that may break a caller's connection to the
// node at address, or stall it.
func breaksConnections(address string) func(event) bool {
	return func(e event) bool { return e.affected(address, KillNode, PauseNode) }
}

// delaysResponses selects faults that may delay a caller past its timeout without
// breaking connections. They count for all nodes, as a caller may ask one node's
// directory before it sends to another.
func delaysResponses(e event) bool { return e.kind == PauseStop || e.kind == PauseDuringChange }

// checkResponse checks that a forwarded request gets a response in time, also from a
// node that stops gracefully, unless the node was killed or paused.
func (c *checker) checkResponse(obs *observation, executions int) {
	if obs.err == nil || executions == 0 {
		return
	}
	if c.cluster.overlapsFault(obs.sent.Add(-time.Second), obs.ended, breaksConnections(obs.response.Node)) {
		return
	}
	gaveUp := errors.Is(obs.err, context.DeadlineExceeded)
	if gaveUp && c.cluster.overlapsFault(obs.sent.Add(-time.Second), obs.ended, delaysResponses) {
		return
	}
	c.addFinding("%s (%s) was passed on by %s at %.2f s and got no answer: %v",
		obs.id, strings.Trim(string(obs.path), "/"), obs.response.Node, obs.sent.Sub(c.cluster.began).Seconds(), obs.err)
}

// checkHealthy checks that after recovery every request gets a complete answer.
func (c *checker) checkHealthy(obs *observation) {
	if c.healthyFrom.IsZero() || obs.sent.Before(c.healthyFrom) {
		return
	}
	complete := obs.err == nil && obs.response.Status == http.StatusOK && obs.response.Missing == 0
	if !complete && !c.refusedByTenant(obs) {
		c.addFinding("%s in the calm at the end: status %d, %d shards missing, error %v", obs.id, obs.response.Status, obs.response.Missing, obs.err)
	}
}

// refusedByTenant reports whether a request was refused because of its key or its tenant's limit,
// which checkTenants checks.
func (c *checker) refusedByTenant(obs *observation) bool {
	if c.cluster.keys == nil || obs.err != nil {
		return false
	}
	return obs.response.Status == http.StatusUnauthorized || obs.response.Status == http.StatusTooManyRequests
}
