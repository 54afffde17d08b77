package membership

import (
	"slices"

	"github.com/doorpond/doorpond/internal/topology"
)

// startProbe pings the next member in the probe order.
func (c *Core) startProbe() {
	target, found := c.nextTarget()
	if !found {
		c.probe = nil
		return
	}
	c.probe = &probe{target: target, sentAt: c.now}
	c.send(target.PeerAddress, target.ID, c.ping(target))
}

// ping returns a ping for a member, with its description if that is not alive, so
// that it can refute.
func (c *Core) ping(target topology.Member) Message {
	message := Message{Kind: MessagePing}
	if target.State != topology.MemberAlive {
		message.Members = append(message.Members, target)
	}
	return message
}

// nextTarget returns the next live member in the probe order, which is shuffled
// again at its end.
func (c *Core) nextTarget() (topology.Member, bool) {
	for range len(c.probeOrder) + 1 {
		if c.probeIndex >= len(c.probeOrder) {
			c.shuffleProbeOrder()
		}
		if len(c.probeOrder) == 0 {
			return topology.Member{}, false
		}
		member, known := c.registry.member(c.probeOrder[c.probeIndex])
		c.probeIndex++
		if known && IsLive(member.State) {
			return member, true
		}
	}
	return topology.Member{}, false
}

// shuffleProbeOrder removes members that are no longer live and shuffles the rest.
func (c *Core) shuffleProbeOrder() {
	c.probeOrder = slices.DeleteFunc(c.probeOrder, func(id string) bool {
		member, known := c.registry.member(id)
		remove := !known || !IsLive(member.State)
		if remove {
			delete(c.inProbeOrder, id)
		}
		return remove
	})
	c.random.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	c.probeIndex = 0
}

// addToProbeOrder inserts a new member at a random index of the probe order.
func (c *Core) addToProbeOrder(id string) {
	if c.inProbeOrder[id] {
		return
	}
	c.inProbeOrder[id] = true
	at := c.random.IntN(len(c.probeOrder) + 1)
	c.probeOrder = slices.Insert(c.probeOrder, at, id)
	if at < c.probeIndex {
		c.probeIndex++
	}
}

// checkProbeTimeout sends indirect probes if the ping has not been answered within
// ProbeTimeout.
func (c *Core) checkProbeTimeout() {
	if c.probe == nil || c.probe.resolved || c.probe.indirect {
		return
	}
	if c.now-c.probe.sentAt < c.timing.ProbeTimeout {
		return
	}
	c.sendIndirectProbes()
}

// sendIndirectProbes requests random peers to ping the target.
func (c *Core) sendIndirectProbes() {
	c.probe.indirect = true
	for _, helper := range c.randomPeers(indirectProbes, c.probe.target.ID) {
		c.send(helper.PeerAddress, helper.ID, Message{Kind: MessagePingRequest, Target: c.probe.target})
	}
}

// endProbe changes the state of the target of an unanswered probe: an alive member
// becomes suspect, a leaving one dead.
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
		c.updateMember(member)
	case topology.MemberLeaving:
		member.State = topology.MemberDead
		c.updateMember(member)
	}
}

// expireSuspicions declares suspects dead that have not refuted in time.
func (c *Core) expireSuspicions() {
	var due []string
	for id, deadline := range c.suspicionDeadlines {
		if c.now >= deadline {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		delete(c.suspicionDeadlines, id)
		member, known := c.registry.member(id)
		if known && member.State == topology.MemberSuspect {
			member.State = topology.MemberDead
			c.updateMember(member)
		}
	}
}

// resolveProbe resolves the current probe if the member is its target.
func (c *Core) resolveProbe(id string) {
	if c.probe != nil && c.probe.target.ID == id {
		c.probe.resolved = true
	}
}

// gossip sends rumors to a few random members. It skips the round if there are no
// record rumors to send and too little budget for member rumors.
func (c *Core) gossip() {
	c.refillRumorBudget()
	if c.rumorBudget < minGossipBudget && !c.recordRumors.hasBelow(transmitLimit(c.registry.live)) {
		return
	}
	for _, peer := range c.randomPeers(gossipFanout, "") {
		c.send(peer.PeerAddress, peer.ID, Message{Kind: MessageGossip})
	}
}
