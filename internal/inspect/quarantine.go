package inspect

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/quarantine"
)

// QuarantinedRequest is a request that is suspected or quarantined because replicas crashed
// while running it, on one node or merged from several.
type QuarantinedRequest struct {
	Identity string `json:"identity"`
	quarantine.Record
	// Nodes is the number of nodes that report the request. Refusing is the number of
	// nodes that refuse it.
	Nodes    int `json:"nodes"`
	Refusing int `json:"refusing"`
}

// ReleaseResult is the response to a release.
type ReleaseResult struct {
	Identity string `json:"identity"`
}

// describeRequests converts one node's quarantine records.
func describeRequests(records []quarantine.Record) []QuarantinedRequest {
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

// mergeRequests merges the requests that the nodes report, ordered by descending number of
// refusing nodes.
func mergeRequests(nodes []Node) []QuarantinedRequest {
	merged := make(map[string]QuarantinedRequest)
	for _, node := range nodes {
		for _, request := range node.Quarantined {
			known, found := merged[request.Identity]
			if !found {
				merged[request.Identity] = request
				continue
			}
			known.CrashedReplicas = max(known.CrashedReplicas, request.CrashedReplicas)
			known.Rounds = max(known.Rounds, request.Rounds)
			known.Blame = max(known.Blame, request.Blame)
			known.RefuseMilliseconds = max(known.RefuseMilliseconds, request.RefuseMilliseconds)
			known.Nodes += request.Nodes
			known.Refusing += request.Refusing
			merged[request.Identity] = known
		}
	}
	requests := make([]QuarantinedRequest, 0, len(merged))
	for _, request := range merged {
		requests = append(requests, request)
	}
	slices.SortFunc(requests, func(a, b QuarantinedRequest) int {
		return cmp.Or(cmp.Compare(b.Refusing, a.Refusing), cmp.Compare(a.Identity, b.Identity))
	})
	return requests
}

// release ends the quarantine of the request that the query parameter identifies.
func (h *handler) release(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("identity")
	identity, valid := quarantine.ParseIdentity(text)
	if !valid {
		failure.WriteProblem(w, failure.New(failure.InvalidRequest, "identity must be 64 hexadecimal digits, as shown in the system's list"))
		return
	}
	known := slices.ContainsFunc(h.system(r.Context()).Quarantined, func(request QuarantinedRequest) bool { return request.Identity == text })
	if !known {
		failure.WriteProblem(w, failure.New(failure.NotFound, "no node suspects this request"))
		return
	}
	if err := h.config.Release(r.Context(), identity); err != nil {
		failure.WriteProblem(w, err)
		return
	}
	writeJSON(w, ReleaseResult{Identity: text})
}
