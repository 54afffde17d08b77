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

func loaded(address string, place topology.Place) topology.Node {
	made := node(address, place, true)
	made.Overloaded = true
	return made
}

func TestResolve(t *testing.T) {
	all := []topology.Node{
		node("a1", placeA, true), node("a2", placeA, true), node("b1", placeB, true), node("c1", placeC, true),
	}
	cases := []struct {
		name   string
		nodes  []topology.Node
		caller topology.Place
		wanted int
		want   []string
	}{
		{"the caller's zone", all, placeA, 2, []string{"a1", "a2"}},
		{"too few in the zone: callers are not led away from it", all, placeA, 3, []string{"a1", "a2"}},
		{"as many as are wanted", append(all, node("a3", placeA, true)), placeA, 2, []string{"a1", "a2"}},
		{"a loaded one is not counted", []topology.Node{loaded("a1", placeA), node("a2", placeA, true), node("a3", placeA, true), node("a4", placeA, true)}, placeA, 2, []string{"a1", "a2", "a3"}},
		{"a zone without nodes has those of its region", all, topology.Place{Region: "r1", Zone: "x"}, 2, []string{"a1", "a2", "b1"}},
		{"an unknown place", all, topology.Place{}, 2, []string{"a1", "a2", "b1", "c1"}},
		{"only ready nodes", []topology.Node{node("a1", placeA, false), node("c1", placeC, true)}, placeA, 1, []string{"c1"}},
		{"all when none is ready", []topology.Node{node("a1", placeA, false), node("c1", placeC, false)}, placeA, 1, []string{"a1"}},
		{"farther ones where all near ones are loaded", []topology.Node{loaded("a1", placeA), node("b1", placeB, true), node("c1", placeC, true)}, placeA, 1, []string{"a1", "b1"}},
		{"loaded ones count where others are not", []topology.Node{loaded("a1", placeA), node("a2", placeA, true), node("b1", placeB, true)}, placeA, 1, []string{"a1", "a2"}},
		{"none", nil, placeA, 1, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			answer, known := Resolve(&topology.Nodes{Nodes: test.nodes}, test.caller, Options{TTL: time.Second, EntryNodes: test.wanted})
			if diff := cmp.Diff(test.want, answer.Addresses); diff != "" || known != (len(test.want) > 0) {
				t.Errorf("known %v, addresses (-want +got):\n%s", known, diff)
			}
		})
	}
	if _, known := Resolve(nil, placeA, Options{}); known {
		t.Error("an answer before any node is known")
	}
}

// TestCallersOfABoundHostStayInItsRegions: a near node that is loaded is no reason to
// lead them where their requests must not go; only where none is left elsewhere.
func TestCallersOfABoundHostStayInItsRegions(t *testing.T) {
	placeD := topology.Place{Region: "r3", Zone: "d"}
	nearLoaded := []topology.Node{loaded("a1", placeA), loaded("b1", placeB), node("c1", placeC, true), node("d1", placeD, true)}
	cases := []struct {
		name    string
		nodes   []topology.Node
		bound   bool
		regions []string
		want    []string
	}{
		{"not bound", nearLoaded, false, nil, []string{"a1", "b1", "c1", "d1"}},
		{"bound to the caller's own", nearLoaded, true, []string{"r1"}, []string{"a1", "b1"}},
		{"bound to another one", nearLoaded, true, []string{"r3"}, []string{"a1", "b1", "d1"}},
		{"bound to none that all routes allow", nearLoaded, true, nil, []string{"a1", "b1"}},
		{"the caller's region is lost", nearLoaded[2:], true, []string{"r3"}, []string{"d1"}},
		{"all allowed regions are lost", nearLoaded[2:3], true, []string{"r3"}, []string{"c1"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			options := Options{EntryNodes: 1, RestrictRegions: test.bound, Regions: test.regions}
			answer, _ := Resolve(&topology.Nodes{Nodes: test.nodes}, placeA, options)
			if diff := cmp.Diff(test.want, answer.Addresses); diff != "" {
				t.Errorf("addresses (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAnAnswerIsBounded(t *testing.T) {
	nodes := &topology.Nodes{}
	for i := range 3 * maxAddresses {
		nodes.Nodes = append(nodes.Nodes, node(fmt.Sprint(i), placeA, true))
	}
	answer, _ := Resolve(nodes, placeA, Options{EntryNodes: 3 * maxAddresses})
	if len(answer.Addresses) != maxAddresses {
		t.Errorf("%d addresses", len(answer.Addresses))
	}
}

// TestWhoKnowsFewNodesAsksAgainSoon: when the only one is lost, it has nowhere to go.
func TestWhoKnowsFewNodesAsksAgainSoon(t *testing.T) {
	options := Options{TTL: 5 * time.Second, ShortTTL: time.Second, EntryNodes: 2}
	for want, nodes := range map[time.Duration][]topology.Node{
		options.ShortTTL: {node("a1", placeA, true)},
		options.TTL:      {node("a1", placeA, true), node("a2", placeA, true)},
	} {
		if answer, _ := Resolve(&topology.Nodes{Nodes: nodes}, placeA, options); answer.TTL != want {
			t.Errorf("%d nodes are kept for %v", len(nodes), answer.TTL)
		}
	}
}
