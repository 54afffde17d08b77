package membership

import (
	"slices"

	"github.com/doorpond/doorpond/internal/topology"
)

// startProbe pings the next member of the shuffled round.
func (c *Core) startProbe() {
	target, found := c.nextTarget()
	if !found {
		c.probe = nil
		return
	}
	c.probe = &probe{target: target, sentAt: c.now}
	c.send(target.PeerAddress, target.ID, c.ping(target))
}

// ping makes a ping that tells the target of any doubt about it.
func (c *Core) ping(target topology.Member) Message {
	message := Message{Kind: MessagePing}
	if target.State != topology.MemberAlive {
		message.Members = append(message.Members, target)
	}
	return message
}

// nextTarget walks the round, shuffling again at its end and dropping those
// that no longer live.
func (c *Core) nextTarget() (topology.Member, bool) {
	for range len(c.order) + 1 {
		if c.cursor >= len(c.order) {
			c.shuffle()
		}
		if len(c.order) == 0 {
			return topology.Member{}, false
		}
		member, known := c.registry.member(c.order[c.cursor])
		c.cursor++
		if known && IsLive(member.State) {
			return member, true
		}
	}
	return topology.Member{}, false
}

func (c *Core) shuffle() {
	c.order = slices.DeleteFunc(c.order, func(id string) bool {
		member, known := c.registry.member(id)
		gone := !known || !IsLive(member.State)
		if gone {
			delete(c.inRound, id)
		}
		return gone
	})
	c.random.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	c.cursor = 0
}

// joinRound puts a new member at a random place of the round.
func (c *Core) joinRound(id string) {
	if c.inRound[id] {
		return
	}
	c.inRound[id] = true
	at := c.random.IntN(len(c.order) + 1)
	c.order = slices.Insert(c.order, at, id)
	if at < c.cursor {
		c.cursor++
	}
}

// probeIndirectly asks others to ping the target once the direct ping failed
// or took too long.
func (c *Core) probeIndirectly() {
	if c.probe == nil || c.probe.resolved || c.probe.indirect {
		return
	}
	if c.now-c.probe.sentAt < c.timing.ProbeTimeout {
		return
	}
	c.askOthers()
}

func (c *Core) askOthers() {
	c.probe.indirect = true
	for _, helper := range c.randomPeers(indirectProbes, c.probe.target.ID) {
		c.send(helper.PeerAddress, helper.ID, Message{Kind: MessagePingRequest, Target: c.probe.target})
	}
}

// endProbe suspects the target of a probe that nobody answered.
func (c *Core) endProbe() {
	if c.probe == nil || c.probe.resolved {
		return
	}
	member, known := c.registry.member(c.probe.target.ID)
	if !known || member.Incarnation != c.probe.target.Incarnation {
		return
	}
	switch member.State {
	case topology.MemberAlive:
		member.State = topology.MemberSuspect
		c.store(member)
	case topology.MemberLeaving:
		member.State = topology.MemberDead
		c.store(member)
	}
}

// expireSuspicions declares dead those who did not refute in time.
func (c *Core) expireSuspicions() {
	var due []string
	for id, deadline := range c.suspected {
		if c.now >= deadline {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		delete(c.suspected, id)
		member, known := c.registry.member(id)
		if known && member.State == topology.MemberSuspect {
			member.State = topology.MemberDead
			c.store(member)
		}
	}
}

// reached resolves the probe of a member that answered somebody.
func (c *Core) reached(id string) {
	if c.probe != nil && c.probe.target.ID == id {
		c.probe.resolved = true
	}
}

// gossip tells a few members the fresh news. While the allowance is spent,
// rumors about members wait for other messages.
func (c *Core) gossip() {
	c.refillAllowance()
	if c.allowance < gossipWorth && !c.news.fresh(transmitLimit(c.registry.live)) {
		return
	}
	for _, peer := range c.randomPeers(gossipFanout, "") {
		c.send(peer.PeerAddress, peer.ID, Message{Kind: MessageGossip})
	}
}
