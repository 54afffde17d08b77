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

func TestMatchLongestPrefix(t *testing.T) {
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

func TestHostRegions(t *testing.T) {
	table := NewTable(1, []Route{
		{Name: "free", Host: "a.example", PathPrefix: "/"},
		{Name: "one", Host: "a.example", PathPrefix: "/x/", Regions: []string{"r1", "r2"}},
		{Name: "two", Host: "a.example", PathPrefix: "/y/", Regions: []string{"r2", "r3"}},
		{Name: "apart", Host: "b.example", PathPrefix: "/x/", Regions: []string{"r1"}},
		{Name: "elsewhere", Host: "b.example", PathPrefix: "/y/", Regions: []string{"r2"}},
		{Name: "open", Host: "c.example", PathPrefix: "/"},
	}, nil, Limits{})
	cases := []struct {
		host       string
		want       []string
		restricted bool
	}{
		{"A.example:80", []string{"r2"}, true}, {"b.example", []string{}, true}, {"c.example", nil, false}, {"d.example", nil, false},
	}
	for _, test := range cases {
		got, restricted := table.HostRegions(test.host)
		if diff := cmp.Diff(test.want, got); diff != "" || restricted != test.restricted {
			t.Errorf("%s: restricted %v, regions (-want +got):\n%s", test.host, restricted, diff)
		}
	}
	if free, restricted := &table.Routes[0], &table.Routes[1]; !free.AllowsRegion("r9") || !restricted.AllowsRegion("r2") || restricted.AllowsRegion("r3") {
		t.Error("AllowsRegion is wrong for an unrestricted or a restricted route")
	}
}

func TestSplitterWeights(t *testing.T) {
	route := &Route{Name: "r", WeightedGroups: []WeightedGroup{{"a", 5}, {"b", 3}, {"c", 2}}}
	var splitter Splitter
	counts := map[string]int{}
	for sent := 1; sent <= 200; sent++ {
		counts[splitter.Pick(route)]++
		for _, group := range route.WeightedGroups {
			want := float64(sent) * group.Weight / 10
			if off := float64(counts[group.Group]) - want; off > 2 || off < -2 {
				t.Fatalf("after %d requests: group %s got %d, want %.1f within 2", sent, group.Group, counts[group.Group], want)
			}
		}
	}
}

// The first requests of many nodes must be distributed by weight, too.
func TestSplitterRandomStart(t *testing.T) {
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
		t.Errorf("%.2f of the nodes start with the group of weight 0.75, want 0.7 to 0.8", share)
	}
}

func TestSplitterWeightsChange(t *testing.T) {
	var splitter Splitter
	old := &Route{Name: "r", WeightedGroups: []WeightedGroup{{"a", 1}, {"b", 1}}}
	splitter.Pick(old)
	changed := &Route{Name: "r", WeightedGroups: []WeightedGroup{{"b", 0}, {"c", 1}}}
	for range 5 {
		if got := splitter.Pick(changed); got != "c" {
			t.Errorf("picked %s after the change, want c", got)
		}
	}
	plain := &Route{Name: "r", WeightedGroups: []WeightedGroup{{"d", 0}}}
	if got := splitter.Pick(plain); got != "d" {
		t.Errorf("picked %s from a single group, want d", got)
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
		{"no parts", nil, 5, []byte{}},
		{"descending across parts", [][]byte{join(record(2), record(9)), join(record(5))}, 5, join(record(9), record(5), record(2))},
		{"truncated to the largest", [][]byte{join(record(2), record(9)), join(record(5))}, 2, join(record(9), record(5))},
		{"duplicate records", [][]byte{join(record(7), record(7)), join(record(7))}, 5, join(record(7), record(7), record(7))},
		{"incomplete records", [][]byte{append(record(4), 0xff, 0xff), {0xff}}, 5, record(4)},
		{"unsigned bytes", [][]byte{join(record(0x7f), record(0x80))}, 1, record(0x80)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, MergeTop(test.parts, test.top)); diff != "" {
				t.Errorf("merged (-want +got):\n%s", diff)
			}
		})
	}
}

func TestMinShards(t *testing.T) {
	cases := []struct {
		ratio  float64
		shards int
		want   int
	}{{0.89, 10, 9}, {0.89, 15, 14}, {0.75, 10, 8}, {0.9, 10, 9}, {0.7, 10, 7}, {1, 3, 3}, {0, 3, 1}, {0.1, 10, 1}}
	for _, test := range cases {
		if got := MinShards(test.ratio, test.shards); got != test.want {
			t.Errorf("MinShards(%g, %d) = %d, want %d", test.ratio, test.shards, got, test.want)
		}
	}
}

func TestPolicyRow(t *testing.T) {
	cases := []struct {
		spec     RouteSpec
		priority client.Priority
		attempts int
	}{
		{RouteSpec{Name: "r", Timeout: time.Second, Attempts: 2, Rank: 0, MinShardFraction: 0.89}, client.PriorityCritical, 2},
		{RouteSpec{Name: "r", Timeout: time.Second, Attempts: 0, Rank: 9}, client.PriorityBatch, 1},
		{RouteSpec{Name: "r", Timeout: time.Second, Attempts: 99, Rank: 2}, client.PriorityNormal, maxAttempts},
	}
	for _, test := range cases {
		row := PolicyRow(test.spec)
		if err := policy.ValidateRow(row); err != nil {
			t.Error(err)
		}
		if row.Priority != test.priority || row.Retry.Attempts != test.attempts {
			t.Errorf("%+v: priority %s, attempts %d, want %s, %d", test.spec, row.Priority, row.Retry.Attempts, test.priority, test.attempts)
		}
	}
}
