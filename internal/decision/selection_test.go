package decision

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/topology"
)

func testSnapshot() *catalogue.Snapshot {
	return &catalogue.Snapshot{ID: 7, Indexes: []catalogue.Index{
		{Name: "bus", Groups: []string{"b0", "b1", "b2"}},
		{Name: "ferry", Groups: []string{"f0", "f1"}},
	}}
}

func TestSelectShards(t *testing.T) {
	busHolder, ferryHolder := catalogue.ShardOf("1234", 3), catalogue.ShardOf("1234", 2)
	cases := []struct {
		name   string
		query  client.Query
		change func(*policy.Row)
		asked  []string
		reason map[client.MissingReason]int
	}{
		{name: "phrase asks all", query: client.Query{Phrase: "x"}, asked: []string{"bus/0", "bus/1", "bus/2", "ferry/0", "ferry/1"}},
		{
			name: "card asks its holder in each index", query: client.Query{Card: "1234"},
			asked:  []string{fmt.Sprint("bus/", busHolder), fmt.Sprint("ferry/", ferryHolder)},
			reason: map[client.MissingReason]int{client.NotAskedKey: 3},
		},
		{
			name: "broadcast asks all for a card", query: client.Query{Card: "1234"},
			change: func(row *policy.Row) { row.Shards.Selection = policy.SelectBroadcast },
			asked:  []string{"bus/0", "bus/1", "bus/2", "ferry/0", "ferry/1"},
		},
		{
			name: "weight 0 leaves an index out", query: client.Query{Phrase: "x"},
			change: func(row *policy.Row) { row.Shards.IndexWeights = map[string]float64{"bus": 0} },
			asked:  []string{"ferry/0", "ferry/1"},
			reason: map[client.MissingReason]int{client.NotAskedPolicy: 3},
		},
		{
			name: "an index that is not wanted is not mentioned", query: client.Query{Phrase: "x", Indexes: []string{"ferry"}},
			asked: []string{"ferry/0", "ferry/1"},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			row := testRow()
			if test.change != nil {
				test.change(row)
			}
			selected := SelectShards(testSnapshot(), row, &test.query, "id")
			var asked []string
			for _, shard := range selected.Asked {
				asked = append(asked, fmt.Sprint(shard.Index, "/", shard.Shard))
			}
			reasons := map[client.MissingReason]int{}
			for _, report := range selected.NotAsked {
				reasons[report.Reason]++
			}
			if test.reason == nil {
				test.reason = map[client.MissingReason]int{}
			}
			if diff := cmp.Diff(test.asked, asked); diff != "" {
				t.Errorf("asked (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.reason, reasons); diff != "" {
				t.Errorf("not asked (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSelectShardsFraction(t *testing.T) {
	row := testRow()
	row.Shards.Fraction = 0.4
	row.Shards.IndexWeights = map[string]float64{"ferry": 10}
	ferry := 0
	const queries = 500
	for i := range queries {
		id := fmt.Sprint("query", i)
		first := SelectShards(testSnapshot(), row, &client.Query{Phrase: "x"}, id)
		second := SelectShards(testSnapshot(), row, &client.Query{Phrase: "x"}, id)
		if diff := cmp.Diff(first, second); diff != "" {
			t.Fatalf("the same query selects differently:\n%s", diff)
		}
		if len(first.Asked) != 2 || len(first.NotAsked) != 3 {
			t.Fatalf("asked %d and left out %d, want 2 and 3", len(first.Asked), len(first.NotAsked))
		}
		for _, shard := range first.Asked {
			if shard.Index == "ferry" {
				ferry++
			}
		}
	}
	if share := float64(ferry) / (2 * queries); share < 0.7 {
		t.Errorf("the heavier index got a share of %.2f", share)
	}
}

func TestChooseReplica(t *testing.T) {
	weights := policy.Replicas{ZoneWeight: 1, RegionWeight: 1}
	near := Candidate{Distance: topology.SameZone, Limit: 2, Slots: 2, Warmth: 1, ConnectionAvailable: true, LatencyEWMA: time.Millisecond}
	with := func(base Candidate, change func(*Candidate)) Candidate {
		change(&base)
		return base
	}
	region := with(near, func(c *Candidate) { c.Distance = topology.SameRegion })
	far := with(near, func(c *Candidate) { c.Distance = topology.OtherRegion })
	tried := with(near, func(c *Candidate) { c.Tried = true })
	ejected := with(near, func(c *Candidate) { c.Ejected = true })
	saturated := with(near, func(c *Candidate) { c.InFlight = 2 })
	unconnected := with(near, func(c *Candidate) { c.ConnectionAvailable = false })
	slow := with(near, func(c *Candidate) { c.LatencyEWMA = 20 * time.Millisecond })
	cold := with(near, func(c *Candidate) { c.Warmth = 0 })
	backing := with(near, func(c *Candidate) { c.BackingOff = true })
	busy := with(near, func(c *Candidate) { c.ReportedLoad = 9 })
	barred := with(near, func(c *Candidate) { c.Excluded = true })
	cases := []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"none", nil, NoCandidate},
		{"refusing spills to the region", []Candidate{backing, region}, 1},
		{"saturated before refusing", []Candidate{backing, saturated}, 1},
		{"refusing before ejected", []Candidate{ejected, backing}, 1},
		{"slow spills to the region", []Candidate{slow, region}, 1},
		{"queueing spills to the region", []Candidate{busy, region}, 1},
		{"nearest first", []Candidate{region, near}, 1},
		{"saturated spills to the region", []Candidate{saturated, region}, 1},
		{"ejected spills to the region", []Candidate{ejected, region}, 1},
		{"saturated before ejected", []Candidate{ejected, saturated}, 1},
		{"ejected rather than none", []Candidate{ejected, tried}, 0},
		{"weight 0 is never used", []Candidate{far}, NoCandidate},
		{"barred is never used, though the other is ejected", []Candidate{barred, ejected}, 1},
		{"barred is never used, though there is no other", []Candidate{barred, barred}, NoCandidate},
		{"tried is never used", []Candidate{tried}, NoCandidate},
		{"no connection is never used", []Candidate{unconnected}, NoCandidate},
		{"slow loses to fast", []Candidate{slow, near}, 1},
		{"cold loses to warm", []Candidate{cold, near}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for random := range uint64(8) {
				if got := ChooseReplica(test.candidates, weights, random<<32|random); got != test.want {
					t.Errorf("random %d chose %d, want %d", random, got, test.want)
				}
			}
		})
	}
}

func TestChooseAnother(t *testing.T) {
	weights := policy.Replicas{ZoneWeight: 1}
	near := Candidate{Limit: 2, Slots: 2, Warmth: 1, ConnectionAvailable: true}
	cases := []struct {
		name   string
		change func(*Candidate)
		want   int
	}{
		{"with room", func(*Candidate) {}, 0},
		{"saturated", func(c *Candidate) { c.InFlight = 2 }, 0},
		{"refusing", func(c *Candidate) { c.BackingOff = true }, NoCandidate},
		{"ejected", func(c *Candidate) { c.Ejected = true }, NoCandidate},
		{"tried", func(c *Candidate) { c.Tried = true }, NoCandidate},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			candidate := near
			test.change(&candidate)
			if got := ChooseAlternate([]Candidate{candidate}, weights, 0); got != test.want {
				t.Errorf("chose %d, want %d", got, test.want)
			}
		})
	}
}

func TestRingsAreWeighed(t *testing.T) {
	near := Candidate{Limit: 2, Slots: 2, Warmth: 1, ConnectionAvailable: true, LatencyEWMA: 30 * time.Millisecond}
	region := near
	region.Distance = topology.SameRegion
	region.LatencyEWMA = 10 * time.Millisecond
	for _, test := range []struct {
		zoneWeight float64
		want       int
	}{{4, 0}, {2, 1}} {
		weights := policy.Replicas{ZoneWeight: test.zoneWeight, RegionWeight: 1}
		if got := ChooseReplica([]Candidate{near, region}, weights, 0); got != test.want {
			t.Errorf("with zone weight %g, a near replica 3 times slower: chose %d, want %d", test.zoneWeight, got, test.want)
		}
	}
}
