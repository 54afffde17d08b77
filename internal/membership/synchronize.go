package membership

import (
	"slices"

	"github.com/doorpond/doorpond/internal/topology"
)

// synchronize compares digests with one member, the same one again while a
// long synchronization goes on.
func (c *Core) synchronize() {
	c.nextSync = c.now + c.timing.SyncInterval
	if c.syncAddress != "" {
		c.sendSync(c.syncAddress, c.syncID)
		c.syncAddress = ""
		return
	}
	for _, peer := range c.randomPeers(1, "") {
		c.sendSync(peer.PeerAddress, peer.ID)
	}
}

func (c *Core) sendSync(address, id string) {
	c.send(address, id, Message{Kind: MessageSync, Digest: c.registry.digest()})
}

// reconnect tries addresses that are not live members, so that the halves of
// a healed cut find each other, and joins where nobody is known.
func (c *Core) reconnect() {
	number := 1
	c.nextReconnect = c.now + c.timing.ReconnectInterval
	if c.registry.live <= 1 {
		number = joinFanout
		c.nextReconnect = c.now + c.timing.Period
	}
	candidates := c.strangers()
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, address := range candidates[:min(number, len(candidates))] {
		c.sendSync(address, "")
	}
}

// strangers returns the addresses of seeds and dead members at which no live
// member is known, sorted.
func (c *Core) strangers() []string {
	var found []string
	add := func(address string) {
		_, occupied := c.occupants[address]
		if address != "" && address != c.self.PeerAddress && !occupied {
			found = append(found, address)
		}
	}
	for _, address := range c.seeds {
		add(address)
	}
	for _, dead := range c.registry.members(func(m topology.Member) bool { return m.State == topology.MemberDead }) {
		add(dead.PeerAddress)
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// answerSync sends whole buckets that differ from the asker's digest, from a
// random one on, up to the bound on bytes but always one.
func (c *Core) answerSync(digest []uint64) Message {
	reply := Message{Kind: MessageReply, From: c.self, Digest: c.registry.digest()}
	if len(digest) != DigestBuckets {
		return reply
	}
	c.agreed(reply.Digest, digest)
	start := c.random.IntN(DigestBuckets)
	size := 0
	for i := range DigestBuckets {
		at := (start + i) % DigestBuckets
		if reply.Digest[at] == digest[at] {
			continue
		}
		if size >= c.timing.SyncBytes {
			reply.More = true
			break
		}
		before := reply.Size()
		c.addBucket(&reply, at)
		size += reply.Size() - before
	}
	return reply
}

// agreed ends the spreading of older news where a peer, which is a random one,
// knows all that this daemon knows: then most others do too. It matters when
// many daemons have started at once.
func (c *Core) agreed(own, other []uint64) {
	if slices.Equal(own, other) {
		c.rumors.dropBefore(c.now - c.timing.SyncInterval)
	}
}

func (c *Core) addBucket(message *Message, at int) {
	message.Buckets = append(message.Buckets, at)
	for _, held := range c.registry.buckets[at].sorted() {
		c.addEntry(message, held)
	}
}

// finishSync takes the peer's buckets, sends back what it lacks of them, and
// goes on later where more differs.
func (c *Core) finishSync(done exchange, reply Message) {
	c.agreed(c.registry.digest(), reply.Digest)
	c.mergeSynchronized(reply)
	push := c.missingFrom(reply)
	if len(push.Members)+len(push.Records) > 0 {
		c.send(done.address, reply.From.ID, push)
	}
	if reply.More {
		c.syncAddress = done.address
		c.syncID = reply.From.ID
		c.nextSync = min(c.nextSync, c.now+c.timing.SyncChunkInterval)
	} else if len(c.ready.Transitions) >= busySyncChanges {
		c.nextSync = min(c.nextSync, c.now+c.jitter(c.timing.Period))
	}
}

// missingFrom collects the entries of the reply's buckets that the peer did
// not have, or had older.
func (c *Core) missingFrom(reply Message) Message {
	theirs := hashesOf(reply)
	push := Message{Kind: MessagePush}
	for _, at := range reply.Buckets {
		if at < 0 || at >= DigestBuckets {
			continue
		}
		for _, held := range c.registry.buckets[at].sorted() {
			hash, has := theirs[held.key]
			if (!has && held.digested()) || (has && hash != held.hash) {
				c.addEntry(&push, held)
			}
		}
	}
	return push
}

func hashesOf(message Message) map[entryKey]uint64 {
	hashes := make(map[entryKey]uint64, len(message.Members)+len(message.Records))
	for _, member := range message.Members {
		held := entry{key: entryKey{key: member.ID}, member: member}
		hashes[held.key] = held.versionHash(held.key.hash())
	}
	for _, record := range message.Records {
		held := entry{key: entryKey{kind: record.Kind, key: record.Key}, record: &record}
		hashes[held.key] = held.versionHash(held.key.hash())
	}
	return hashes
}
