package soak

import "testing"

// TestPortsDisjoint checks that no port is handed out twice, even if unused, and
// not by two allocators.
func TestPortsDisjoint(t *testing.T) {
	seen := make(map[string]bool)
	var worlds [3]ports
	for i := range worlds {
		defer worlds[i].close()
		for range 2 * blockSize {
			address, err := worlds[i].freeAddress()
			if err != nil {
				t.Fatal(err)
			}
			if seen[address] {
				t.Fatalf("%s was handed out twice", address)
			}
			seen[address] = true
		}
	}
}
