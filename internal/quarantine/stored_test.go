package quarantine

import (
	"testing"
	"time"
)

// FuzzAdopt: no entry of another writer makes a node panic or hold more requests than it may.
func FuzzAdopt(f *testing.F) {
	known := IdentityOf(message(nil)).String()
	f.Add(known, []byte(`{"refuse_ms":1000,"ended":3}`))
	f.Add(known, []byte("null"))
	f.Add("", []byte("{"))
	f.Add(known[1:], []byte(`{"refuse_ms":-1}`))
	f.Fuzz(func(t *testing.T, identity string, value []byte) {
		list := New(Config{Duration: time.Minute, MaxEntries: 1, Broadcast: func(Record) {}})
		list.Adopt(identity, value)
		list.Adopt(known, value)
		if held := len(list.Records()); held > 1 {
			t.Errorf("%d requests are held", held)
		}
		for _, record := range list.Records() {
			if record.RefuseFor() > time.Minute {
				t.Errorf("refused for %v", record.RefuseFor())
			}
		}
	})
}
