package membership

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/topology"
)

// Transport makes one request of the internal protocol. The error says that
// no reply came; the receiver may still have had the message.
type Transport interface {
	Exchange(ctx context.Context, address string, message Message) (Message, error)
}

// NodeOptions configure a Node. Self, Transport and Board are needed.
type NodeOptions struct {
	Self topology.Member
	// Seeds returns the addresses at which other daemons may be found; it is
	// asked now and then and must not block. Nil means none.
	Seeds     func() []string
	Transport Transport
	// Board's section Members is written on each change.
	Board *blackboard.Board
	// Now is the monotonic time; nil means time.Since the start.
	Now        func() time.Duration
	Timing     Timing
	RandomSeed uint64
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

const (
	// maximumConcurrentExchanges bounds the requests under way.
	maximumConcurrentExchanges = 16
	// seedsInterval between two looks at the seeds.
	seedsInterval = 5 * time.Second
	// publishInterval is the least time between two publications.
	publishInterval = 100 * time.Millisecond
	// leavePoll is how often Leave looks whether the news has spread.
	leavePoll = 50 * time.Millisecond
	// farewellTimeout bounds the last messages of a node that has left.
	farewellTimeout = time.Second
)

// Node runs a Core with timers and a Transport.
type Node struct {
	options NodeOptions
	metrics *metrics
	logger  *slog.Logger
	wake    chan struct{}

	mutex  sync.Mutex
	core   *Core
	notify []func(Record, string)
	// unpublished is true while changes wait for the next publication.
	unpublished bool
	publishedAt time.Duration
	// outbox holds sends of steps made outside Run.
	outbox []Send
}

// NewNode makes a node that knows only itself, and publishes that.
func NewNode(options NodeOptions) *Node {
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}
	if options.Seeds == nil {
		options.Seeds = func() []string { return nil }
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	n := &Node{
		options: options,
		metrics: newMetrics(options.Registerer),
		logger:  options.Logger,
		wake:    make(chan struct{}, 1),
		core:    NewCore(CoreOptions{Self: options.Self, Timing: options.Timing, Seed: options.RandomSeed}),
	}
	n.publish()
	return n
}

// OnRecord adds a function that is called for each record newly learned from
// a peer, with the peer's address, outside any lock. Call it before Run and
// before the peer server starts.
func (n *Node) OnRecord(notify func(record Record, fromPeerAddress string)) {
	n.notify = append(n.notify, notify)
}

// Receive handles a peer's request and returns the reply.
func (n *Node) Receive(message Message) Message {
	return n.step(Received{Message: message}).Reply
}

// Announce spreads a record. One that is not newer than the record known is
// ignored.
func (n *Node) Announce(record Record) { n.step(Announced{Record: record}) }

// Self returns this daemon as it describes itself now.
func (n *Node) Self() topology.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Self()
}

// Leave tells the others that this daemon is leaving and returns when a few
// were told, or when ctx ends. Run must still be running; when it is stopped
// afterwards, it says goodbye.
func (n *Node) Leave(ctx context.Context) error {
	n.step(LeaveRequested{})
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for n.spreading() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (n *Node) spreading() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.HasPendingRumors()
}

// Run keeps the membership until ctx ends, and returns nil then.
func (n *Node) Run(ctx context.Context) error {
	exchanges, exchangeContext := errgroup.WithContext(ctx)
	exchanges.SetLimit(maximumConcurrentExchanges)
	n.loop(ctx, exchanges, exchangeContext)
	_ = exchanges.Wait() // the exchanges return no errors
	n.farewell(ctx)
	return nil
}

func (n *Node) loop(ctx context.Context, exchanges *errgroup.Group, exchangeContext context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextSeeds := n.options.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-n.wake:
		}
		if now := n.options.Now(); now >= nextSeeds {
			n.step(SeedsUpdated{Addresses: n.options.Seeds()})
			nextSeeds = now + seedsInterval
		}
		n.step(Tick{})
		for _, send := range n.takeOutbox() {
			n.start(exchanges, exchangeContext, send)
		}
		timer.Reset(n.untilWake())
	}
}

// start makes a request in the background, or fails it at once where too many
// are under way.
func (n *Node) start(exchanges *errgroup.Group, ctx context.Context, send Send) {
	started := exchanges.TryGo(func() error {
		n.exchange(ctx, send)
		return nil
	})
	if !started {
		n.metrics.exchanged(send.Message.Kind, outcomeSkipped)
		n.step(Failed{Exchange: send.Exchange})
	}
}

func (n *Node) exchange(ctx context.Context, send Send) {
	bounded, cancel := context.WithTimeout(ctx, n.core.timing.Period)
	defer cancel()
	reply, err := n.options.Transport.Exchange(bounded, send.Address, send.Message)
	if err != nil {
		n.metrics.exchanged(send.Message.Kind, outcomeFailed)
		n.step(Failed{Exchange: send.Exchange})
		return
	}
	n.metrics.exchanged(send.Message.Kind, outcomeReplied)
	n.step(Replied{Exchange: send.Exchange, Message: reply})
}

// farewell sends the last messages of a node that was told to leave.
func (n *Node) farewell(ctx context.Context) {
	if n.Self().State != topology.MemberLeaving {
		return
	}
	n.takeOutbox()
	n.step(LeaveCompleted{})
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), farewellTimeout)
	defer cancel()
	var group errgroup.Group
	for _, send := range n.takeOutbox() {
		group.Go(func() error {
			n.exchange(bounded, send)
			return nil
		})
	}
	_ = group.Wait() // the exchanges return no errors
}

// step runs the core and carries out what it asks.
func (n *Node) step(input Input) Ready {
	n.mutex.Lock()
	ready := n.core.Step(n.options.Now(), input)
	n.outbox = append(n.outbox, ready.Sends...)
	n.publishIfDueLocked(ready)
	n.mutex.Unlock()
	n.report(ready)
	if _, tick := input.(Tick); !tick {
		n.signal()
	}
	return ready
}

// signal wakes the loop, which sends the outbox and sets its timer anew.
func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) takeOutbox() []Send {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	sends := n.outbox
	n.outbox = nil
	return sends
}

func (n *Node) untilWake() time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	wake := n.core.NextTick()
	if n.unpublished {
		wake = min(wake, n.publishedAt+publishInterval)
	}
	return max(wake-n.options.Now(), 0)
}

// publishIfDueLocked publishes changes at once, but a storm of them, as when
// all daemons start, once an interval: making the sorted list of thousands of
// members takes a good part of a millisecond.
func (n *Node) publishIfDueLocked(ready Ready) {
	n.unpublished = n.unpublished || ready.Changed()
	now := n.options.Now()
	if n.unpublished && now-n.publishedAt >= publishInterval {
		n.publishedAt = now
		n.publishLocked()
	}
}

func (n *Node) publish() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.publishLocked()
}

func (n *Node) publishLocked() {
	n.unpublished = false
	members := &topology.Members{Self: n.core.Self(), Members: n.core.Members()}
	n.options.Board.Members.Publish(members)
	n.metrics.members.Set(float64(len(members.Members)))
}

func (n *Node) report(ready Ready) {
	for _, learned := range ready.Learned {
		n.metrics.records.Inc()
		for _, notify := range n.notify {
			notify(learned.Record, learned.From)
		}
	}
	for _, transition := range ready.Transitions {
		n.logTransition(transition)
	}
	if ready.Resumed {
		n.logger.Warn("process was frozen; asking the peers what has changed")
	}
}

func (n *Node) logTransition(transition Transition) {
	n.metrics.transitions.WithLabelValues(StateName(transition.Member.State)).Inc()
	n.logger.Info("member changed",
		"member", transition.Member.ID,
		"address", transition.Member.PeerAddress,
		"state", StateName(transition.Member.State),
		"incarnation", transition.Member.Incarnation)
}
