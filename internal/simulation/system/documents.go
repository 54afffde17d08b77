package system

import (
	"context"
	"time"

	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/store"
)

// The timing of the documents' controllers, as in package document.
const (
	electionInterval  = time.Second
	readInterval      = 15 * time.Second
	longestBackoff    = 10 * time.Second
	firstBackoff      = 100 * time.Millisecond
	followersPerZone  = 2
	clockInterval     = 200 * time.Millisecond
	pauseThreshold    = 1500 * time.Millisecond
	confirmAttempts   = 3
	backoffDoublings  = 10
	freshnessInterval = time.Second
)

// follower is the state of one daemon's watch of the store.
type follower struct {
	watch    *storeWatch
	lastRead time.Duration
	failures int
}

// follow is the loop of a document.StoreWatcher on the virtual clock.
func (d *daemon) follow() {
	d.world.spawn(d.process, nil, func() {
		for {
			if !d.election.Elected(d.world.engine.Now(), d.members()) {
				d.follower.watch = nil
				d.world.sleep(electionInterval)
				continue
			}
			if d.follower.watch == nil || d.world.engine.Now()-d.follower.lastRead >= readInterval {
				d.readDocuments()
			}
			d.world.sleep(d.followWait())
		}
	})
}

// followWait is the backoff after failures, else the election's interval.
func (d *daemon) followWait() time.Duration {
	if d.follower.failures == 0 {
		return electionInterval
	}
	limit := min(longestBackoff, firstBackoff<<min(d.follower.failures, backoffDoublings))
	return time.Duration(d.world.engine.Random().Int64N(int64(limit)) + 1)
}

// readDocuments lists the documents and opens a watch if none is open.
func (d *daemon) readDocuments() {
	values, revision, err := storeClient{d}.List(context.Background(), document.KeyPrefix, 0)
	if err != nil {
		d.follower.failures++
		d.follower.watch = nil
		return
	}
	d.follower.failures = 0
	d.follower.lastRead = d.world.engine.Now()
	for _, value := range values {
		d.offer(value)
		if d.follower.watch != nil && value.ModRevision > d.follower.watch.delivered {
			d.follower.watch = nil // dead without a sign
		}
	}
	if d.follower.watch == nil {
		d.openWatch(revision)
	}
}

func (d *daemon) openWatch(revision int64) {
	opened := &storeWatch{client: d, prefix: document.KeyPrefix, delivered: revision}
	opened.deliver = func(batch store.WatchBatch) {
		if d.follower.watch != opened {
			return
		}
		opened.delivered = max(opened.delivered, batch.Revision)
		for _, event := range batch.Events {
			d.offer(event.KeyValue)
		}
	}
	opened.notice = func() {
		if d.follower.watch == opened {
			d.follower.watch = nil
		}
	}
	d.follower.watch = opened
	server := d.world.store
	d.world.network.Send(d.process, server.process, func() {
		server.watchers = append(server.watchers, opened)
	})
}

func (d *daemon) offer(value store.KeyValue) {
	for _, name := range document.Names {
		if name.Key() != value.Key {
			continue
		}
		if version, err := document.Parse(name, value.Value); err == nil {
			d.offerDocument(version)
		}
	}
}

func (d *daemon) offerDocument(version document.Document) {
	if _, err := d.register.Offer(version); err != nil {
		d.world.violate(PromiseTable, "%s rejected %s %d: %v", d.id, version.Name, version.Revision, err)
	}
}

// announcement says which peer has which revision.
type announcement struct {
	revision uint64
	address  string
}

// announced takes note of a document that a peer has, as document.Fetcher
// does: a revision is wanted until it is had.
func (d *daemon) announced(name document.Name, revision uint64, address string) {
	if d.has(name, revision) {
		return
	}
	if d.wanted[name].revision < revision {
		d.wanted[name] = announcement{revision: revision, address: address}
	}
	if !d.fetching {
		d.fetching = true
		d.process.After(0, func() { d.world.spawn(d.process, nil, d.fetchWanted) })
	}
}

func (d *daemon) fetchWanted() {
	for {
		for _, name := range document.Names {
			d.satisfy(name)
		}
		if len(d.wanted) == 0 {
			d.fetching = false
			return
		}
		d.world.sleep(document.FetchRetryInterval)
	}
}

// satisfy fetches the revision wanted of a document, from its announcer first
// and from other peers after it.
func (d *daemon) satisfy(name document.Name) {
	want, wanted := d.wanted[name]
	if !wanted {
		return
	}
	for attempt := range document.MaxFetchAttempts {
		if d.has(name, d.wanted[name].revision) {
			delete(d.wanted, name)
			return
		}
		d.world.sleep(time.Duration(attempt) * document.FetchBackoff)
		d.fetchFrom(name, want.address)
		want.address = d.randomPeer()
	}
}

func (d *daemon) has(name document.Name, revision uint64) bool {
	current, found := d.register.Current(name)
	return found && current.Revision >= revision
}

// fetchFrom asks one peer for a document; it tells whether it answered.
func (d *daemon) fetchFrom(name document.Name, address string) (answered bool) {
	target := d.world.daemonAt(address)
	if target == nil {
		return false
	}
	var fetched document.Document
	d.world.await(func(wake func()) {
		d.world.request(d.process, target.process, document.FetchTimeout, wake, func(answer func(func())) {
			version, found := target.register.Current(name)
			answer(func() {
				fetched, answered = version, found
				wake()
			})
		})
	})
	if answered {
		d.offerDocument(fetched)
	}
	return answered
}

// randomPeer returns the address of a live member, empty if there is none.
func (d *daemon) randomPeer() string {
	members := d.members().Members
	if len(members) < 2 {
		return ""
	}
	at := d.world.engine.Random().IntN(len(members))
	if members[at].ID == d.id {
		at = (at + 1) % len(members)
	}
	return members[at].PeerAddress
}

// watchClock notices pauses of the process, as package freshness does.
func (d *daemon) watchClock() {
	if d.paused() && !d.confirming {
		d.confirming = true
		d.world.spawn(d.process, nil, d.confirm)
	}
	d.lastReading = d.world.engine.Now()
	d.process.After(clockInterval, d.watchClock)
}

func (d *daemon) paused() bool { return d.world.engine.Now()-d.lastReading > pauseThreshold }

// fresh tells whether the table may be trusted.
func (d *daemon) fresh() bool { return !d.confirming && !d.paused() }

func (d *daemon) confirm() {
	defer func() { d.confirming = false }()
	for range confirmAttempts {
		if d.fetchFrom(document.Table, d.randomPeer()) {
			return
		}
		d.world.sleep(freshnessInterval)
	}
}
