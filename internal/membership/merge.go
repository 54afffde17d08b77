package membership

import (
	"github.com/doorpond/doorpond/internal/topology"
)

// receive handles a request and makes its reply.
func (c *Core) receive(message Message) Message {
	reply := Message{Kind: MessageReply, From: c.self}
	if message.From.ID == "" || message.From.ID == c.self.ID {
		return reply
	}
	c.merge(message.From, false)
	c.reached(message.From.ID)
	c.mergeRequest(message)
	switch message.Kind {
	case MessageSync:
		reply = c.answerSync(message.Digest)
	case MessagePingRequest:
		c.sendFor(message.From, message.Target.PeerAddress, message.Target.ID, c.ping(message.Target))
	case MessageIndirectAck:
		c.reached(message.Target.ID)
	}
	c.contradict(&reply, message.From)
	c.addRumors(&reply)
	reply.From = c.self
	return reply
}

func (c *Core) mergeRequest(message Message) {
	if message.Kind == MessagePush {
		c.mergeSynchronized(message)
		return
	}
	c.mergeAll(message, false)
}

// mergeSynchronized takes entries of a digest exchange.
func (c *Core) mergeSynchronized(message Message) {
	c.synchronizing = true
	c.mergeAll(message, true)
	c.synchronizing = false
}

// contradict tells a member what is believed of it where that is worse than
// what it says, so that it can refute.
func (c *Core) contradict(reply *Message, claimed topology.Member) bool {
	believed, known := c.registry.member(claimed.ID)
	if !known || !supersedes(believed, claimed) {
		return false
	}
	reply.Members = append(reply.Members, believed)
	return true
}

func (c *Core) replied(id uint64, reply Message) {
	done, open := c.exchanges[id]
	if !open {
		return
	}
	delete(c.exchanges, id)
	if reply.From.ID == c.self.ID || reply.From.ID == "" {
		return
	}
	if done.id != "" && reply.From.ID != done.id {
		c.replaced(done.id)
	}
	c.merge(reply.From, false)
	c.reached(reply.From.ID)
	if done.kind == MessageSync {
		c.finishSync(done, reply)
	} else {
		c.mergeAll(reply, false)
	}
	if done.origin.ID != "" && reply.From.ID == done.id {
		c.send(done.origin.PeerAddress, done.origin.ID, Message{Kind: MessageIndirectAck, Target: reply.From})
	}
	c.warn(reply.From, done.address)
}

// warn tells a member that answered that it is believed to be worse off than
// it says.
func (c *Core) warn(claimed topology.Member, address string) {
	warning := Message{Kind: MessageGossip}
	if c.contradict(&warning, claimed) {
		c.send(address, claimed.ID, warning)
	}
}

// replaced marks a member dead whose address answers as another process.
func (c *Core) replaced(id string) {
	member, known := c.registry.member(id)
	if known && IsLive(member.State) {
		member.State = topology.MemberDead
		c.store(member)
	}
}

func (c *Core) failed(id uint64) {
	done, open := c.exchanges[id]
	if !open {
		return
	}
	delete(c.exchanges, id)
	if done.address == c.syncAddress {
		c.syncAddress = ""
	}
	own := done.kind == MessagePing && done.origin.ID == ""
	if own && c.probe != nil && c.probe.target.ID == done.id && !c.probe.resolved && !c.probe.indirect {
		c.askOthers()
	}
}

func (c *Core) mergeAll(message Message, doubtful bool) {
	for _, member := range message.Members {
		c.merge(member, doubtful)
	}
	for _, record := range message.Records {
		c.mergeRecord(record, message.From.PeerAddress)
	}
}

// supersedes tells whether the first description of a member replaces the
// second.
func supersedes(a, b topology.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// merge takes a description of a member. A doubtful one comes out of a
// digest exchange, perhaps over a healed cut, where "dead" may only mean
// "was cut off": it counts as suspicion, which the member can refute.
func (c *Core) merge(member topology.Member, doubtful bool) {
	if member.ID == "" || member.State > topology.MemberLeft {
		return
	}
	if member.ID == c.self.ID {
		c.refute(member)
		return
	}
	believed, known := c.registry.member(member.ID)
	if !known {
		c.welcome(member)
		return
	}
	if doubtful && member.State == topology.MemberDead && believed.State <= topology.MemberSuspect {
		member.State = topology.MemberSuspect
	}
	if supersedes(member, believed) {
		c.store(member)
	}
}

// welcome takes a member that was not known. The tombstones of others are not
// taken over, or they would never be forgotten.
func (c *Core) welcome(member topology.Member) {
	if !IsLive(member.State) {
		return
	}
	c.retireNamesake(member)
	c.store(member)
}

// retireNamesake marks an earlier process at a new member's address dead.
func (c *Core) retireNamesake(member topology.Member) {
	id, occupied := c.occupants[member.PeerAddress]
	if occupied && id != member.ID {
		c.replaced(id)
	}
}

// refute raises this daemon's incarnation over what is said of it.
func (c *Core) refute(claimed topology.Member) {
	if !supersedes(claimed, c.self) || c.self.State == topology.MemberLeft {
		return
	}
	changed := c.self
	changed.Incarnation = claimed.Incarnation + 1
	c.store(changed)
}

// store replaces what is believed of a member and starts to spread it.
func (c *Core) store(member topology.Member) {
	before, known := c.registry.member(member.ID)
	changed := &entry{key: entryKey{key: member.ID}, member: member, since: c.now}
	c.registry.put(changed)
	c.rumors.add(changed, c.alreadySent())
	if member.ID == c.self.ID {
		c.self = member
	} else {
		c.follow(member)
	}
	if !known || before.State != member.State || before.PeerAddress != member.PeerAddress {
		c.ready.Transitions = append(c.ready.Transitions, Transition{Member: member, Before: before.State, New: !known})
	}
}

// alreadySent is how often a changed member counts as sent.
func (c *Core) alreadySent() int {
	if c.synchronizing {
		return transmitLimit(c.registry.live) - oldNewsTransmits
	}
	return 0
}

// follow keeps the round of probes and the suspicion timers in step.
func (c *Core) follow(member topology.Member) {
	if IsLive(member.State) {
		c.joinRound(member.ID)
		c.occupants[member.PeerAddress] = member.ID
	} else if c.occupants[member.PeerAddress] == member.ID {
		delete(c.occupants, member.PeerAddress)
	}
	if member.State == topology.MemberSuspect {
		c.suspected[member.ID] = c.now + c.timing.suspicionTimeout(c.registry.live)
	} else {
		delete(c.suspected, member.ID)
	}
}

// announce spreads a record that starts here.
func (c *Core) announce(record Record) {
	record.AgeSeconds = 0
	c.keepRecord(record)
}

// mergeRecord takes a record that a peer tells of. One of a document is only
// reported: this daemon announces it itself once it has the document, so that
// who announces a revision can always give it. Until then each message that
// tells of it reports it again.
func (c *Core) mergeRecord(record Record, from string) {
	isNew := false
	if record.Kind == RecordDocument {
		isNew = c.acceptable(record)
	} else {
		isNew = c.keepRecord(record)
	}
	if isNew {
		c.ready.Learned = append(c.ready.Learned, Learned{Record: record, From: from})
	}
}

// acceptable tells whether a record is valid, newer than the one held, and
// not expired.
func (c *Core) acceptable(record Record) bool {
	if record.Kind < RecordDocument || record.Kind > RecordStoreMark {
		return false
	}
	if recordSize(record) > maximumRecordBytes {
		return false
	}
	held := c.registry.get(entryKey{kind: record.Kind, key: record.Key})
	switch {
	case held != nil && held.record.Version >= record.Version:
		return false
	case held == nil && c.registry.records >= maximumRecords:
		return false
	default:
		return !expired(c.entryOf(record), record.age(), c.timing)
	}
}

func (c *Core) entryOf(record Record) *entry {
	return &entry{key: entryKey{kind: record.Kind, key: record.Key}, record: &record, since: c.now - record.age()}
}

// keepRecord stores a record that is newer than the one held.
func (c *Core) keepRecord(record Record) bool {
	if !c.acceptable(record) {
		return false
	}
	kept := c.entryOf(record)
	c.registry.put(kept)
	c.news.add(kept, 0)
	return true
}
