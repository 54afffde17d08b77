package system

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/simulation"
	"github.com/doorpond/doorpond/internal/topology"
)

// The service times of a simulated back end.
const (
	leastService    = 2 * time.Millisecond
	serviceSpread   = 6 * time.Millisecond
	stragglerOdds   = 100
	stragglerFactor = 25
	queueLimit      = 20
	// warmUp is how long a started back end works at a third of its speed.
	warmUp     = 3 * time.Second
	coldFactor = 3
	// hitsPerShard is the number of matches in each shard.
	hitsPerShard = 2
	// lyingOdds is the share of lying replies while a back end lies.
	lyingOdds = 3
)

// backend is one address of the back ends, with the process that runs there.
type backend struct {
	world       *World
	address     string
	service     service
	group       string
	place       topology.Place
	process     *simulation.Process
	incarnation int
	started     time.Duration
	held        map[uint64]bool
	inFlight    int
	queue       []func()
	leaving     bool
	leftAt      time.Duration

	// lying is true while replies are false in ways that can be told.
	lying bool
	// slowFactor multiplies the service time; 0 means 1.
	slowFactor int
	// clockOffset is the error of its wall clock.
	clockOffset time.Duration
	// open has the exchanges under way, which break when the process ends.
	open []*openExchange
	// previous is another query's reply, for crossed ones.
	previous []byte
}

func (b *backend) name() string { return fmt.Sprintf("%s.%d", b.address, b.incarnation) }

// incarnationName is what the back end and the machine list call the process.
func (b *backend) incarnationName() string { return fmt.Sprintf("inc-%d", b.incarnation) }

// start runs a new process at the address.
func (b *backend) start() {
	b.incarnation++
	b.process = b.world.engine.NewProcess(b.name(), b.place)
	b.started = b.world.engine.Now()
	b.inFlight, b.queue, b.leaving, b.previous = 0, nil, false, nil
	b.held = make(map[uint64]bool)
	for _, snapshot := range b.world.indexer.kept {
		b.held[snapshot.ID] = true
	}
}

// leave starts the drain.
func (b *backend) leave() {
	b.leaving = true
	b.leftAt = b.world.engine.Now()
	b.world.checks.backendLeaves(b)
}

// openExchange is one request whose connection is open.
type openExchange struct {
	ended bool
	reset func()
}

// connect notes an exchange, so that a kill resets its connection.
func (b *backend) connect(opened *openExchange) {
	const prunedAt = 64
	if len(b.open) >= prunedAt {
		b.open = slices.DeleteFunc(b.open, func(one *openExchange) bool { return one.ended })
	}
	b.open = append(b.open, opened)
}

// resetConnections breaks every exchange under way.
func (b *backend) resetConnections() {
	for _, one := range b.open {
		if !one.ended {
			one.reset()
		}
	}
	b.open = nil
}

// exchangeReply hands an HTTP answer to the sender.
type exchangeReply func(replica.PostResult)

// serve handles one request.
func (b *backend) serve(path string, body []byte, whose *flight, answer exchangeReply) {
	switch path {
	case backendapi.CallPath:
		b.serveCall(body, whose, answer)
	case backendapi.StatusPath:
		b.serveStatus(answer)
	default:
		b.serveSearch(body, answer)
	}
}

// serveSearch handles one sub-request.
func (b *backend) serveSearch(body []byte, answer exchangeReply) {
	var request backendapi.SearchRequest
	if json.Unmarshal(body, &request) != nil {
		return
	}
	b.admit(answer, func() {
		if !b.held[request.Snapshot] {
			b.release()
			b.refuse(answer, http.StatusGone, backendapi.RefusedSnapshotNotHeld)
			return
		}
		b.world.checks.ranSearch(&request)
		b.process.After(b.serviceTime(), func() {
			b.release()
			b.replySearch(&request, answer)
		})
	})
}

// admit refuses, queues or starts a request.
func (b *backend) admit(answer exchangeReply, run func()) {
	switch {
	case b.leaving:
		b.refuse(answer, http.StatusServiceUnavailable, backendapi.RefusedDraining)
	case b.inFlight < b.service.slots:
		b.inFlight++
		run()
	case len(b.queue) < queueLimit:
		b.queue = append(b.queue, run)
	default:
		b.refuse(answer, http.StatusTooManyRequests, backendapi.RefusedShed)
	}
}

func (b *backend) release() {
	b.inFlight--
	if len(b.queue) == 0 {
		return
	}
	next := b.queue[0]
	b.queue = b.queue[1:]
	b.inFlight++
	b.process.After(0, next)
}

func (b *backend) serviceTime() time.Duration {
	random := b.world.engine.Random()
	spent := leastService + time.Duration(random.Int64N(int64(serviceSpread)))
	if random.IntN(stragglerOdds) == 0 {
		spent *= stragglerFactor
	}
	if b.world.engine.Now()-b.started < warmUp && b.incarnation > 1 {
		spent *= coldFactor
	}
	return spent * time.Duration(max(1, b.slowFactor))
}

func (b *backend) load() backendapi.Load {
	return backendapi.Load{Slots: b.service.slots, InFlight: b.inFlight, Queued: len(b.queue)}
}

func (b *backend) refuse(answer exchangeReply, status int, reason backendapi.RefusalReason) {
	answer(replica.PostResult{Status: status, Body: encode(backendapi.Refusal{
		Reason: reason, NotRun: true, RetryAfterMilliseconds: 10, Load: b.load(),
		Draining: b.leaving, Incarnation: b.incarnationName(),
	})})
}

// shardHits are the matches of a shard: they name their snapshot, shard and
// query, so that an answer can be checked hit by hit.
func shardHits(snapshot uint64, index string, shard int, phrase string) []client.Hit {
	hits := make([]client.Hit, 0, hitsPerShard)
	for at := range hitsPerShard {
		hits = append(hits, client.Hit{
			ID:    fmt.Sprintf("%d/%s/%d/%d", snapshot, index, shard, at),
			Index: index, Document: phrase, Rank: float64(at),
		})
	}
	return hits
}

func (b *backend) replySearch(request *backendapi.SearchRequest, answer exchangeReply) {
	asked := request.Phrase + request.Card
	hits := shardHits(request.Snapshot, request.Index, request.Shard, asked)
	reply := backendapi.SearchReply{
		QueryID: request.QueryID, Attempt: request.Attempt, Snapshot: request.Snapshot,
		Index: request.Index, Shard: request.Shard, Shards: request.Shards,
		Count: len(hits), Hits: hits, Total: len(hits), Load: b.load(),
		Draining: b.leaving, Incarnation: b.incarnationName(),
	}
	if b.lying && b.world.engine.Random().IntN(lyingOdds) == 0 {
		b.lie(reply, answer)
		return
	}
	body := encode(reply)
	b.previous = body
	answer(replica.PostResult{Status: http.StatusOK, Body: body})
}

// The lies of a back end.
const (
	lieTruncated = iota
	lieShort
	lieDuplicate
	lieWrongShard
	lieWrongSnapshot
	lieCrossed
	lieLate
	lieDoubled
	lieServerError
	lies
)

// lateBy is the delay of a late reply, over the time that a query waits.
const lateBy = 1500 * time.Millisecond

func (b *backend) lie(reply backendapi.SearchReply, answer exchangeReply) {
	kind := b.world.engine.Random().IntN(lies)
	if kind != lieLate && kind != lieDoubled {
		b.world.checks.falseReply(&reply)
	}
	exchange := replica.PostResult{Status: http.StatusOK}
	switch kind {
	case lieTruncated:
		body := encode(reply)
		exchange.Body = body[:len(body)/2]
	case lieShort:
		reply.Hits = reply.Hits[:1]
		exchange.Body = encode(reply)
	case lieDuplicate:
		reply.Hits[1] = reply.Hits[0]
		exchange.Body = encode(reply)
	case lieWrongShard:
		reply.Shard++
		reply.Hits = shardHits(reply.Snapshot, reply.Index, reply.Shard, reply.Hits[0].Document)
		exchange.Body = encode(reply)
	case lieWrongSnapshot:
		reply.Snapshot++
		reply.Hits = shardHits(reply.Snapshot, reply.Index, reply.Shard, reply.Hits[0].Document)
		exchange.Body = encode(reply)
	case lieCrossed:
		exchange.Body = b.previous
	case lieServerError:
		exchange.Status = http.StatusInternalServerError
	case lieLate:
		exchange.Body = encode(reply)
		b.process.After(lateBy, func() { answer(exchange) })
		return
	case lieDoubled:
		exchange.Body = encode(reply)
		answer(exchange)
	}
	answer(exchange)
}

// serveCall handles one call; flight tells the checks whose it is.
func (b *backend) serveCall(body []byte, whose *flight, answer exchangeReply) {
	var request backendapi.CallRequest
	if json.Unmarshal(body, &request) != nil {
		return
	}
	b.admit(answer, func() {
		now := b.world.wallClock().Add(b.clockOffset).UnixMilli()
		if request.NotAfterUnixMilliseconds > 0 && now > request.NotAfterUnixMilliseconds {
			b.release()
			b.refuse(answer, http.StatusServiceUnavailable, backendapi.RefusedDeadlinePassed)
			return
		}
		b.world.checks.ranCall(request.Key, whose, b)
		b.process.After(b.serviceTime(), func() {
			b.release()
			answer(replica.PostResult{Status: http.StatusOK, Body: encode(backendapi.CallReply{
				Key: request.Key, Result: json.RawMessage(`"done"`), Load: b.load(),
				Draining: b.leaving, Incarnation: b.incarnationName(),
			})})
		})
	})
}

// encode writes JSON of types that always encode.
func encode(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return body
}
