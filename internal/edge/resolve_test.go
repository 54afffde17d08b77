package edge

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/directory"
	"github.com/doorpond/doorpond/internal/topology"
)

// If many nodes of a zone are lost, the successive probes must not delay the answer beyond the
// timeout.
func TestResolveTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := &topology.Nodes{}
		for i := range 40 {
			id := fmt.Sprint("n", i)
			nodes.Nodes = append(nodes.Nodes, topology.Node{ID: id, Address: id, Ready: true})
		}
		const probe = 150 * time.Millisecond
		probed := make(map[string]bool)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), resolveTimeout)
		defer cancel()
		answer, known := resolveReachable(ctx, nodes, topology.Place{}, directory.Options{EntryNodes: 2},
			func(_ context.Context, _ *topology.Nodes, addresses []string) []string {
				time.Sleep(probe)
				for _, address := range addresses {
					probed[address] = true
				}
				return addresses // IDs and addresses are the same here
			})
		if took := time.Since(began); took > resolveTimeout+probe {
			t.Errorf("answered after %v", took)
		}
		for _, address := range answer.Addresses {
			if probed[address] {
				t.Errorf("answer contains %s, which is unreachable", address)
			}
		}
		if !known || len(answer.Addresses) != 2 {
			t.Errorf("addresses %v, want 2", answer.Addresses)
		}
	})
}

func TestResolveWithoutNodes(t *testing.T) {
	n := &Node{}
	if answer, known := resolveReachable(t.Context(), nil, topology.Place{}, directory.Options{}, n.unreachableAt); known {
		t.Errorf("addresses %v without known nodes", answer.Addresses)
	}
}
