package quarantine

import (
	"testing"
	"time"
)

// No store entry, whoever wrote it, may cause a panic, exceed the limit on entries or extend a
// quarantine beyond its duration.
func FuzzHandleStored(f *testing.F) {
	identity := IdentityOf(message(nil)).String()
	f.Add(identity, []byte(`{"refuse_ms":1000,"ended":3}`))
	f.Add(identity, []byte("null"))
	f.Add("", []byte("{"))
	f.Add(identity[1:], []byte(`{"refuse_ms":-1}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		list := New(Config{Duration: time.Minute, MaxEntries: 1, Broadcast: func(Record) {}})
		list.HandleStored(key, value)
		list.HandleStored(identity, value)
		if entries := len(list.Records()); entries > 1 {
			t.Errorf("%d entries, want at most 1", entries)
		}
		for _, record := range list.Records() {
			if record.RefuseFor() > time.Minute {
				t.Errorf("quarantined for %v", record.RefuseFor())
			}
		}
	})
}
