package once

import (
	"encoding/json"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/store"
)

// FenceKey is the store's key that every claim compares with. It is absent
// until the first regression of the store was found.
const FenceKey = "/doorpond/fence"

// fenceRecord is the value of FenceKey, as JSON.
type fenceRecord struct {
	Epoch  uint64 `json:"epoch"`
	Closed bool   `json:"closed"`
	// Author is the operator who acknowledged the regression, or the daemon
	// that found it.
	Author string `json:"author"`
}

// FenceStatus is what the outcome of a commit says of the store.
type FenceStatus int

// The verdicts.
const (
	// FenceCurrent: the store has all that this daemon knew of.
	FenceCurrent FenceStatus = iota
	// FenceChanged: the fence was written since it was last read; claims were
	// not applied and can be sent again.
	FenceChanged
	// FenceRegressed: the store went back to an older state, or a peer found
	// that it did. Nothing may be dispatched.
	FenceRegressed
)

// Fence tells whether the store went back to an older state, in which claims
// of calls that ran are missing. It keeps the newest Mark known and the state
// of FenceKey; each claim compares with that key, so that one daemon that finds
// a regression stops the claims of all by one write. It does no I/O. It is safe
// for concurrent use.
type Fence struct {
	holder string

	mutex sync.Mutex
	mark  Watermark
	// modRevision is the fence key's as last read; 0 while it was absent.
	modRevision int64
	// doubtful is true after trouble with the store, until a probe has shown
	// that the store is no older than before.
	doubtful bool
	// unclosed is true from a regression that this daemon found until the fence
	// in the store is closed.
	unclosed bool
	// heard is true once a peer has told its mark.
	heard bool
	// heardNew is true while a peer told a newer mark since the last
	// RoutineAnnouncement.
	heardNew bool
	// own is the newest mark that this daemon found by itself, announced the
	// one that it has told last.
	own, announced Watermark
}

// NewFence returns a Fence that knows nothing yet; holder is the daemon's ID.
func NewFence(holder string) *Fence { return &Fence{holder: holder} }

// Watermark returns the newest mark known.
func (f *Fence) Watermark() Watermark {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.mark
}

// Admit returns why no call may be claimed or dispatched now, or nil.
func (f *Fence) Admit() *failure.Error {
	if f.Watermark().Regressed {
		return regressedFailure()
	}
	return nil
}

func regressedFailure() *failure.Error {
	return failure.New(failure.StoreRegressed, "the store was restored to an older state; "+
		"calls are refused until an operator runs \"doorpond restore\"").WithNotRun(true)
}

// Merge takes over a peer's mark.
func (f *Fence) Merge(mark Watermark) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.heard = true
	if mark.newerThan(f.mark) {
		f.mark = mark
		f.heardNew = true
	}
}

// HasPeerWatermark tells whether a peer has told its mark.
func (f *Fence) HasPeerWatermark() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.heard
}

// RequireProbe says that an exchange with the store failed, as it does while a backup
// is brought back.
func (f *Fence) RequireProbe() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.doubtful = true
}

// ProbeRequired tells whether the store must be probed before the next commit.
func (f *Fence) ProbeRequired() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.doubtful
}

// Guard makes a transaction depend on the fence.
func (f *Fence) Guard(transaction store.Transaction) store.Transaction {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	transaction.Compares = append(transaction.Compares, f.compare())
	return transaction
}

func (f *Fence) compare() store.Compare {
	return store.Compare{Key: FenceKey, Absent: f.modRevision == 0, ModRevision: f.modRevision}
}

// AnyWritten tells whether any of some transactions changed the store.
func AnyWritten(transactions []store.Transaction, outcomes []store.Outcome) bool {
	for at, outcome := range outcomes {
		if outcome.Applied && len(transactions[at].Writes) > 0 {
			return true
		}
	}
	return false
}

// Probe returns a transaction that writes nothing. Unlike a read it never
// shows an old state, and it leaves the store's revision as it is.
func (f *Fence) Probe() store.Transaction { return f.Guard(store.Transaction{}) }

// Check judges the outcome of a Probe that was sent, alone or with others in
// one request, while sent was the mark; wrote is true if any of the others was
// applied, so that the revision must have grown.
func (f *Fence) Check(sent Watermark, probed store.Outcome, wrote bool) FenceStatus {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.doubtful = false
	moved := !probed.Applied && f.read(probed)
	least := sent.Revision
	if wrote {
		least++
	}
	if f.mark.Epoch == sent.Epoch && probed.Revision < least {
		f.regress()
	}
	f.raise(Watermark{Epoch: f.mark.Epoch, Regressed: f.mark.Regressed, Revision: probed.Revision})
	switch {
	case f.mark.Regressed:
		return FenceRegressed
	case moved:
		return FenceChanged
	case f.mark.Epoch != sent.Epoch:
		// A peer told of the next epoch while the answer was on its way, so
		// the commit was of the one before.
		return FenceRegressed
	default:
		return FenceCurrent
	}
}

// read takes over the fence that a failed comparison has shown; it is false
// when that is known already.
func (f *Fence) read(outcome store.Outcome) bool {
	shown, modRevision := shownFence(outcome)
	if modRevision == f.modRevision {
		return false
	}
	f.modRevision = modRevision
	if shown.Epoch < f.mark.Epoch {
		f.regress()
		return true
	}
	f.raise(Watermark{Epoch: shown.Epoch, Regressed: shown.Closed, Revision: outcome.Revision})
	return true
}

// shownFence finds the fence among the current values; one that is absent has
// epoch 0. A record that cannot be read counts as closed.
func shownFence(outcome store.Outcome) (record fenceRecord, modRevision int64) {
	for _, value := range outcome.Current {
		if value.Key != FenceKey {
			continue
		}
		if json.Unmarshal(value.Value, &record) != nil {
			record = fenceRecord{Epoch: largestEpoch, Closed: true}
		}
		return record, value.ModRevision
	}
	return fenceRecord{}, 0
}

// regress ends the epoch; the fence in the store must be closed.
func (f *Fence) regress() {
	if f.mark.Regressed {
		return
	}
	f.raise(Watermark{Epoch: f.mark.Epoch, Regressed: true, Revision: f.mark.Revision})
	f.unclosed = true
}

// raise notes what this daemon found by itself.
func (f *Fence) raise(mark Watermark) {
	if mark.newerThan(f.mark) {
		f.mark, f.own = mark, mark
	}
}

// TakeAnnouncement returns a mark that peers should be told: one that this daemon
// found, that it has not told, and that no peer has told better.
func (f *Fence) TakeAnnouncement() (Watermark, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.announcement()
}

// TakePeriodicAnnouncement is Announcement for quiet times. It holds back while
// peers announce, so that of any number of daemons only a few do in each
// interval.
func (f *Fence) TakePeriodicAnnouncement() (Watermark, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.heardNew {
		f.heardNew = false
		return Watermark{}, false
	}
	return f.announcement()
}

func (f *Fence) announcement() (Watermark, bool) {
	if f.own != f.mark || !f.own.newerThan(f.announced) {
		return Watermark{}, false
	}
	f.announced = f.own
	return f.own, true
}

// HasUrgentAnnouncement tells whether there is something to announce at once: a regression,
// a new epoch, or a revision that peers need to see through trouble with the
// store.
func (f *Fence) HasUrgentAnnouncement() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.own != f.mark || !f.own.newerThan(f.announced) {
		return false
	}
	return f.doubtful || f.own.Regressed != f.announced.Regressed || f.own.Epoch != f.announced.Epoch
}

// NeedsClose tells whether this daemon found a regression and has not closed the
// fence in the store yet.
func (f *Fence) NeedsClose() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.unclosed && f.mark.Regressed
}

// CloseTransaction returns the transaction that stops the claims of all daemons. It is
// guarded, so that it has no effect once an operator has acknowledged.
func (f *Fence) CloseTransaction() (store.Transaction, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.write(fenceRecord{Epoch: f.mark.Epoch, Closed: true, Author: f.holder}, f.modRevision)
}

// ConfirmClosed notes that the store has answered to Close. A comparison that failed
// means that somebody else wrote the fence first.
func (f *Fence) ConfirmClosed() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unclosed = false
}

// OpenTransaction returns the transaction that begins the next epoch, after a read of the
// fence, and the epoch. The value is empty and modRevision 0 if it was absent.
func (f *Fence) OpenTransaction(author string, value []byte, modRevision int64) (store.Transaction, uint64, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	held := fenceRecord{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &held); err != nil {
			return store.Transaction{}, 0, eris.Wrap(err, "decode the fence")
		}
	}
	opened := fenceRecord{Epoch: max(held.Epoch, f.mark.Epoch) + 1, Author: author}
	transaction, err := f.write(opened, modRevision)
	return transaction, opened.Epoch, err
}

func (f *Fence) write(record fenceRecord, modRevision int64) (store.Transaction, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return store.Transaction{}, eris.Wrap(err, "encode the fence")
	}
	return store.Transaction{
		Compares: []store.Compare{{Key: FenceKey, Absent: modRevision == 0, ModRevision: modRevision}},
		Writes:   []store.Write{{Key: FenceKey, Value: value}},
	}, nil
}

// ConfirmOpened notes that an epoch began at a revision of the store.
func (f *Fence) ConfirmOpened(epoch uint64, revision int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.modRevision = revision
	f.raise(Watermark{Epoch: epoch, Revision: revision})
}
