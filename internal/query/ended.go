package query

import (
	"github.com/cespare/xxhash/v2"

	"github.com/doorpond/doorpond/internal/decision"
)

// endsPlan says how replicas that end under a request speak against it, beside what is known
// of it already.
func (s *Service) endsPlan(forwarding *Forwarding, known decision.Evidence) decision.EndsPlan {
	if s.options.Quarantine == nil {
		return decision.EndsPlan{}
	}
	return decision.EndsPlan{Watched: true, Known: known, Seed: xxhash.Sum64String(forwarding.Message.ID)}
}

// isQuarantined tells whether another node has found meanwhile that the request ends replicas.
func (r *forwardRun) isQuarantined() bool {
	return r.service.options.Quarantine.Suspicion(r.forwarding.Message).RefuseFor > 0
}

// noteEnded tells the quarantine, while the request still runs, that a replica ended under
// it: its caller may try it at another node as soon as it is answered.
func (r *forwardRun) noteEnded() {
	r.suspected = true
	if evidence, survived := r.core.Evidence(); !survived {
		r.service.options.Quarantine.Note(r.forwarding.Message, r.forwarding.Route.Name, evidence)
	}
}

// clearSurvivor forgets what spoke against a request that a replica has survived.
func (r *forwardRun) clearSurvivor() {
	if !r.suspected {
		return
	}
	if _, survived := r.core.Evidence(); survived {
		r.service.options.Quarantine.Clear(r.forwarding.Message)
	}
}
