package quarantine

import (
	"encoding/json"
	"time"
)

// HandleStored applies an entry of the store. The quarantine counts from now, as the store does not
// tell the age of an entry; the entry's lease bounds how late that can be.
func (l *List) HandleStored(identity string, value []byte) {
	if l == nil {
		return
	}
	parsed, valid := ParseIdentity(identity)
	var record Record
	if err := json.Unmarshal(value, &record); err != nil || !valid {
		l.config.Logger.Error("invalid store entry of a quarantined request", "identity", identity)
		return
	}
	record.Identity = parsed
	l.Receive(record)
	l.markStored(parsed)
}

// markStored marks a request as held by the store.
func (l *List) markStored(identity Identity) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.entries[identity]; known != nil {
		known.stored = true
	}
}

// HandleDeleted handles the loss of a store entry before the end of the quarantine: the request is
// written again.
func (l *List) HandleDeleted(identity string) {
	parsed, valid := ParseIdentity(identity)
	if l == nil || !valid {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.entries[parsed]; known != nil && known.stored {
		known.stored = false
		known.quarantinedAt = l.config.Now()
	}
}

// unstored returns the quarantined requests that this node has to write to the store: those it
// detected itself, and those of other nodes that are not stored after wait. A negative wait
// excludes the latter.
func (l *List) unstored(wait time.Duration) []Record {
	if l.size.Load() == 0 {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var records []Record
	for identity := range l.entries {
		known := l.current(identity)
		if known == nil || !known.quarantined || known.stored {
			continue
		}
		due := known.detected || (wait >= 0 && l.config.Now().Sub(known.quarantinedAt) >= wait)
		if due {
			records = append(records, l.recordOf(known))
		}
	}
	return records
}

func (l *List) wakePersister() {
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}
