package membership

import (
	"slices"

	"github.com/doorpond/doorpond/internal/topology"
)

// synchronize exchanges digests with a random member, or with the peer of an
// unfinished synchronization.
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

// reconnect synchronizes with addresses that are not live members, so that the
// sides of a healed partition rejoin. A daemon without peers joins in the same way.
func (c *Core) reconnect() {
	count := 1
	c.nextReconnect = c.now + c.timing.ReconnectInterval
	if c.registry.live <= 1 {
		count = joinFanout
		c.nextReconnect = c.now + c.timing.Period
	}
	candidates := c.reconnectAddresses()
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, address := range candidates[:min(count, len(candidates))] {
		c.sendSync(address, "")
	}
}

// reconnectAddresses returns the sorted addresses of seeds and dead members at which
// there is no live member.
func (c *Core) reconnectAddresses() []string {
	var found []string
	add := func(address string) {
		_, occupied := c.idsByAddress[address]
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

// answerSync returns a reply with entire buckets that differ from the requester's
// digest. It starts at a random bucket and stops once SyncBytes are reached.
func (c *Core) answerSync(digest []uint64) Message {
	reply := Message{Kind: MessageReply, From: c.self, Digest: c.registry.digest()}
	if len(digest) != DigestBuckets {
		return reply
	}
	c.dropKnownRumors(reply.Digest, digest)
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

// dropKnownRumors drops older member rumors if the digests of this daemon and a random
// peer are equal: most other daemons then know these changes too. This saves traffic
// after many daemons have started at the same time.
func (c *Core) dropKnownRumors(own, other []uint64) {
	if slices.Equal(own, other) {
		c.memberRumors.dropBefore(c.now - c.timing.SyncInterval)
	}
}

func (c *Core) addBucket(message *Message, at int) {
	message.Buckets = append(message.Buckets, at)
	for _, stored := range c.registry.buckets[at].sorted() {
		c.addEntry(message, stored)
	}
}

// finishSync merges the buckets in a reply, pushes back the entries that the peer
// lacks, and schedules the next synchronization early if more is likely to differ.
func (c *Core) finishSync(done exchange, reply Message) {
	c.dropKnownRumors(c.registry.digest(), reply.Digest)
	c.mergeSync(reply)
	push := c.missingFrom(reply)
	if len(push.Members)+len(push.Records) > 0 {
		c.send(done.address, reply.From.ID, push)
	}
	if reply.More {
		c.syncAddress = done.address
		c.syncID = reply.From.ID
		c.nextSync = min(c.nextSync, c.now+c.timing.SyncChunkInterval)
	} else if len(c.ready.Transitions) >= earlySyncChanges {
		c.nextSync = min(c.nextSync, c.now+c.jitter(c.timing.Period))
	}
}

// missingFrom returns a push with the entries of the reply's buckets that the peer
// lacks or has in another version.
func (c *Core) missingFrom(reply Message) Message {
	theirs := versionHashes(reply)
	push := Message{Kind: MessagePush}
	for _, at := range reply.Buckets {
		if at < 0 || at >= DigestBuckets {
			continue
		}
		for _, stored := range c.registry.buckets[at].sorted() {
			hash, has := theirs[stored.key]
			if (!has && stored.inDigest()) || (has && hash != stored.hash) {
				c.addEntry(&push, stored)
			}
		}
	}
	return push
}

// versionHashes returns the version hashes of a message's entries.
func versionHashes(message Message) map[entryKey]uint64 {
	hashes := make(map[entryKey]uint64, len(message.Members)+len(message.Records))
	for _, member := range message.Members {
		stored := entry{key: entryKey{key: member.ID}, member: member}
		hashes[stored.key] = stored.versionHash(stored.key.hash())
	}
	for _, record := range message.Records {
		stored := entry{key: entryKey{kind: record.Kind, key: record.Key}, record: &record}
		hashes[stored.key] = stored.versionHash(stored.key.hash())
	}
	return hashes
}
