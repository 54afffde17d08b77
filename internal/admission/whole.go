package admission

// Shards counts the shards of a query over many shards by what they can take at present.
type Shards struct {
	Total int
	// Lost shards have no replica that can be reached. Full ones have recently rejected
	// sub-requests, and have no replica that can take another one now.
	Lost, Full int
}

// Verdict is what becomes of a query over many shards.
type Verdict uint8

const (
	// Send admits the query.
	Send Verdict = iota
	// Wait holds the query until a shard can take its sub-request.
	Wait
	// Refuse rejects the query, as the shards that it needs cannot be reached.
	Refuse
)

// Decide returns the verdict on a query that needs the given number of shards. It is admitted as
// a whole, by its scarcest shards: if too few shards can answer, the work of the others is lost.
func (s Shards) Decide(needed int) Verdict {
	switch reachable := s.Total - s.Lost; {
	case reachable < needed:
		return Refuse
	case reachable-s.Full < needed:
		return Wait
	default:
		return Send
	}
}
