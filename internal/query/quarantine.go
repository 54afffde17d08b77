package query

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/quarantine"
)

// crashPlan returns how crashes of replicas count as evidence against the request; prior
// is the evidence from its earlier executions.
func (s *Service) crashPlan(request *ForwardRequest, prior decision.CrashEvidence) decision.CrashDetection {
	if s.options.Quarantine == nil {
		return decision.CrashDetection{}
	}
	return decision.CrashDetection{Enabled: true, Prior: prior, Seed: xxhash.Sum64String(request.Message.ID)}
}

// isQuarantined reports whether another node has quarantined the request meanwhile.
func (r *forwardRun) isQuarantined() bool {
	return r.service.options.Quarantine.IsQuarantined(r.request.Message)
}

// isDisputed reports whether all crashes attributed to the request may have been caused
// by another request.
func (r *forwardRun) isDisputed() bool {
	return r.core.AbortPending() && r.service.options.Quarantine.Disputed(r.request.Message, r.crashedCanaries())
}

// crashedCanaries returns the processes that crashed while running a canary, in the order
// in which the canaries were sent.
func (r *forwardRun) crashedCanaries() []string {
	var crashed []attempt
	for i := range r.shards {
		for _, sent := range r.shards[i].attempts {
			if sent.canary && sent.outcome == decision.Crashed.String() {
				crashed = append(crashed, sent)
			}
		}
	}
	slices.SortFunc(crashed, func(a, b attempt) int { return cmp.Compare(a.sentAt, b.sentAt) })
	processes := make([]string, len(crashed))
	for i := range crashed {
		processes[i] = crashed[i].handle.ProcessName()
	}
	return processes
}

// reportCrash tells the quarantine list, while the request is still running, that a
// replica crashed executing it: the caller may retry on another node as soon as it has an
// answer. canary names the replica's process if the attempt was a canary.
func (r *forwardRun) reportCrash(canary string) {
	if evidence, survived := r.core.CrashEvidence(); !survived {
		route := quarantine.Route{Name: r.request.Route.Name, Shards: len(r.shards)}
		r.service.options.Quarantine.RecordCrash(r.request.Message, route, canary, evidence)
	}
}

// reportOutcome tells the quarantine list whether the request was answered or quarantined.
func (r *forwardRun) reportOutcome() {
	list := r.service.options.Quarantine
	if _, survived := r.core.CrashEvidence(); survived {
		list.RecordAnswer(r.request.Message)
	} else if r.reason == decision.ReplicasCrashed {
		list.Quarantine(r.request.Message)
	}
}
