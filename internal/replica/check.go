package replica

import (
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/backendapi"
)

// validateReply checks that a decoded reply is the complete answer to request.
func validateReply(request *backendapi.SearchRequest, reply *backendapi.SearchReply) error {
	switch {
	case reply.QueryID != request.QueryID:
		return eris.Errorf("reply has query ID %q", reply.QueryID)
	case reply.Attempt != request.Attempt:
		return eris.Errorf("reply has attempt number %d", reply.Attempt)
	case reply.Snapshot != request.Snapshot:
		return eris.Errorf("reply has snapshot %d", reply.Snapshot)
	case reply.Index != request.Index || reply.Shard != request.Shard || reply.Shards != request.Shards:
		return eris.Errorf("reply comes from shard %s %d of %d", reply.Index, reply.Shard, reply.Shards)
	}
	return validateHits(request, reply)
}

func validateHits(request *backendapi.SearchRequest, reply *backendapi.SearchReply) error {
	switch {
	case reply.Count != len(reply.Hits):
		return eris.Errorf("reply declares %d hits but contains %d", reply.Count, len(reply.Hits))
	case len(reply.Hits) > request.Limit:
		return eris.Errorf("reply contains %d hits, exceeding the limit of %d", len(reply.Hits), request.Limit)
	case reply.Total < reply.Count:
		return eris.Errorf("reply declares %d total matches but %d hits", reply.Total, reply.Count)
	case reply.Count < min(reply.Total, request.Limit):
		return eris.Errorf("reply contains only %d hits of %d matches", reply.Count, reply.Total)
	}
	if len(reply.Hits) == 0 {
		return nil
	}
	seen := make(map[string]struct{}, len(reply.Hits))
	for i := range reply.Hits {
		hit := &reply.Hits[i]
		if hit.Index != request.Index {
			return eris.Errorf("reply contains a hit from index %q", hit.Index)
		}
		seen[hit.ID] = struct{}{}
	}
	if len(seen) != len(reply.Hits) {
		return eris.New("reply contains duplicate hits")
	}
	return nil
}
