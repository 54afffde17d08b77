package query

import (
	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/quarantine"
)

// endsPlan says how replicas that end under a request speak against it, beside what is known
// of it already.
func (s *Service) endsPlan(forwarding *ForwardRequest, known decision.CrashEvidence) decision.CrashDetection {
	if s.options.Quarantine == nil {
		return decision.CrashDetection{}
	}
	return decision.CrashDetection{Enabled: true, Prior: known, Seed: xxhash.Sum64String(forwarding.Message.ID)}
}

// isQuarantined tells whether another node has found meanwhile that the request ends replicas.
func (r *forwardRun) isQuarantined() bool {
	return r.service.options.Quarantine.IsQuarantined(r.forwarding.Message)
}

// isContested tells whether the request is convicted by ends of replicas that may all have
// been another request's doing.
func (r *forwardRun) isContested() bool {
	return r.core.AbortPending() && r.service.options.Quarantine.Ambiguous(r.forwarding.Message)
}

// noteEnded tells the quarantine, while the request still runs, that a replica ended under
// it: its caller may try it at another node as soon as it is answered. canary names the
// replica if it was a canary's.
func (r *forwardRun) noteEnded(canary string) {
	if evidence, survived := r.core.CrashEvidence(); !survived {
		route := quarantine.Route{Name: r.forwarding.Route.Name, Shards: len(r.shards)}
		r.service.options.Quarantine.RecordCrash(r.forwarding.Message, route, canary, evidence)
	}
}

// concludeEnds tells the quarantine what has come of the request.
func (r *forwardRun) concludeEnds() {
	list := r.service.options.Quarantine
	if _, survived := r.core.CrashEvidence(); survived {
		list.RecordAnswer(r.forwarding.Message)
	} else if r.reason == decision.ReplicasCrashed {
		list.Quarantine(r.forwarding.Message)
	}
}
