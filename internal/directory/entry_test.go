package directory

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/topology"
)

func sizedNode(address string, place topology.Place, processors float64) topology.Node {
	sized := node(address, place, true)
	sized.Processors = processors
	return sized
}

func unreadySizedNode(address string, place topology.Place, processors float64) topology.Node {
	unready := sizedNode(address, place, processors)
	unready.Ready = false
	return unready
}

func overloadedSizedNode(address string, place topology.Place, processors float64) topology.Node {
	overloaded := sizedNode(address, place, processors)
	overloaded.Overloaded = true
	return overloaded
}

func TestEntryNodes(t *testing.T) {
	cases := []struct {
		name  string
		nodes []topology.Node
		want  []string
	}{
		{"desired number per zone", []topology.Node{
			node("a1", placeA, true), node("a2", placeA, true), node("a3", placeA, true),
			node("b1", placeB, true), node("c1", placeC, true), node("c2", placeC, true), node("c3", placeC, true),
		}, []string{"a1", "a2", "b1", "c1", "c2"}},
		{"most CPU time first", []topology.Node{
			sizedNode("a1", placeA, 0.2), sizedNode("a2", placeA, 0.8), sizedNode("a3", placeA, 0.2), sizedNode("a4", placeA, 0.8),
		}, []string{"a2", "a4"}},
		{"overloaded nodes are not counted", []topology.Node{
			overloadedNode("a1", placeA), node("a2", placeA, true), overloadedNode("a3", placeA), node("a4", placeA, true), node("a5", placeA, true),
		}, []string{"a1", "a2", "a3", "a4"}},
		{"unready nodes are excluded", []topology.Node{
			node("a1", placeA, false), node("a2", placeA, true), node("a3", placeA, true),
		}, []string{"a2", "a3"}},
		{"small nodes are excluded if the region has larger ones", []topology.Node{
			sizedNode("a1", placeA, 0.8), sizedNode("a2", placeA, 0.2), sizedNode("b1", placeB, 0.2), sizedNode("b2", placeB, 0.2), sizedNode("c1", placeC, 0.2),
		}, []string{"a1", "c1"}},
		{"an overloaded large node does not exclude small ones", []topology.Node{
			overloadedSizedNode("a1", placeA, 0.8), sizedNode("a2", placeA, 0.2), sizedNode("a3", placeA, 0.2),
		}, []string{"a1", "a2", "a3"}},
		{"small nodes replace the capacity of lost large ones", []topology.Node{
			unreadySizedNode("a1", placeA, 0.8), unreadySizedNode("a2", placeA, 0.8), sizedNode("a3", placeA, 0.4), sizedNode("a4", placeA, 0.4),
			sizedNode("a5", placeA, 0.4), sizedNode("a6", placeA, 0.4), sizedNode("a7", placeA, 0.4),
		}, []string{"a3", "a4", "a5", "a6"}},
		{"at most four times the desired number", []topology.Node{
			unreadySizedNode("a0", placeA, 64), sizedNode("a1", placeA, 1), sizedNode("a2", placeA, 1), sizedNode("a3", placeA, 1), sizedNode("a4", placeA, 1),
			sizedNode("a5", placeA, 1), sizedNode("a6", placeA, 1), sizedNode("a7", placeA, 1), sizedNode("a8", placeA, 1), sizedNode("a9", placeA, 1),
		}, []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"}},
		{"small differences are ignored", []topology.Node{
			sizedNode("a1", placeA, 0.8), sizedNode("a2", placeA, 0.78), sizedNode("a3", placeA, 0.78),
		}, []string{"a1", "a2"}},
		{"no nodes", nil, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, entry := range EntryNodes(test.nodes, 2) {
				got = append(got, entry.ID)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("entry nodes (-want +got):\n%s", diff)
			}
		})
	}
}

func TestWatchers(t *testing.T) {
	nodes := []topology.Node{
		sizedNode("a1", placeA, 0.2), sizedNode("a2", placeA, 0.8), node("a3", placeA, false), sizedNode("b1", placeB, 0.8), overloadedNode("a4", placeA),
	}
	var got []string
	for _, watcher := range Watchers(nodes, placeA, 2) {
		got = append(got, watcher.ID)
	}
	if diff := cmp.Diff([]string{"a2", "a1"}, got); diff != "" {
		t.Errorf("watchers (-want +got):\n%s", diff)
	}
}
