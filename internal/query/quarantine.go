package query

import (
	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/quarantine"
)

// endsPlan says how replicas that end under a request speak against it, beside what is known
// of it already.
func (s *Service) crashPlan(request *ForwardRequest, prior decision.Evidence) decision.EndsPlan {
	if s.options.Quarantine == nil {
		return decision.EndsPlan{}
	}
	return decision.EndsPlan{Watched: true, Known: prior, Seed: xxhash.Sum64String(request.Message.ID)}
}

// isQuarantined tells whether another node has found meanwhile that the request ends replicas.
func (r *forwardRun) isQuarantined() bool {
	return r.service.options.Quarantine.Quarantined(r.request.Message)
}

// isContested tells whether the request is convicted by ends of replicas that may all have
// been another request's doing.
func (r *forwardRun) isContested() bool {
	return r.core.AwaitsVerdict() && r.service.options.Quarantine.Contested(r.request.Message)
}

// noteEnded tells the quarantine, while the request still runs, that a replica ended under
// it: its caller may try it at another node as soon as it is answered. canary names the
// replica if it was a canary's.
func (r *forwardRun) reportCrash(canary string) {
	if evidence, survived := r.core.Evidence(); !survived {
		route := quarantine.Route{Name: r.request.Route.Name, Shards: len(r.shards)}
		r.service.options.Quarantine.Note(r.request.Message, route, canary, evidence)
	}
}

// concludeEnds tells the quarantine what has come of the request.
func (r *forwardRun) reportOutcome() {
	list := r.service.options.Quarantine
	if _, survived := r.core.Evidence(); survived {
		list.Answered(r.request.Message)
	} else if r.reason == decision.ReplicasEnded {
		list.Convict(r.request.Message)
	}
}
