package soak

import "testing"

// TestPortsDisjoint checks that no port is handed out twice, even if unused, and
// not by two allocators.
func TestPortsDisjoint(t *testing.T) {
	seen := make(map[string]bool)
	var allocators [3]ports
	for i := range allocators {
		defer allocators[i].close()
		for range 2 * blockSize {
			address, err := allocators[i].freeAddress()
			if err != nil {
				t.Fatal(err)
			}
			if seen[address] {
				t.Fatalf("%s was allocated twice", address)
			}
			seen[address] = true
		}
	}
}
