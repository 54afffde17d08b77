package httpsd_test

import (
	"testing"

	"github.com/doorpond/doorpond/internal/machines/httpsd"
)

// FuzzDecode checks that no response causes a panic or decodes to an invalid replica.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`[{"targets":["10.0.0.1:9000"],"labels":{"role":"backend","group":"g","slots":"5"}}]`))
	f.Add([]byte(`[{"targets":null,"labels":null}]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		list, err := httpsd.Decode(body)
		if err != nil {
			return
		}
		for _, replica := range list.Replicas {
			if replica.Address == "" || replica.Slots < 0 || replica.ConnectionLimit < 0 {
				t.Errorf("invalid replica %+v decoded from %q", replica, body)
			}
		}
	})
}
