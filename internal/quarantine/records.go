package quarantine

import (
	"slices"
	"strings"
)

// Records returns the known requests with their remaining times, quarantined ones first, then
// ordered by identity.
func (l *List) Records() []Record {
	if l == nil {
		return []Record{}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	records := make([]Record, 0, len(l.entries))
	for identity := range l.entries {
		if known := l.current(identity); known != nil {
			records = append(records, l.recordOf(known))
		}
	}
	slices.SortFunc(records, compareRecords)
	return records
}

// recordOf returns an entry's record with the remaining time of the quarantine.
func (l *List) recordOf(known *entry) Record {
	record := known.record
	if known.quarantined {
		record.RefuseMilliseconds = max(1, known.expires.Sub(l.config.Now()).Milliseconds())
	}
	return record
}

func compareRecords(a, b Record) int {
	if quarantined := b.RefuseMilliseconds > 0; quarantined != (a.RefuseMilliseconds > 0) {
		if quarantined {
			return 1
		}
		return -1
	}
	return strings.Compare(a.Identity.String(), b.Identity.String())
}
