package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// network simulates many cores in virtual time on one goroutine.
type network struct {
	now       time.Duration
	random    *rand.Rand
	cores     map[string]*Core
	nextTicks map[string]time.Duration
	frozen    map[string]bool
	side      map[string]int // nodes on different sides of a partition
	queue     eventQueue
	sequence  int
	delay     time.Duration
	loss      float64
	bytes     int
	messages  int
	resumed   map[string]int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newNetwork(seed uint64) *network {
	return &network{
		random: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*Core{}, nextTicks: map[string]time.Duration{},
		frozen: map[string]bool{}, side: map[string]int{}, resumed: map[string]int{}, delay: 5 * time.Millisecond,
	}
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250) }

// add starts a node at an address, replacing any node there.
func (w *network) add(id, at string, seeds ...string) *Core {
	core := NewCore(CoreOptions{Self: topology.Member{ID: id, PeerAddress: at}, Seed: w.random.Uint64()})
	w.cores[at] = core
	w.frozen[at] = false
	w.step(at, SeedsUpdated{Addresses: seeds})
	return core
}

func (w *network) addMany(count int) {
	for i := range count {
		w.add(fmt.Sprintf("node-%04d", i), address(i), address(0), address(1), address(2))
	}
}

func (w *network) at(when time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{when, w.sequence, run})
}

func (w *network) step(at string, input Input) Ready {
	core := w.cores[at]
	ready := core.Step(w.now, input)
	if ready.Resumed {
		w.resumed[at]++
	}
	for _, send := range ready.Sends {
		w.deliver(at, core, send)
	}
	for _, learned := range ready.Learned { // documents are fetched immediately
		if learned.Record.Kind == RecordDocument {
			w.step(at, Announced{learned.Record})
		}
	}
	w.schedule(at, core)
	return ready
}

func (w *network) schedule(at string, core *Core) {
	next := max(core.NextTick(), w.now)
	if planned, scheduled := w.nextTicks[at]; scheduled && planned > w.now && planned <= next {
		return
	}
	w.nextTicks[at] = next
	w.at(next, func() {
		if w.cores[at] == core && w.nextTicks[at] == next && !w.frozen[at] {
			delete(w.nextTicks, at)
			w.step(at, Tick{})
		}
	})
}

func (w *network) reachable(from, to string) bool {
	return w.cores[to] != nil && !w.frozen[to] && w.side[from] == w.side[to] && w.random.Float64() >= w.loss
}

// deliver carries a request and its reply over the network.
func (w *network) deliver(from string, sender *Core, send Send) {
	w.messages++
	w.bytes += send.Message.Size()
	w.at(w.now+w.delay, func() {
		if !w.reachable(from, send.Address) {
			w.finish(from, sender, w.now+500*time.Millisecond, Failed{Exchange: send.Exchange})
			return
		}
		reply := w.step(send.Address, Received{Message: send.Message}).Reply
		w.bytes += reply.Size()
		w.finish(from, sender, w.now+w.delay, Replied{Exchange: send.Exchange, Message: reply})
	})
}

func (w *network) finish(from string, sender *Core, when time.Duration, outcome Input) {
	w.at(when, func() {
		if w.cores[from] == sender && !w.frozen[from] {
			w.step(from, outcome)
		}
	})
}

func (w *network) run(interval time.Duration) {
	end := w.now + interval
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// runUntil runs in small steps until a condition holds, or for limit, and returns
// the time that has passed.
func (w *network) runUntil(limit time.Duration, holds func() bool) time.Duration {
	start := w.now
	for !holds() && w.now-start < limit {
		w.run(100 * time.Millisecond)
	}
	return w.now - start
}

func (w *network) resume(at string) {
	w.frozen[at] = false
	delete(w.nextTicks, at)
	w.step(at, Tick{})
}

func (w *network) kill(at string) { delete(w.cores, at) }

// converged reports whether every running node sees exactly the given number of live
// members, all of them alive.
func (w *network) converged(alive int) bool {
	for at, core := range w.cores {
		if w.frozen[at] {
			continue
		}
		if core.registry.live != alive {
			return false
		}
		for _, member := range core.Members() {
			if member.State != topology.MemberAlive {
				return false
			}
		}
	}
	return true
}

// holders returns the number of nodes that store the given version of a record.
func (w *network) holders(kind RecordKind, key string, version uint64) int {
	count := 0
	for _, core := range w.cores {
		if record, found := core.Record(kind, key); found && record.Version == version {
			count++
		}
	}
	return count
}
