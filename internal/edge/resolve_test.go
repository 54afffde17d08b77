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

// TestAnAnswerOfTheDirectoryIsBounded: where many nodes of a zone are lost, the looks
// at one pair after the other must not add up to more than callers wait.
func TestAnAnswerOfTheDirectoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := &topology.Nodes{}
		for i := range 40 {
			id := fmt.Sprint("n", i)
			nodes.Nodes = append(nodes.Nodes, topology.Node{ID: id, Address: id, Ready: true})
		}
		const look = 150 * time.Millisecond
		looked := make(map[string]bool)
		asked := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), resolveTimeout)
		defer cancel()
		answer, known := resolveReachable(ctx, nodes, topology.Place{}, directory.Options{EntryNodes: 2},
			func(_ context.Context, _ *topology.Nodes, addresses []string) []string {
				time.Sleep(look)
				for _, address := range addresses {
					looked[address] = true
				}
				return addresses // IDs and addresses are the same here
			})
		if took := time.Since(asked); took > resolveTimeout+look {
			t.Errorf("answered after %v", took)
		}
		for _, address := range answer.Addresses {
			if looked[address] {
				t.Errorf("names %s, which cannot be reached", address)
			}
		}
		if !known || len(answer.Addresses) != 2 {
			t.Errorf("names %v", answer.Addresses)
		}
	})
}

// TestADirectoryThatKnowsNoNodeSaysSo: a node that has just started is asked as well.
func TestADirectoryThatKnowsNoNodeSaysSo(t *testing.T) {
	n := &Node{}
	if answer, known := resolveReachable(t.Context(), nil, topology.Place{}, directory.Options{}, n.unreachable); known {
		t.Errorf("names %v", answer.Addresses)
	}
}
