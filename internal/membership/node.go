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

// Transport sends a request to a peer and returns the reply. On an error, the
// receiver may still have handled the request.
type Transport interface {
	Exchange(ctx context.Context, address string, message Message) (Message, error)
}

// NodeOptions configure a Node. Self, Transport and Board are required.
type NodeOptions struct {
	Self topology.Member
	// Seeds returns addresses at which other daemons may be running. It is called
	// periodically and must not block. Nil means none.
	Seeds     func() []string
	Transport Transport
	// Board is where changes of the members are published, in its section Members.
	Board *blackboard.Board
	// Now returns the monotonic time; nil means the time since NewNode was called.
	Now        func() time.Duration
	Timing     Timing
	RandomSeed uint64
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

const (
	// maxConcurrentExchanges is the maximum number of concurrent requests.
	maxConcurrentExchanges = 16
	// seedsInterval is the interval between calls of Seeds.
	seedsInterval = 5 * time.Second
	// publishInterval is the minimum interval between publications.
	publishInterval = 100 * time.Millisecond
	// leavePollInterval is the interval at which Leave checks for pending rumors.
	leavePollInterval = 50 * time.Millisecond
	// leaveMessageTimeout limits the last messages of a node that has left.
	leaveMessageTimeout = time.Second
)

// Node runs a Core with timers and a Transport.
type Node struct {
	options NodeOptions
	metrics *metrics
	logger  *slog.Logger
	wake    chan struct{}

	mutex          sync.Mutex
	core           *Core
	recordHandlers []func(Record, string)
	// unpublished is true while changes are to be published.
	unpublished bool
	publishedAt time.Duration
	// outbox contains the requests that the loop has not started yet.
	outbox []Send
}

// NewNode returns a Node that knows only itself, and publishes that.
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

// OnRecord registers a handler that is called, without locks held, for each new
// record received from a peer. It must be called before Run and before the peer
// server starts.
func (n *Node) OnRecord(handler func(record Record, fromPeerAddress string)) {
	n.recordHandlers = append(n.recordHandlers, handler)
}

// Receive handles a request from a peer and returns the reply.
func (n *Node) Receive(message Message) Message {
	return n.step(Received{Message: message}).Reply
}

// Announce disseminates a record. It ignores one that is not newer than the stored
// record.
func (n *Node) Announce(record Record) { n.step(Announced{Record: record}) }

// Self returns this daemon's own description.
func (n *Node) Self() topology.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Self()
}

// Failed returns the members that were declared dead within the given time before now.
func (n *Node) Failed(within time.Duration) []topology.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.FailedSince(n.options.Now() - within)
}

// Leave marks this daemon as leaving and returns when the rumor has been sent to
// some members, or when ctx is done. Run must be running; when it is stopped after
// that, it notifies some members that the daemon has left.
func (n *Node) Leave(ctx context.Context) error {
	n.step(LeaveRequested{})
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for n.hasPendingRumors() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (n *Node) hasPendingRumors() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.HasPendingRumors()
}

// Run maintains the membership until ctx is done, and then returns nil.
func (n *Node) Run(ctx context.Context) error {
	exchanges, exchangeContext := errgroup.WithContext(ctx)
	exchanges.SetLimit(maxConcurrentExchanges)
	n.loop(ctx, exchanges, exchangeContext)
	_ = exchanges.Wait() // exchanges return no errors
	n.completeLeave(ctx)
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
			n.startExchange(exchanges, exchangeContext, send)
		}
		timer.Reset(n.untilNextTick())
	}
}

// startExchange makes a request in the background. If too many are running, the
// request fails immediately.
func (n *Node) startExchange(exchanges *errgroup.Group, ctx context.Context, send Send) {
	started := exchanges.TryGo(func() error {
		n.exchange(ctx, send)
		return nil
	})
	if !started {
		n.metrics.countExchange(send.Message.Kind, outcomeSkipped)
		n.step(Failed{Exchange: send.Exchange})
	}
}

func (n *Node) exchange(ctx context.Context, send Send) {
	bounded, cancel := context.WithTimeout(ctx, n.core.timing.Period)
	defer cancel()
	reply, err := n.options.Transport.Exchange(bounded, send.Address, send.Message)
	if err != nil {
		n.metrics.countExchange(send.Message.Kind, outcomeFailed)
		n.step(Failed{Exchange: send.Exchange})
		return
	}
	n.metrics.countExchange(send.Message.Kind, outcomeReplied)
	n.step(Replied{Exchange: send.Exchange, Message: reply})
}

// completeLeave sends the last messages of a node that is leaving.
func (n *Node) completeLeave(ctx context.Context) {
	if n.Self().State != topology.MemberLeaving {
		return
	}
	n.takeOutbox()
	n.step(LeaveCompleted{})
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveMessageTimeout)
	defer cancel()
	var group errgroup.Group
	for _, send := range n.takeOutbox() {
		group.Go(func() error {
			n.exchange(bounded, send)
			return nil
		})
	}
	_ = group.Wait() // exchanges return no errors
}

// step runs one step of the core and handles its result.
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

// signal wakes the loop, which then sends the outbox and resets its timer.
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

func (n *Node) untilNextTick() time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	next := n.core.NextTick()
	if n.unpublished {
		next = min(next, n.publishedAt+publishInterval)
	}
	return max(next-n.options.Now(), 0)
}

// publishIfDueLocked publishes changes immediately, but at most once per
// publishInterval, as sorting thousands of members for each of many changes is
// expensive. n.mutex must be held.
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

// report passes on, counts and logs the results of a step.
func (n *Node) report(ready Ready) {
	for _, learned := range ready.Learned {
		n.metrics.records.Inc()
		for _, handler := range n.recordHandlers {
			handler(learned.Record, learned.From)
		}
	}
	for _, transition := range ready.Transitions {
		n.logTransition(transition)
	}
	if ready.Resumed {
		n.logger.Warn("process was suspended; synchronizing with peers")
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
