package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/topology"
)

var (
	placeA = topology.Place{Region: "r1", Zone: "a"}
	placeB = topology.Place{Region: "r1", Zone: "b"}
	placeC = topology.Place{Region: "r2", Zone: "c"}
)

func node(address string, place topology.Place, ready bool) topology.Node {
	return topology.Node{ID: address, Address: address, Place: place, Ready: ready}
}

func overloadedNode(address string, place topology.Place) topology.Node {
	overloaded := node(address, place, true)
	overloaded.Overloaded = true
	return overloaded
}

func TestResolve(t *testing.T) {
	all := []topology.Node{
		node("a1", placeA, true), node("a2", placeA, true), node("b1", placeB, true), node("c1", placeC, true),
	}
	cases := []struct {
		name       string
		nodes      []topology.Node
		caller     topology.Place
		entryNodes int
		want       []string
	}{
		{"zone of the caller", all, placeA, 2, []string{"a1", "a2"}},
		{"zone with too few nodes", all, placeA, 3, []string{"a1", "a2"}},
		{"zone with too many nodes", append(all, node("a3", placeA, true)), placeA, 2, []string{"a1", "a2"}},
		{"overloaded node not counted", []topology.Node{overloadedNode("a1", placeA), node("a2", placeA, true), node("a3", placeA, true), node("a4", placeA, true)}, placeA, 2, []string{"a1", "a2", "a3"}},
		{"zone without nodes", all, topology.Place{Region: "r1", Zone: "x"}, 2, []string{"a1", "a2", "b1"}},
		{"unknown place", all, topology.Place{}, 2, []string{"a1", "a2", "b1", "c1"}},
		{"only ready nodes", []topology.Node{node("a1", placeA, false), node("c1", placeC, true)}, placeA, 1, []string{"c1"}},
		{"no ready nodes", []topology.Node{node("a1", placeA, false), node("c1", placeC, false)}, placeA, 1, []string{"a1"}},
		{"all nodes of the zone overloaded", []topology.Node{overloadedNode("a1", placeA), node("b1", placeB, true), node("c1", placeC, true)}, placeA, 1, []string{"a1", "b1"}},
		{"some nodes of the zone overloaded", []topology.Node{overloadedNode("a1", placeA), node("a2", placeA, true), node("b1", placeB, true)}, placeA, 1, []string{"a1", "a2"}},
		{"no nodes", nil, placeA, 1, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			answer, known := Resolve(&topology.Nodes{Nodes: test.nodes}, test.caller, Options{TTL: time.Second, EntryNodes: test.entryNodes})
			if diff := cmp.Diff(test.want, answer.Addresses); diff != "" || known != (len(test.want) > 0) {
				t.Errorf("known %v, addresses (-want +got):\n%s", known, diff)
			}
		})
	}
	if _, known := Resolve(nil, placeA, Options{}); known {
		t.Error("known is true before any node is known")
	}
}

// Callers must not be directed out of the allowed regions because a nearer node is
// overloaded, only if no allowed node is left.
func TestResolveRestrictRegions(t *testing.T) {
	placeD := topology.Place{Region: "r3", Zone: "d"}
	nearOverloaded := []topology.Node{overloadedNode("a1", placeA), overloadedNode("b1", placeB), node("c1", placeC, true), node("d1", placeD, true)}
	cases := []struct {
		name     string
		nodes    []topology.Node
		restrict bool
		regions  []string
		want     []string
	}{
		{"unrestricted", nearOverloaded, false, nil, []string{"a1", "b1", "c1", "d1"}},
		{"own region", nearOverloaded, true, []string{"r1"}, []string{"a1", "b1"}},
		{"another region", nearOverloaded, true, []string{"r3"}, []string{"a1", "b1", "d1"}},
		{"no common region", nearOverloaded, true, nil, []string{"a1", "b1"}},
		{"own region lost", nearOverloaded[2:], true, []string{"r3"}, []string{"d1"}},
		{"all allowed regions lost", nearOverloaded[2:3], true, []string{"r3"}, []string{"c1"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			options := Options{EntryNodes: 1, RestrictRegions: test.restrict, Regions: test.regions}
			answer, _ := Resolve(&topology.Nodes{Nodes: test.nodes}, placeA, options)
			if diff := cmp.Diff(test.want, answer.Addresses); diff != "" {
				t.Errorf("addresses (-want +got):\n%s", diff)
			}
		})
	}
}

func TestResolveMaxAddresses(t *testing.T) {
	nodes := &topology.Nodes{}
	for i := range 3 * maxAddresses {
		nodes.Nodes = append(nodes.Nodes, node(fmt.Sprint(i), placeA, true))
	}
	answer, _ := Resolve(nodes, placeA, Options{EntryNodes: 3 * maxAddresses})
	if len(answer.Addresses) != maxAddresses {
		t.Errorf("%d addresses, want %d", len(answer.Addresses), maxAddresses)
	}
}

func TestResolveTTL(t *testing.T) {
	options := Options{TTL: 5 * time.Second, ShortTTL: time.Second, EntryNodes: 2}
	for want, nodes := range map[time.Duration][]topology.Node{
		options.ShortTTL: {node("a1", placeA, true)},
		options.TTL:      {node("a1", placeA, true), node("a2", placeA, true)},
	} {
		if answer, _ := Resolve(&topology.Nodes{Nodes: nodes}, placeA, options); answer.TTL != want {
			t.Errorf("%d nodes: TTL %v, want %v", len(nodes), answer.TTL, want)
		}
	}
}
