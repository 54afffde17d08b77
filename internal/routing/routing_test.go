package routing

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/policy"
)

func testTable() *Table {
	return NewTable(7, []Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "deep", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "shallow", Host: "a.example", PathPrefix: "/x/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}, nil, Limits{})
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/z", "shallow"},
		{"a.example", "/x", "root"},
		{"A.Example:8080", "/x/y/", "deep"},
		{"b.example", "/x/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
		{"", "/x/", ""},
	}
	table := testTable()
	for _, test := range cases {
		got := ""
		if route := table.Match(test.host, test.path); route != nil {
			got = route.Name
		}
		if got != test.want {
			t.Errorf("%s%s: route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

// TestRegionsOfAHost: callers ask for the addresses of a host, whatever its routes.
func TestRegionsOfAHost(t *testing.T) {
	table := NewTable(1, []Route{
		{Name: "free", Host: "a.example", PathPrefix: "/"},
		{Name: "one", Host: "a.example", PathPrefix: "/x/", Regions: []string{"r1", "r2"}},
		{Name: "two", Host: "a.example", PathPrefix: "/y/", Regions: []string{"r2", "r3"}},
		{Name: "apart", Host: "b.example", PathPrefix: "/x/", Regions: []string{"r1"}},
		{Name: "elsewhere", Host: "b.example", PathPrefix: "/y/", Regions: []string{"r2"}},
		{Name: "open", Host: "c.example", PathPrefix: "/"},
	}, nil, Limits{})
	cases := []struct {
		host  string
		want  []string
		bound bool
	}{
		{"A.example:80", []string{"r2"}, true}, {"b.example", []string{}, true}, {"c.example", nil, false}, {"d.example", nil, false},
	}
	for _, test := range cases {
		got, bound := table.AllowedRegions(test.host)
		if diff := cmp.Diff(test.want, got); diff != "" || bound != test.bound {
			t.Errorf("%s: bound %v (-want +got):\n%s", test.host, bound, diff)
		}
	}
	if free, bound := &table.Routes[0], &table.Routes[1]; !free.AllowsRegion("r9") || !bound.AllowsRegion("r2") || bound.AllowsRegion("r3") {
		t.Error("a route allows the wrong regions")
	}
}

func TestSplitterGivesEachShareItsWeight(t *testing.T) {
	route := &Route{Name: "r", WeightedGroups: []WeightedGroup{{"a", 5}, {"b", 3}, {"c", 2}}}
	var splitter Splitter
	counts := map[string]int{}
	for sent := 1; sent <= 200; sent++ {
		counts[splitter.Pick(route)]++
		for _, share := range route.WeightedGroups {
			due := float64(sent) * share.Weight / 10
			if off := float64(counts[share.Group]) - due; off > 2 || off < -2 {
				t.Fatalf("after %d requests %s had %d, %.1f were due", sent, share.Group, counts[share.Group], due)
			}
		}
	}
}

// TestNodesBeginTheirTurnsByChance: the first requests of many nodes are divided
// as the weights say.
func TestNodesBeginTheirTurnsByChance(t *testing.T) {
	route := &Route{Name: "r", WeightedGroups: []WeightedGroup{{"a", 3}, {"b", 1}}}
	const nodes = 4000
	first := 0
	for range nodes {
		var splitter Splitter
		if splitter.Pick(route) == "a" {
			first++
		}
	}
	if share := float64(first) / nodes; share < 0.7 || share > 0.8 {
		t.Errorf("%.2f of the nodes begin with the share of weight 0.75", share)
	}
}

func TestSplitterFollowsNewShares(t *testing.T) {
	var splitter Splitter
	old := &Route{Name: "r", WeightedGroups: []WeightedGroup{{"a", 1}, {"b", 1}}}
	splitter.Pick(old)
	changed := &Route{Name: "r", WeightedGroups: []WeightedGroup{{"b", 0}, {"c", 1}}}
	for range 5 {
		if got := splitter.Pick(changed); got != "c" {
			t.Errorf("picked %s", got)
		}
	}
	plain := &Route{Name: "r", WeightedGroups: []WeightedGroup{{"d", 0}}}
	if got := splitter.Pick(plain); got != "d" {
		t.Errorf("picked %s of a single share", got)
	}
}

func record(first byte) []byte { return bytes.Repeat([]byte{first}, RecordBytes) }

func join(records ...[]byte) []byte { return bytes.Join(records, nil) }

func TestMergeTop(t *testing.T) {
	cases := []struct {
		name  string
		parts [][]byte
		top   int
		want  []byte
	}{
		{"none", nil, 5, []byte{}},
		{"falling over all parts", [][]byte{join(record(2), record(9)), join(record(5))}, 5, join(record(9), record(5), record(2))},
		{"cut to the greatest", [][]byte{join(record(2), record(9)), join(record(5))}, 2, join(record(9), record(5))},
		{"equal records all count", [][]byte{join(record(7), record(7)), join(record(7))}, 5, join(record(7), record(7), record(7))},
		{"a rest is no record", [][]byte{append(record(4), 0xff, 0xff), {0xff}}, 5, record(4)},
		{"bytes are unsigned", [][]byte{join(record(0x7f), record(0x80))}, 1, record(0x80)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, MergeTop(test.parts, test.top)); diff != "" {
				t.Errorf("merged (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLeastShards(t *testing.T) {
	cases := []struct {
		share  float64
		shards int
		want   int
	}{{0.89, 10, 9}, {0.89, 15, 14}, {0.75, 10, 8}, {0.9, 10, 9}, {0.7, 10, 7}, {1, 3, 3}, {0, 3, 1}, {0.1, 10, 1}}
	for _, test := range cases {
		if got := MinShards(test.share, test.shards); got != test.want {
			t.Errorf("%g of %d: %d, want %d", test.share, test.shards, got, test.want)
		}
	}
}

func TestPolicyRowIsValid(t *testing.T) {
	cases := []struct {
		terms    RouteSpec
		priority client.Priority
		attempts int
	}{
		{RouteSpec{Name: "r", Timeout: time.Second, Attempts: 2, Rank: 0, MinShardRatio: 0.89}, client.PriorityCritical, 2},
		{RouteSpec{Name: "r", Timeout: time.Second, Attempts: 0, Rank: 9}, client.PriorityBatch, 1},
		{RouteSpec{Name: "r", Timeout: time.Second, Attempts: 99, Rank: 2}, client.PriorityNormal, maxAttempts},
	}
	for _, test := range cases {
		row := PolicyRow(test.terms)
		if err := policy.ValidateRow(row); err != nil {
			t.Error(err)
		}
		if row.Priority != test.priority || row.Retry.Attempts != test.attempts {
			t.Errorf("%+v: priority %s, attempts %d", test.terms, row.Priority, row.Retry.Attempts)
		}
	}
}
