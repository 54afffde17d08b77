package membership

import (
	"github.com/doorpond/doorpond/internal/topology"
)

// receive handles a request and returns the reply.
func (c *Core) receive(message Message) Message {
	reply := Message{Kind: MessageReply, From: c.self}
	if message.From.ID == "" || message.From.ID == c.self.ID {
		return reply
	}
	c.merge(message.From, false)
	c.resolveProbe(message.From.ID)
	c.mergeRequest(message)
	switch message.Kind {
	case MessageSync:
		reply = c.answerSync(message.Digest)
	case MessagePingRequest:
		c.sendFor(message.From, message.Target.PeerAddress, message.Target.ID, c.ping(message.Target))
	case MessageIndirectAck:
		c.resolveProbe(message.Target.ID)
	}
	c.addSuperseding(&reply, message.From)
	c.addRumors(&reply)
	reply.From = c.self
	return reply
}

func (c *Core) mergeRequest(message Message) {
	if message.Kind == MessagePush {
		c.mergeSync(message)
		return
	}
	c.mergeAll(message, false)
}

// mergeSync merges the entries from a digest exchange.
func (c *Core) mergeSync(message Message) {
	c.mergingSync = true
	c.mergeAll(message, true)
	c.mergingSync = false
}

// addSuperseding adds the current description of a member to a message to it if
// that supersedes the one it sent, so that it can refute it.
func (c *Core) addSuperseding(message *Message, claimed topology.Member) bool {
	current, known := c.registry.member(claimed.ID)
	if !known || !supersedes(current, claimed) {
		return false
	}
	message.Members = append(message.Members, current)
	return true
}

// handleReply handles the reply to an open exchange.
func (c *Core) handleReply(id uint64, reply Message) {
	done, open := c.exchanges[id]
	if !open {
		return
	}
	delete(c.exchanges, id)
	if reply.From.ID == c.self.ID || reply.From.ID == "" {
		return
	}
	if done.id != "" && reply.From.ID != done.id {
		c.markReplaced(done.id)
	}
	c.merge(reply.From, false)
	c.resolveProbe(reply.From.ID)
	if done.kind == MessageSync {
		c.finishSync(done, reply)
	} else {
		c.mergeAll(reply, false)
	}
	if done.origin.ID != "" && reply.From.ID == done.id {
		c.send(done.origin.PeerAddress, done.origin.ID, Message{Kind: MessageIndirectAck, Target: reply.From})
	}
	c.sendSuperseding(reply.From, done.address)
}

// sendSuperseding notifies a member that replied if the current description of it
// supersedes the one it sent.
func (c *Core) sendSuperseding(claimed topology.Member, address string) {
	message := Message{Kind: MessageGossip}
	if c.addSuperseding(&message, claimed) {
		c.send(address, claimed.ID, message)
	}
}

// markReplaced marks a member dead because another process uses its address.
func (c *Core) markReplaced(id string) {
	member, known := c.registry.member(id)
	if known && IsLive(member.State) {
		member.State = topology.MemberDead
		c.updateMember(member)
	}
}

// handleFailure handles a request without a reply. A failed ping is followed by
// indirect probes at once.
func (c *Core) handleFailure(id uint64) {
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
		c.sendIndirectProbes()
	}
}

func (c *Core) mergeAll(message Message, fromSync bool) {
	for _, member := range message.Members {
		c.merge(member, fromSync)
	}
	for _, record := range message.Records {
		c.mergeRecord(record, message.From.PeerAddress)
	}
}

// supersedes reports whether description a of a member takes precedence over b.
func supersedes(a, b topology.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// merge applies a description of a member received from a peer. In one from a
// digest exchange, a dead member counts as suspect: after a network partition, it
// may have been unreachable only, and can still refute.
func (c *Core) merge(member topology.Member, fromSync bool) {
	if member.ID == "" || member.State > topology.MemberLeft {
		return
	}
	if member.ID == c.self.ID {
		c.refute(member)
		return
	}
	current, known := c.registry.member(member.ID)
	if !known {
		c.addMember(member)
		return
	}
	if fromSync && member.State == topology.MemberDead && current.State <= topology.MemberSuspect {
		member.State = topology.MemberSuspect
	}
	if supersedes(member, current) {
		c.updateMember(member)
	}
}

// addMember adds an unknown member. It ignores tombstones, which would otherwise
// circulate between daemons forever.
func (c *Core) addMember(member topology.Member) {
	if !IsLive(member.State) {
		return
	}
	c.markPreviousReplaced(member)
	c.updateMember(member)
}

// markPreviousReplaced marks the previous process at a new member's address dead.
func (c *Core) markPreviousReplaced(member topology.Member) {
	id, occupied := c.idsByAddress[member.PeerAddress]
	if occupied && id != member.ID {
		c.markReplaced(id)
	}
}

// refute raises this daemon's incarnation above that of a claim that supersedes it.
func (c *Core) refute(claimed topology.Member) {
	if !supersedes(claimed, c.self) || c.self.State == topology.MemberLeft {
		return
	}
	changed := c.self
	changed.Incarnation = claimed.Incarnation + 1
	c.updateMember(changed)
}

// updateMember stores a member's description and queues it as a rumor.
func (c *Core) updateMember(member topology.Member) {
	previous, known := c.registry.member(member.ID)
	changed := &entry{key: entryKey{key: member.ID}, member: member, since: c.now}
	c.registry.put(changed)
	c.memberRumors.add(changed, c.initialTransmits())
	if member.ID == c.self.ID {
		c.self = member
	} else {
		c.updateProbing(member)
	}
	if !known || previous.State != member.State || previous.PeerAddress != member.PeerAddress {
		c.ready.Transitions = append(c.ready.Transitions, Transition{Member: member, Before: previous.State, New: !known})
	}
}

// initialTransmits returns the transmit count with which a changed member is queued.
// One learned by synchronization is rarely new to others, so it has few left.
func (c *Core) initialTransmits() int {
	if c.mergingSync {
		return transmitLimit(c.registry.live) - syncedMemberTransmits
	}
	return 0
}

// updateProbing updates the probe order and suspicion deadlines for a changed member.
func (c *Core) updateProbing(member topology.Member) {
	if IsLive(member.State) {
		c.addToProbeOrder(member.ID)
		c.idsByAddress[member.PeerAddress] = member.ID
	} else if c.idsByAddress[member.PeerAddress] == member.ID {
		delete(c.idsByAddress, member.PeerAddress)
	}
	if member.State == topology.MemberSuspect {
		c.suspicionDeadlines[member.ID] = c.now + c.timing.suspicionTimeout(c.registry.live)
	} else {
		delete(c.suspicionDeadlines, member.ID)
	}
}

// announce stores and disseminates a record that originates at this daemon.
func (c *Core) announce(record Record) {
	record.AgeSeconds = 0
	c.storeRecord(record)
}

// mergeRecord applies a record received from a peer. A document's record is only
// reported, on each receipt, until the caller has fetched the document and announces
// the record: a daemon that announces a revision must be able to serve it.
func (c *Core) mergeRecord(record Record, from string) {
	isNew := false
	if record.Kind == RecordDocument {
		isNew = c.acceptsRecord(record)
	} else {
		isNew = c.storeRecord(record)
	}
	if isNew {
		c.ready.Learned = append(c.ready.Learned, Learned{Record: record, From: from})
	}
}

// acceptsRecord reports whether a record is valid, not expired and newer than the
// stored one.
func (c *Core) acceptsRecord(record Record) bool {
	if record.Kind < RecordDocument || record.Kind > RecordStoreWatermark {
		return false
	}
	if recordSize(record) > maxRecordBytes {
		return false
	}
	stored := c.registry.get(entryKey{kind: record.Kind, key: record.Key})
	switch {
	case stored != nil && stored.record.Version >= record.Version:
		return false
	case stored == nil && c.registry.records >= maxRecords:
		return false
	default:
		return !expired(c.newRecordEntry(record), record.age(), c.timing)
	}
}

func (c *Core) newRecordEntry(record Record) *entry {
	return &entry{key: entryKey{kind: record.Kind, key: record.Key}, record: &record, since: c.now - record.age()}
}

// storeRecord stores and queues a record, and reports whether it was accepted.
func (c *Core) storeRecord(record Record) bool {
	if !c.acceptsRecord(record) {
		return false
	}
	kept := c.newRecordEntry(record)
	c.registry.put(kept)
	c.recordRumors.add(kept, 0)
	return true
}
