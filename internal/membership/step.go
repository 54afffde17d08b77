package membership

import (
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// Input is one event that the core reacts to: one of the types below.
type Input interface{ input() }

// Tick lets due timers run.
type Tick struct{}

// Received is a request of another daemon; Ready.Reply answers it.
type Received struct{ Message Message }

// Replied is the reply to a Send.
type Replied struct {
	Exchange uint64
	Message  Message
}

// Failed says that a Send brought no reply.
type Failed struct{ Exchange uint64 }

// Announced is a record that starts at this daemon.
type Announced struct{ Record Record }

// SeedsUpdated replaces the addresses at which daemons may be found.
type SeedsUpdated struct{ Addresses []string }

// LeaveRequested starts the planned leave; LeaveCompleted ends it.
type LeaveRequested struct{}

// LeaveCompleted marks this daemon as gone and tells some members.
type LeaveCompleted struct{}

func (Tick) input()           {}
func (Received) input()       {}
func (Replied) input()        {}
func (Failed) input()         {}
func (Announced) input()      {}
func (SeedsUpdated) input()   {}
func (LeaveRequested) input() {}
func (LeaveCompleted) input() {}

// Send is a request for the shell to make. Its outcome comes back as Replied
// or Failed with the same Exchange.
type Send struct {
	Exchange uint64
	Address  string
	Message  Message
}

// Learned is a record that a peer told of and that is not held. A record of a
// document is held once it is Announced.
type Learned struct {
	Record Record
	// From is the peer's address.
	From string
}

// Transition is a change of what is believed of a member.
type Transition struct {
	Member topology.Member
	// Before is the earlier state; New is true when the member was unknown.
	Before topology.MemberState
	New    bool
}

// Ready is what one step asks of the shell.
type Ready struct {
	Sends []Send
	// Reply answers the input Received.
	Reply       Message
	Learned     []Learned
	Transitions []Transition
	// Resumed is true when the time since the last tick shows that the
	// process was frozen.
	Resumed bool
}

// Changed tells whether the set of members differs from before the step.
func (r *Ready) Changed() bool { return len(r.Transitions) > 0 }

// Step handles one input at a time since an arbitrary start. It must be
// called by one goroutine at a time.
func (c *Core) Step(now time.Duration, input Input) Ready {
	c.now = now
	c.ready = Ready{}
	switch typed := input.(type) {
	case Tick:
		c.tick()
	case Received:
		c.ready.Reply = c.receive(typed.Message)
	case Replied:
		c.replied(typed.Exchange, typed.Message)
	case Failed:
		c.failed(typed.Exchange)
	case Announced:
		c.announce(typed.Record)
	case SeedsUpdated:
		c.seeds = typed.Addresses
	case LeaveRequested:
		c.changeSelf(topology.MemberLeaving)
	case LeaveCompleted:
		c.completeLeave()
	}
	return c.ready
}

func (c *Core) changeSelf(state topology.MemberState) {
	changed := c.self
	changed.State = state
	c.store(changed)
}

func (c *Core) completeLeave() {
	c.changeSelf(topology.MemberLeft)
	for _, peer := range c.randomPeers(gossipFanout, "") {
		c.send(peer.PeerAddress, peer.ID, Message{Kind: MessageGossip})
	}
}
