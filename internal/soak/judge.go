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

// mostFindings bounds the findings that are told one by one.
const mostFindings = 20

// judge checks the promises by what callers and back ends see.
type judge struct {
	world *world

	mu       sync.Mutex
	report   Report
	seen     []observation
	calmFrom time.Time
}

func newJudge(w *world) *judge { return &judge{world: w} }

func (j *judge) found(format string, arguments ...any) {
	if len(j.report.Findings) < mostFindings {
		j.report.Findings = append(j.report.Findings, fmt.Sprintf(format, arguments...))
	}
}

// expectCalm says from when on all requests must be served whole.
func (j *judge) expectCalm(from time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calmFrom = from
}

// saw takes in one request.
func (j *judge) saw(one observation) {
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

// checkAnswer checks that a success is the whole answer to its own request.
func (j *judge) checkAnswer(one *observation) {
	if !one.path.isScattered() {
		if err := standin.CheckPlain(one.id, one.response); err != nil {
			j.found("%s: %v", one.id, err)
		}
		return
	}
	if one.response.Missing > 0 {
		j.report.Partial++
	}
	count := len(one.response.Parts) + one.response.Missing
	j.world.mu.Lock()
	allowed := j.world.allowed[count]
	j.world.mu.Unlock()
	if !allowed {
		j.found("%s: %d shards, which no configuration names", one.id, count)
	}
	if err := standin.CheckScattered(one.id, count, one.response); err != nil {
		j.found("%s: %v", one.id, err)
	}
}

// conclude checks what needs the whole run, and returns the report.
func (j *judge) conclude() Report {
	j.mu.Lock()
	defer j.mu.Unlock()
	ran := j.ranByID()
	j.report.Stalled = j.world.stalls.reach()
	for i := range j.seen {
		j.checkRuns(&j.seen[i], ran[j.seen[i].id])
		if j.world.stalls.touches(j.seen[i].sent, j.seen[i].ended) {
			j.report.Unjudged++
			continue
		}
		j.checkEnd(&j.seen[i], ran[j.seen[i].id])
		j.checkCalm(&j.seen[i])
	}
	j.checkRegions()
	for _, one := range j.world.news {
		j.checkNews(one)
	}
	j.checkBudgets()
	j.checkEnding()
	for _, one := range j.world.nodes {
		for _, failure := range one.process.Failures() {
			j.found("node %s: %v", one.settings.Node, failure)
		}
	}
	j.report.Findings = append(j.report.Findings, j.world.notes...)
	return j.report
}

// ranByID counts how often each request ran, over all replicas and shards.
func (j *judge) ranByID() map[string]int {
	ran := make(map[string]int)
	for _, replica := range j.world.replicas() {
		for _, arrival := range replica.ArrivalLog() {
			if replica.Executions(arrival.ID) > 0 {
				ran[arrival.ID] += replica.Executions(arrival.ID)
			}
		}
	}
	return ran
}

// checkRegions: a request that is bound to a region reaches no replica elsewhere.
func (j *judge) checkRegions() {
	isBound := make(map[string]bool)
	for i := range j.seen {
		isBound[j.seen[i].id] = j.seen[i].path == bound
	}
	for _, replica := range j.world.replicas() {
		if replica.Region() == j.world.deployment.AllowedRegion() {
			continue
		}
		for _, arrival := range replica.ArrivalLog() {
			if isBound[arrival.ID] && !arrival.Misdirected {
				j.found("%s is bound to %s and reached a replica in %s", arrival.ID, j.world.deployment.AllowedRegion(), replica.Region())
			}
		}
	}
}

// checkRuns: a request that may not be repeated runs at most once, and not at
// all when it was refused.
func (j *judge) checkRuns(one *observation, ran int) {
	if one.path != once {
		return
	}
	if ran > 1 {
		j.found("%s ran %d times", one.id, ran)
	}
	if one.err == nil && refusal(one.response.Status) && ran > 0 {
		j.found("%s was refused with %d and ran", one.id, one.response.Status)
	}
}

// endsConnections is true for the faults that may end a caller's connection to
// the node, or keep it waiting.
func endsConnections(address string) func(event) bool {
	return func(one event) bool { return one.befell(address, KillNode, PauseNode) }
}

// keepsWaiting is true for the faults that may keep a caller waiting beyond its own patience, and
// end no connection: of whichever node, as a caller asks one for the directory before it sends to
// another. (Seed 822000: 1.7 of the 2.5 s of c20-92 went by at the directory of a node that stood
// still in its stop; the node that it was sent to had 0.8 s.)
func keepsWaiting(one event) bool { return one.kind == PauseStop || one.kind == PauseDuringChange }

// checkEnd: a request that was passed on gets a final answer in time, also from
// a node that stops as planned, unless its node was killed or paused.
func (j *judge) checkEnd(one *observation, ran int) {
	if one.err == nil || ran == 0 {
		return
	}
	if j.world.met(one.sent.Add(-time.Second), one.ended, endsConnections(one.response.Node)) {
		return
	}
	gaveUp := errors.Is(one.err, context.DeadlineExceeded)
	if gaveUp && j.world.met(one.sent.Add(-time.Second), one.ended, keepsWaiting) {
		return
	}
	j.found("%s (%s) was passed on by %s at %.2f s and got no answer: %v",
		one.id, strings.Trim(string(one.path), "/"), one.response.Node, one.sent.Sub(j.world.began).Seconds(), one.err)
}

// checkCalm: some time after the last fault, every request is served whole.
func (j *judge) checkCalm(one *observation) {
	if j.calmFrom.IsZero() || one.sent.Before(j.calmFrom) {
		return
	}
	whole := one.err == nil && one.response.Status == http.StatusOK && one.response.Missing == 0
	if !whole {
		j.found("%s in the calm at the end: status %d, %d shards missing, error %v", one.id, one.response.Status, one.response.Missing, one.err)
	}
}
