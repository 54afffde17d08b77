package membership

import (
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// Input is an event that a Core handles: one of the types below.
type Input interface{ input() }

// Tick runs the timers that are due.
type Tick struct{}

// Received is a request from another daemon. Ready.Reply is the reply to it.
type Received struct{ Message Message }

// Replied is the reply to a Send.
type Replied struct {
	Exchange uint64
	Message  Message
}

// Failed reports that there was no reply to a Send.
type Failed struct{ Exchange uint64 }

// Announced is a record that originates at this daemon.
type Announced struct{ Record Record }

// SeedsUpdated replaces the addresses at which other daemons may be running.
type SeedsUpdated struct{ Addresses []string }

// LeaveRequested starts a planned leave, which LeaveCompleted ends.
type LeaveRequested struct{}

// LeaveCompleted marks this daemon as having left and notifies some members.
type LeaveCompleted struct{}

func (Tick) input()           {}
func (Received) input()       {}
func (Replied) input()        {}
func (Failed) input()         {}
func (Announced) input()      {}
func (SeedsUpdated) input()   {}
func (LeaveRequested) input() {}
func (LeaveCompleted) input() {}

// Send is a request that the caller is to make. The caller reports the outcome as
// Replied or Failed with the same Exchange.
type Send struct {
	Exchange uint64
	Address  string
	Message  Message
}

// Learned is a new record received from a peer. A document's record is not stored
// until it is Announced.
type Learned struct {
	Record Record
	// From is the peer's address.
	From string
}

// Transition is a change of a member's state or address.
type Transition struct {
	Member topology.Member
	// Before is the previous state; New is true if the member was unknown.
	Before topology.MemberState
	New    bool
}

// Ready is the result of a step, for the caller to act on.
type Ready struct {
	Sends []Send
	// Reply is the reply to the input Received.
	Reply       Message
	Learned     []Learned
	Transitions []Transition
	// Resumed is true if the time since the last tick indicates that the process
	// was suspended.
	Resumed bool
}

// Changed reports whether the step changed any member's state or address.
func (r *Ready) Changed() bool { return len(r.Transitions) > 0 }

// Step handles an input. now is the monotonic time since an arbitrary start. Step
// must not be called concurrently.
func (c *Core) Step(now time.Duration, input Input) Ready {
	c.now = now
	c.ready = Ready{}
	switch typed := input.(type) {
	case Tick:
		c.tick()
	case Received:
		c.ready.Reply = c.receive(typed.Message)
	case Replied:
		c.handleReply(typed.Exchange, typed.Message)
	case Failed:
		c.handleFailure(typed.Exchange)
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
	c.updateMember(changed)
}

func (c *Core) completeLeave() {
	c.changeSelf(topology.MemberLeft)
	for _, peer := range c.randomPeers(gossipFanout, "") {
		c.send(peer.PeerAddress, peer.ID, Message{Kind: MessageGossip})
	}
}
