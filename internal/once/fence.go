package once

import (
	"encoding/json"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/store"
)

// FenceKey is the key in the store that every claim transaction compares. It
// does not exist until a regression of the store has been detected.
const FenceKey = "/doorpond/fence"

// fenceRecord is the value of FenceKey, encoded as JSON.
type fenceRecord struct {
	Epoch  uint64 `json:"epoch"`
	Closed bool   `json:"closed"`
	// Author is the operator who acknowledged the regression, or the ID of the
	// daemon that detected it.
	Author string `json:"author"`
}

// FenceStatus is the state of the store as shown by the outcome of a commit.
type FenceStatus int

// Values of FenceStatus.
const (
	// FenceCurrent means that the store is at least as new as the watermark.
	FenceCurrent FenceStatus = iota
	// FenceChanged means that the fence was written since it was last read.
	// Claims were not applied and can be sent again.
	FenceChanged
	// FenceRegressed means that this daemon or a peer has detected that the
	// store was restored to an older state. No call may be dispatched.
	FenceRegressed
)

// Fence detects whether the store was restored to an older state, in which
// claims of executed calls may be missing. It holds the newest known Watermark
// and the state of FenceKey. Each claim compares that key, so that a daemon that
// detects a regression stops the claims of all daemons with a single write.
// A Fence does no I/O and is safe for concurrent use.
type Fence struct {
	holder string

	mutex     sync.Mutex
	watermark Watermark
	// modRevision is that of FenceKey when last read, or 0 if it was absent.
	modRevision int64
	// probeRequired is set when a request to the store failed, until the next
	// successful commit or probe.
	probeRequired bool
	// needsClose is set when this daemon detects a regression, until the fence
	// in the store is closed.
	needsClose bool
	// hasPeerWatermark is set once a peer's watermark was received.
	hasPeerWatermark bool
	// peerAdvanced is set if a peer sent a newer watermark since the last
	// TakePeriodicAnnouncement.
	peerAdvanced bool
	// ownWatermark is the newest watermark that this daemon observed itself,
	// announcedWatermark the last one that it announced.
	ownWatermark, announcedWatermark Watermark
}

// NewFence returns a Fence with the zero Watermark. holder is the daemon's ID.
func NewFence(holder string) *Fence { return &Fence{holder: holder} }

// Watermark returns the newest known watermark.
func (f *Fence) Watermark() Watermark {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.watermark
}

// Admit returns an error if calls must not be claimed or dispatched.
func (f *Fence) Admit() *failure.Error {
	if f.Watermark().Regressed {
		return storeRegressedFailure()
	}
	return nil
}

func storeRegressedFailure() *failure.Error {
	return failure.New(failure.StoreRegressed, "store was restored to an older state; "+
		"calls are refused until an operator runs \"doorpond restore\"").WithNotRun(true)
}

// Merge adopts a peer's watermark if it is newer.
func (f *Fence) Merge(watermark Watermark) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.hasPeerWatermark = true
	if watermark.newerThan(f.watermark) {
		f.watermark = watermark
		f.peerAdvanced = true
	}
}

// HasPeerWatermark reports whether a peer's watermark was received.
func (f *Fence) HasPeerWatermark() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.hasPeerWatermark
}

// RequireProbe records that a request to the store failed. The store may have
// been restored from a backup in the meantime.
func (f *Fence) RequireProbe() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.probeRequired = true
}

// ProbeRequired reports whether the store must be probed before the next commit.
func (f *Fence) ProbeRequired() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.probeRequired
}

// Guard adds a comparison of FenceKey to a transaction.
func (f *Fence) Guard(transaction store.Transaction) store.Transaction {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	transaction.Compares = append(transaction.Compares, f.compare())
	return transaction
}

func (f *Fence) compare() store.Compare {
	return store.Compare{Key: FenceKey, Absent: f.modRevision == 0, ModRevision: f.modRevision}
}

// AnyWritten reports whether any of the transactions changed the store.
func AnyWritten(transactions []store.Transaction, outcomes []store.Outcome) bool {
	for i, outcome := range outcomes {
		if outcome.Applied && len(transactions[i].Writes) > 0 {
			return true
		}
	}
	return false
}

// Probe returns a transaction that compares FenceKey and writes nothing. Unlike
// a read it never returns stale state, and it does not advance the store's
// revision.
func (f *Fence) Probe() store.Transaction { return f.Guard(store.Transaction{}) }

// Check updates the fence by the outcome of a Probe. before is the watermark
// when the request was sent. wrote reports whether another transaction in the
// same request changed the store, so that its revision must have advanced.
func (f *Fence) Check(before Watermark, probe store.Outcome, wrote bool) FenceStatus {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.probeRequired = false
	changed := !probe.Applied && f.observe(probe)
	minRevision := before.Revision
	if wrote {
		minRevision++
	}
	if f.watermark.Epoch == before.Epoch && probe.Revision < minRevision {
		f.endEpoch()
	}
	f.advance(Watermark{Epoch: f.watermark.Epoch, Regressed: f.watermark.Regressed, Revision: probe.Revision})
	switch {
	case f.watermark.Regressed:
		return FenceRegressed
	case changed:
		return FenceChanged
	case f.watermark.Epoch != before.Epoch:
		// A peer announced a newer epoch before the response arrived, so the
		// commit belongs to an earlier one.
		return FenceRegressed
	default:
		return FenceCurrent
	}
}

// observe updates the fence from the values returned by a failed comparison. It
// reports whether the fence has changed.
func (f *Fence) observe(outcome store.Outcome) bool {
	current, modRevision := currentFence(outcome)
	if modRevision == f.modRevision {
		return false
	}
	f.modRevision = modRevision
	if current.Epoch < f.watermark.Epoch {
		f.endEpoch()
		return true
	}
	f.advance(Watermark{Epoch: current.Epoch, Regressed: current.Closed, Revision: outcome.Revision})
	return true
}

// currentFence returns the fence record among the current values, or the zero
// record if it is absent. A record that cannot be decoded counts as closed.
func currentFence(outcome store.Outcome) (record fenceRecord, modRevision int64) {
	for _, value := range outcome.Current {
		if value.Key != FenceKey {
			continue
		}
		if json.Unmarshal(value.Value, &record) != nil {
			record = fenceRecord{Epoch: maxEpoch, Closed: true}
		}
		return record, value.ModRevision
	}
	return fenceRecord{}, 0
}

// endEpoch marks the current epoch as regressed. The fence in the store must
// then be closed.
func (f *Fence) endEpoch() {
	if f.watermark.Regressed {
		return
	}
	f.advance(Watermark{Epoch: f.watermark.Epoch, Regressed: true, Revision: f.watermark.Revision})
	f.needsClose = true
}

// advance adopts a watermark that this daemon observed itself, if it is newer.
func (f *Fence) advance(watermark Watermark) {
	if watermark.newerThan(f.watermark) {
		f.watermark, f.ownWatermark = watermark, watermark
	}
}

// TakeAnnouncement returns the watermark to announce to peers and marks it as
// announced. It returns false if this daemon did not observe the newest
// watermark itself or has announced it.
func (f *Fence) TakeAnnouncement() (Watermark, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.takeAnnouncement()
}

// TakePeriodicAnnouncement is TakeAnnouncement for periodic announcements. It
// returns false if a peer has sent a newer watermark since the last call, which
// limits how many daemons announce in each interval.
func (f *Fence) TakePeriodicAnnouncement() (Watermark, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.peerAdvanced {
		f.peerAdvanced = false
		return Watermark{}, false
	}
	return f.takeAnnouncement()
}

func (f *Fence) takeAnnouncement() (Watermark, bool) {
	if f.ownWatermark != f.watermark || !f.ownWatermark.newerThan(f.announcedWatermark) {
		return Watermark{}, false
	}
	f.announcedWatermark = f.ownWatermark
	return f.ownWatermark, true
}

// HasUrgentAnnouncement reports whether to announce immediately: a regression, a
// new epoch, or a new revision while requests to the store fail.
func (f *Fence) HasUrgentAnnouncement() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.ownWatermark != f.watermark || !f.ownWatermark.newerThan(f.announcedWatermark) {
		return false
	}
	return f.probeRequired || f.ownWatermark.Regressed != f.announcedWatermark.Regressed || f.ownWatermark.Epoch != f.announcedWatermark.Epoch
}

// NeedsClose reports whether this daemon has detected a regression and not yet
// closed the fence in the store.
func (f *Fence) NeedsClose() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.needsClose && f.watermark.Regressed
}

// CloseTransaction returns the transaction that closes the fence, which stops
// the claims of all daemons. It compares the revision of FenceKey, so that it
// has no effect after an operator has acknowledged the regression.
func (f *Fence) CloseTransaction() (store.Transaction, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.writeTransaction(fenceRecord{Epoch: f.watermark.Epoch, Closed: true, Author: f.holder}, f.modRevision)
}

// ConfirmClosed records that the store has processed CloseTransaction. If its
// comparison failed, the fence was written by another daemon or an operator.
func (f *Fence) ConfirmClosed() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.needsClose = false
}

// OpenTransaction returns the transaction that begins the next epoch, and the
// epoch. value and modRevision are those of FenceKey as read from the store:
// empty and 0 if it is absent.
func (f *Fence) OpenTransaction(author string, value []byte, modRevision int64) (store.Transaction, uint64, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	current := fenceRecord{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &current); err != nil {
			return store.Transaction{}, 0, eris.Wrap(err, "decode fence")
		}
	}
	next := fenceRecord{Epoch: max(current.Epoch, f.watermark.Epoch) + 1, Author: author}
	transaction, err := f.writeTransaction(next, modRevision)
	return transaction, next.Epoch, err
}

func (f *Fence) writeTransaction(record fenceRecord, modRevision int64) (store.Transaction, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return store.Transaction{}, eris.Wrap(err, "encode fence")
	}
	return store.Transaction{
		Compares: []store.Compare{{Key: FenceKey, Absent: modRevision == 0, ModRevision: modRevision}},
		Writes:   []store.Write{{Key: FenceKey, Value: value}},
	}, nil
}

// ConfirmOpened records that an epoch began at a revision of the store.
func (f *Fence) ConfirmOpened(epoch uint64, revision int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.modRevision = revision
	f.advance(Watermark{Epoch: epoch, Revision: revision})
}
