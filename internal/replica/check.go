package replica

import (
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/backendapi"
)

// validateReply tells whether a decoded reply is the whole answer to a request.
func validateReply(request *backendapi.SearchRequest, reply *backendapi.SearchReply) error {
	switch {
	case reply.QueryID != request.QueryID:
		return eris.Errorf("reply is for query %q", reply.QueryID)
	case reply.Attempt != request.Attempt:
		return eris.Errorf("reply is for attempt %d", reply.Attempt)
	case reply.Snapshot != request.Snapshot:
		return eris.Errorf("reply is from snapshot %d", reply.Snapshot)
	case reply.Index != request.Index || reply.Shard != request.Shard || reply.Shards != request.Shards:
		return eris.Errorf("reply is from shard %s %d of %d", reply.Index, reply.Shard, reply.Shards)
	}
	return validateHits(request, reply)
}

func validateHits(request *backendapi.SearchRequest, reply *backendapi.SearchReply) error {
	switch {
	case reply.Count != len(reply.Hits):
		return eris.Errorf("reply counts %d hits and holds %d", reply.Count, len(reply.Hits))
	case len(reply.Hits) > request.Limit:
		return eris.Errorf("reply holds %d hits, over the limit of %d", len(reply.Hits), request.Limit)
	case reply.Total < reply.Count:
		return eris.Errorf("reply totals %d matches and counts %d", reply.Total, reply.Count)
	case reply.Count < min(reply.Total, request.Limit):
		return eris.Errorf("reply holds %d hits of %d matches", reply.Count, reply.Total)
	}
	if len(reply.Hits) == 0 {
		return nil
	}
	seen := make(map[string]struct{}, len(reply.Hits))
	for i := range reply.Hits {
		hit := &reply.Hits[i]
		if hit.Index != request.Index {
			return eris.Errorf("reply holds a hit of index %q", hit.Index)
		}
		seen[hit.ID] = struct{}{}
	}
	if len(seen) != len(reply.Hits) {
		return eris.New("reply holds a hit twice")
	}
	return nil
}
