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

func newChecker(w *cluster) *checker { return &checker{cluster: w} }

func (j *checker) addFinding(format string, arguments ...any) {
	if len(j.report.Findings) < maxFindings {
		j.report.Findings = append(j.report.Findings, fmt.Sprintf(format, arguments...))
	}
}

// expectHealthyFrom sets the time from which all requests must get a complete
// answer.
func (j *checker) expectHealthyFrom(from time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.healthyFrom = from
}

// record adds one observed request.
func (j *checker) record(one observation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seen = append(j.seen, one)
	j.report.Requests++
	switch {
	case one.err != nil:
		j.report.Unanswered++
	case one.response.Status == http.StatusOK:
		j.report.Served++
		j.checkAnswer(&one)
	case refusal(one.response.Status):
		j.report.Refused++
	default:
		j.report.Failed++
	}
}

func refusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// checkAnswer checks that a successful response is the complete answer to its
// own request.
func (j *checker) checkAnswer(one *observation) {
	if !one.path.isScattered() {
		if err := standin.CheckPlain(one.id, one.response); err != nil {
			j.addFinding("%s: %v", one.id, err)
		}
		return
	}
	if one.response.Missing > 0 {
		j.report.Partial++
	}
	count := len(one.response.Parts) + one.response.Missing
	j.cluster.mu.Lock()
	allowed := j.cluster.allowed[count]
	j.cluster.mu.Unlock()
	if !allowed {
		j.addFinding("%s: %d shards, which no configuration names", one.id, count)
	}
	if err := standin.CheckScattered(one.id, count, one.response); err != nil {
		j.addFinding("%s: %v", one.id, err)
	}
}

// finish runs the checks that need the whole run, and returns the report.
func (j *checker) finish() Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	ran := j.ranByID()
	j.report.Stalled = j.cluster.stalls.affectedTime()
	for i := range j.seen {
		j.checkRuns(&j.seen[i], ran[j.seen[i].id])
		if j.cluster.stalls.overlaps(j.seen[i].sent, j.seen[i].ended) {
			j.report.Unjudged++
			continue
		}
		j.checkEnd(&j.seen[i], ran[j.seen[i].id])
		j.checkHealthy(&j.seen[i])
	}
	j.checkRegions()
	for _, one := range j.cluster.changes {
		j.checkChange(one)
	}
	j.checkBudgets()
	j.checkCrashRuns()
	for _, one := range j.cluster.nodes {
		for _, failure := range one.process.Failures() {
			j.addFinding("node %s: %v", one.settings.Node, failure)
		}
	}
	j.report.Findings = append(j.report.Findings, j.cluster.notes...)
	return j.report
}

// ranByID counts the executions of each request over all replicas.
func (j *checker) ranByID() map[string]int {
	ran := make(map[string]int)
	for _, replica := range j.cluster.replicas() {
		for _, arrival := range replica.ArrivalLog() {
			if replica.Executions(arrival.ID) > 0 {
				ran[arrival.ID] += replica.Executions(arrival.ID)
			}
		}
	}
	return ran
}

// checkRegions checks that regional requests reach no replica of another region.
func (j *checker) checkRegions() {
	isRegional := make(map[string]bool)
	for i := range j.seen {
		isRegional[j.seen[i].id] = j.seen[i].path == regional
	}
	for _, replica := range j.cluster.replicas() {
		if replica.Region() == j.cluster.deployment.AllowedRegion() {
			continue
		}
		for _, arrival := range replica.ArrivalLog() {
			if isRegional[arrival.ID] && !arrival.Misdirected {
				j.addFinding("%s is bound to %s and reached a replica in %s", arrival.ID, j.cluster.deployment.AllowedRegion(), replica.Region())
			}
		}
	}
}

// checkRuns checks that a non-idempotent request is executed at most once, and
// not at all if it was refused.
func (j *checker) checkRuns(one *observation, ran int) {
	if one.path != nonIdempotent {
		return
	}
	if ran > 1 {
		j.addFinding("%s ran %d times", one.id, ran)
	}
	if one.err == nil && refusal(one.response.Status) && ran > 0 {
		j.addFinding("%s was refused with %d and ran", one.id, one.response.Status)
	}
}

// endsConnections selects faults that may break a caller's connection to the
// node at address, or stall it.
func endsConnections(address string) func(event) bool {
	return func(one event) bool { return one.affected(address, KillNode, PauseNode) }
}

// keepsWaiting selects faults that may delay a caller past its timeout without
// breaking connections. They count for all nodes, as a caller may ask one node's
// directory before it sends to another.
func keepsWaiting(one event) bool { return one.kind == PauseStop || one.kind == PauseDuringChange }

// checkEnd checks that a forwarded request gets a response in time, also from a
// node that stops gracefully, unless the node was killed or paused.
func (j *checker) checkEnd(one *observation, ran int) {
	if one.err == nil || ran == 0 {
		return
	}
	if j.cluster.overlapsFault(one.sent.Add(-time.Second), one.ended, endsConnections(one.response.Node)) {
		return
	}
	gaveUp := errors.Is(one.err, context.DeadlineExceeded)
	if gaveUp && j.cluster.overlapsFault(one.sent.Add(-time.Second), one.ended, keepsWaiting) {
		return
	}
	j.addFinding("%s (%s) was passed on by %s at %.2f s and got no answer: %v",
		one.id, strings.Trim(string(one.path), "/"), one.response.Node, one.sent.Sub(j.cluster.began).Seconds(), one.err)
}

// checkHealthy checks that after recovery every request gets a complete answer.
func (j *checker) checkHealthy(one *observation) {
	if j.healthyFrom.IsZero() || one.sent.Before(j.healthyFrom) {
		return
	}
	whole := one.err == nil && one.response.Status == http.StatusOK && one.response.Missing == 0
	if !whole {
		j.addFinding("%s in the calm at the end: status %d, %d shards missing, error %v", one.id, one.response.Status, one.response.Missing, one.err)
	}
}
