package inspect

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/quarantine"
)

// QuarantinedRequest is a request under which replicas have ended, on one node or on several.
type QuarantinedRequest struct {
	Identity string `json:"identity"`
	quarantine.Record
	// Nodes is the number of nodes that know of it, Refusing of those that refuse it.
	Nodes    int `json:"nodes"`
	Refusing int `json:"refusing"`
}

// ReleaseResult is the answer to a release.
type ReleaseResult struct {
	Identity string `json:"identity"`
}

// requestsOf describes what one node knows.
func requestsOf(records []quarantine.Record) []QuarantinedRequest {
	requests := make([]QuarantinedRequest, 0, len(records))
	for _, record := range records {
		request := QuarantinedRequest{Identity: record.Identity.String(), Record: record, Nodes: 1}
		if record.RefuseMilliseconds > 0 {
			request.Refusing = 1
		}
		requests = append(requests, request)
	}
	return requests
}

// addRequests joins what the nodes list: first what most nodes refuse.
func addRequests(nodes []Node) []QuarantinedRequest {
	joined := make(map[string]QuarantinedRequest)
	for _, node := range nodes {
		for _, one := range node.Quarantined {
			known, found := joined[one.Identity]
			if !found {
				joined[one.Identity] = one
				continue
			}
			known.CrashedReplicas = max(known.CrashedReplicas, one.CrashedReplicas)
			known.Rounds = max(known.Rounds, one.Rounds)
			known.Blame = max(known.Blame, one.Blame)
			known.RefuseMilliseconds = max(known.RefuseMilliseconds, one.RefuseMilliseconds)
			known.Nodes += one.Nodes
			known.Refusing += one.Refusing
			joined[one.Identity] = known
		}
	}
	requests := make([]QuarantinedRequest, 0, len(joined))
	for _, one := range joined {
		requests = append(requests, one)
	}
	slices.SortFunc(requests, func(a, b QuarantinedRequest) int {
		return cmp.Or(cmp.Compare(b.Refusing, a.Refusing), cmp.Compare(a.Identity, b.Identity))
	})
	return requests
}

// release ends the quarantine of the request that the query names.
func (h *handler) release(w http.ResponseWriter, r *http.Request) {
	named := r.URL.Query().Get("identity")
	identity, valid := quarantine.ParseIdentity(named)
	if !valid {
		failure.WriteProblem(w, failure.New(failure.InvalidRequest, "identity: 64 hexadecimal digits, as the system's list shows them"))
		return
	}
	known := slices.ContainsFunc(h.system(r.Context()).Quarantined, func(one QuarantinedRequest) bool { return one.Identity == named })
	if !known {
		failure.WriteProblem(w, failure.New(failure.NotFound, "no node suspects this request"))
		return
	}
	if err := h.config.Release(r.Context(), identity); err != nil {
		failure.WriteProblem(w, err)
		return
	}
	write(w, ReleaseResult{Identity: named})
}
