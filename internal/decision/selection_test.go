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
	busOwner, ferryOwner := catalogue.ShardOf("1234", 3), catalogue.ShardOf("1234", 2)
	cases := []struct {
		name   string
		query  client.Query
		change func(*policy.Row)
		asked  []string
		reason map[client.MissingReason]int
	}{
		{name: "phrase asks all shards", query: client.Query{Phrase: "x"}, asked: []string{"bus/0", "bus/1", "bus/2", "ferry/0", "ferry/1"}},
		{
			name: "card asks its shard in each index", query: client.Query{Card: "1234"},
			asked:  []string{fmt.Sprint("bus/", busOwner), fmt.Sprint("ferry/", ferryOwner)},
			reason: map[client.MissingReason]int{client.NotAskedKey: 3},
		},
		{
			name: "broadcast asks all shards for a card", query: client.Query{Card: "1234"},
			change: func(row *policy.Row) { row.Shards.Selection = policy.SelectBroadcast },
			asked:  []string{"bus/0", "bus/1", "bus/2", "ferry/0", "ferry/1"},
		},
		{
			name: "weight 0 excludes an index", query: client.Query{Phrase: "x"},
			change: func(row *policy.Row) { row.Shards.IndexWeights = map[string]float64{"bus": 0} },
			asked:  []string{"ferry/0", "ferry/1"},
			reason: map[client.MissingReason]int{client.NotAskedPolicy: 3},
		},
		{
			name: "unsearched index is not reported", query: client.Query{Phrase: "x", Indexes: []string{"ferry"}},
			asked: []string{"ferry/0", "ferry/1"},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			row := testRow()
			if test.change != nil {
				test.change(row)
			}
			selection := SelectShards(testSnapshot(), row, &test.query, "id")
			var asked []string
			for _, shard := range selection.Asked {
				asked = append(asked, fmt.Sprint(shard.Index, "/", shard.Shard))
			}
			reasons := map[client.MissingReason]int{}
			for _, report := range selection.NotAsked {
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
			t.Fatalf("selections of the same query differ:\n%s", diff)
		}
		if len(first.Asked) != 2 || len(first.NotAsked) != 3 {
			t.Fatalf("%d shards asked and %d not asked, want 2 and 3", len(first.Asked), len(first.NotAsked))
		}
		for _, shard := range first.Asked {
			if shard.Index == "ferry" {
				ferry++
			}
		}
	}
	if share := float64(ferry) / (2 * queries); share < 0.7 {
		t.Errorf("share of the heavier index is %.2f, want at least 0.70", share)
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
	backingOff := with(near, func(c *Candidate) { c.BackingOff = true })
	busy := with(near, func(c *Candidate) { c.ReportedLoad = 9 })
	excluded := with(near, func(c *Candidate) { c.Excluded = true })
	cases := []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"none", nil, NoCandidate},
		{"backing off spills to the region", []Candidate{backingOff, region}, 1},
		{"saturated before backing off", []Candidate{backingOff, saturated}, 1},
		{"backing off before ejected", []Candidate{ejected, backingOff}, 1},
		{"slow spills to the region", []Candidate{slow, region}, 1},
		{"queueing spills to the region", []Candidate{busy, region}, 1},
		{"nearest first", []Candidate{region, near}, 1},
		{"saturated spills to the region", []Candidate{saturated, region}, 1},
		{"ejected spills to the region", []Candidate{ejected, region}, 1},
		{"saturated before ejected", []Candidate{ejected, saturated}, 1},
		{"ejected before none", []Candidate{ejected, tried}, 0},
		{"weight 0 is never used", []Candidate{far}, NoCandidate},
		{"excluded is never used, even before ejected", []Candidate{excluded, ejected}, 1},
		{"excluded is never used, even without an alternative", []Candidate{excluded, excluded}, NoCandidate},
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

func TestChooseAlternate(t *testing.T) {
	weights := policy.Replicas{ZoneWeight: 1}
	near := Candidate{Limit: 2, Slots: 2, Warmth: 1, ConnectionAvailable: true}
	cases := []struct {
		name   string
		change func(*Candidate)
		want   int
	}{
		{"available", func(*Candidate) {}, 0},
		{"saturated", func(c *Candidate) { c.InFlight = 2 }, 0},
		{"backing off", func(c *Candidate) { c.BackingOff = true }, NoCandidate},
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

func TestChooseReplicaDistanceWeights(t *testing.T) {
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
			t.Errorf("zone weight %g, near replica 3 times slower: chose %d, want %d", test.zoneWeight, got, test.want)
		}
	}
}
