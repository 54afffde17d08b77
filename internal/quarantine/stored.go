package quarantine

import (
	"encoding/json"
	"time"
)

// Adopt takes in what the store holds of a request. Its time counts from now on, as the
// store does not say how old it is; it never holds it for longer.
func (l *List) Adopt(identity string, value []byte) {
	if l == nil {
		return
	}
	read, known := ParseIdentity(identity)
	var record Record
	if err := json.Unmarshal(value, &record); err != nil || !known {
		l.config.Logger.Error("entry of a quarantined request refused", "identity", identity)
		return
	}
	record.Identity = read
	l.Receive(record)
	l.markStored(read)
}

// markStored notes that the store holds a request.
func (l *List) markStored(identity Identity) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.entries[identity]; known != nil {
		known.stored = true
	}
}

// Forgotten takes in that the store has lost a request before its time: it is written again.
func (l *List) Forgotten(identity string) {
	read, valid := ParseIdentity(identity)
	if l == nil || !valid {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.entries[read]; known != nil && known.stored {
		known.stored = false
		known.since = l.config.Now()
	}
}

// unstored returns the quarantined requests that this node has to write into the store: those
// that it has found itself, and those of others that are not there after a wait. A negative
// wait means that it leaves these to others.
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
		due := known.own || (wait >= 0 && l.config.Now().Sub(known.since) >= wait)
		if due {
			records = append(records, l.recordOf(known))
		}
	}
	return records
}

func (l *List) wakeKeeper() {
	select {
	case l.found <- struct{}{}:
	default: // it is awake, and looks at all
	}
}
