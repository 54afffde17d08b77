package directory

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/topology"
)

func sized(address string, place topology.Place, processors float64) topology.Node {
	made := node(address, place, true)
	made.Processors = processors
	return made
}

// gone is a node that is recorded and not ready.
func gone(address string, place topology.Place, processors float64) topology.Node {
	made := sized(address, place, processors)
	made.Ready = false
	return made
}

func overloaded(address string, place topology.Place, processors float64) topology.Node {
	made := sized(address, place, processors)
	made.Overloaded = true
	return made
}

func TestEntryNodes(t *testing.T) {
	cases := []struct {
		name  string
		nodes []topology.Node
		want  []string
	}{
		{"the same number of each zone", []topology.Node{
			node("a1", placeA, true), node("a2", placeA, true), node("a3", placeA, true),
			node("b1", placeB, true), node("c1", placeC, true), node("c2", placeC, true), node("c3", placeC, true),
		}, []string{"a1", "a2", "b1", "c1", "c2"}},
		{"those with the most processor time", []topology.Node{
			sized("a1", placeA, 0.2), sized("a2", placeA, 0.8), sized("a3", placeA, 0.2), sized("a4", placeA, 0.8),
		}, []string{"a2", "a4"}},
		{"one more for each that is loaded", []topology.Node{
			loaded("a1", placeA), node("a2", placeA, true), loaded("a3", placeA), node("a4", placeA, true), node("a5", placeA, true),
		}, []string{"a1", "a2", "a3", "a4"}},
		{"none that is not ready", []topology.Node{
			node("a1", placeA, false), node("a2", placeA, true), node("a3", placeA, true),
		}, []string{"a2", "a3"}},
		{"small ones are none while their region has better ones", []topology.Node{
			sized("a1", placeA, 0.8), sized("a2", placeA, 0.2), sized("b1", placeB, 0.2), sized("b2", placeB, 0.2), sized("c1", placeC, 0.2),
		}, []string{"a1", "c1"}},
		{"a better one that is loaded does not keep small ones away", []topology.Node{
			overloaded("a1", placeA, 0.8), sized("a2", placeA, 0.2), sized("a3", placeA, 0.2),
		}, []string{"a1", "a2", "a3"}},
		{"as many small ones as take over what the best that are gone have served", []topology.Node{
			gone("a1", placeA, 0.8), gone("a2", placeA, 0.8), sized("a3", placeA, 0.4), sized("a4", placeA, 0.4),
			sized("a5", placeA, 0.4), sized("a6", placeA, 0.4), sized("a7", placeA, 0.4),
		}, []string{"a3", "a4", "a5", "a6"}},
		{"but not more than four times the wanted number", []topology.Node{
			gone("a0", placeA, 64), sized("a1", placeA, 1), sized("a2", placeA, 1), sized("a3", placeA, 1), sized("a4", placeA, 1),
			sized("a5", placeA, 1), sized("a6", placeA, 1), sized("a7", placeA, 1), sized("a8", placeA, 1), sized("a9", placeA, 1),
		}, []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"}},
		{"small differences count for nothing", []topology.Node{
			sized("a1", placeA, 0.8), sized("a2", placeA, 0.78), sized("a3", placeA, 0.78),
		}, []string{"a1", "a2"}},
		{"none", nil, nil},
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
		sized("a1", placeA, 0.2), sized("a2", placeA, 0.8), node("a3", placeA, false), sized("b1", placeB, 0.8), loaded("a4", placeA),
	}
	var got []string
	for _, watcher := range Watchers(nodes, placeA, 2) {
		got = append(got, watcher.ID)
	}
	if diff := cmp.Diff([]string{"a2", "a1"}, got); diff != "" {
		t.Errorf("watchers (-want +got):\n%s", diff)
	}
}
