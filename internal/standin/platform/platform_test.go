package platform

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/corpus"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/testdata"
)

func startPlatform(t *testing.T) *Platform {
	t.Helper()
	config := DefaultConfig(testdata.Corpus)
	config.Timing.Base, config.Timing.MeanExtra = 0, 0
	platform, err := Start(t.Context(), config)
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(func() {
		if err := platform.Close(); err != nil {
			t.Errorf("close: %v", err)
		}
	})
	return platform
}

// post sends JSON and decodes the answer into reply if it is not nil.
func post(t *testing.T, url string, body, reply any) int {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(url, "application/json", bytes.NewReader(encoded))
	if err != nil {
		t.Fatalf("post to %s: %v", url, err)
	}
	defer func() { _ = response.Body.Close() }()
	if reply != nil && response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
			t.Fatalf("decode the answer of %s: %v", url, err)
		}
	}
	return response.StatusCode
}

// storedCatalogue reads the catalogue as a daemon does.
func storedCatalogue(t *testing.T, platform *Platform) *catalogue.Catalogue {
	t.Helper()
	var found kv.RangeResponse
	post(t, platform.StoreURL()+"/v3/kv/range", map[string]any{"key": []byte(document.Catalogue.Key())}, &found)
	var stored catalogue.Catalogue
	if err := json.Unmarshal(found.Kvs[0].Value, &stored); err != nil {
		t.Fatalf("decode the catalogue: %v", err)
	}
	return &stored
}

// searchAll asks one replica of each shard of a snapshot and merges.
func searchAll(t *testing.T, platform *Platform, snapshot *catalogue.Snapshot, query client.Query) []client.Hit {
	t.Helper()
	var hits []client.Hit
	for _, index := range snapshot.Indexes {
		for shard, group := range index.Groups {
			request := backendapi.SearchRequest{
				QueryID: "q", Snapshot: snapshot.ID, Index: index.Name, Shard: shard, Shards: len(index.Groups),
				Phrase: query.Phrase, Card: query.Card, Order: corpus.EffectiveOrder(query), Limit: 100, TimeoutMilliseconds: 60_000,
			}
			var reply backendapi.SearchReply
			if status := post(t, "http://"+replicaOf(t, platform, group)+backendapi.SearchPath, request, &reply); status != http.StatusOK {
				t.Fatalf("shard %d of %s answered %d", shard, index.Name, status)
			}
			hits = append(hits, reply.Hits...)
		}
	}
	client.SortHits(hits, corpus.EffectiveOrder(query))
	return hits
}

func replicaOf(t *testing.T, platform *Platform, group string) string {
	t.Helper()
	backends := platform.Describe().Backends
	position := slices.IndexFunc(backends, func(b BackendDescription) bool { return b.Group == group })
	if position < 0 {
		t.Fatalf("no replica of %s", group)
	}
	return backends[position].Address
}

func TestEverySnapshotAnswersAsBruteForce(t *testing.T) {
	platform := startPlatform(t)
	for _, shards := range []int{7, 2, 1} {
		for _, name := range []string{corpus.Cards, corpus.Cues} {
			var reply AdminReply
			if status := post(t, platform.AdminURL()+PublishPath, AdminRequest{Corpus: name, Shards: shards}, &reply); status != http.StatusOK {
				t.Fatalf("publishing answered %d", status)
			}
		}
	}
	queries := []client.Query{{Corpus: corpus.Cards, Card: "AY-1185"}, {Corpus: corpus.Cards, Phrase: "ferry from"}, {Corpus: corpus.Cues, Phrase: "መንገዱ ረጅም ነው"}}
	stored := storedCatalogue(t, platform)
	for _, query := range queries {
		want := corpus.Search(platform.Records, query)
		if len(want) == 0 {
			t.Fatalf("%+v matches nothing", query)
		}
		entry := stored.Corpus(query.Corpus)
		for i := range entry.Snapshots {
			if diff := cmp.Diff(want, searchAll(t, platform, &entry.Snapshots[i], query)); diff != "" {
				t.Errorf("%+v in snapshot %d (-brute force +shards):\n%s", query, entry.Snapshots[i].ID, diff)
			}
		}
	}
}

func TestRetireDropsOneSnapshot(t *testing.T) {
	platform := startPlatform(t)
	if _, err := platform.Publish(corpus.Cues, 3); err != nil {
		t.Fatal(err)
	}
	if err := platform.Retire(corpus.Cues, 1); err != nil {
		t.Fatal(err)
	}
	stored := storedCatalogue(t, platform)
	if snapshots := stored.Corpus(corpus.Cues).Snapshots; len(snapshots) != 1 || snapshots[0].ID != 2 {
		t.Errorf("snapshots %+v", snapshots)
	}
	if snapshots := stored.Corpus(corpus.Cards).Snapshots; len(snapshots) != 1 || snapshots[0].ID != 1 {
		t.Errorf("the other corpus has %+v", snapshots)
	}
	request := backendapi.SearchRequest{Snapshot: 1, Index: "cues", Shards: 4, Phrase: "x", Limit: 1, TimeoutMilliseconds: 1000}
	if status := post(t, "http://"+replicaOf(t, platform, "cues-0")+backendapi.SearchPath, request, nil); status != http.StatusGone {
		t.Errorf("a retired snapshot answered %d", status)
	}
}

func TestReplicasComeAndGo(t *testing.T) {
	platform := startPlatform(t)
	address := replicaOf(t, platform, RefundService)
	call := backendapi.CallRequest{Key: "k", Operation: "credit", TimeoutMilliseconds: 60_000}
	if status := post(t, "http://"+address+backendapi.CallPath, call, nil); status != http.StatusOK {
		t.Fatalf("the call answered %d", status)
	}
	before := platform.Describe().Backends
	if status := post(t, platform.AdminURL()+RestartPath, AdminRequest{Address: address}, nil); status != http.StatusOK {
		t.Fatalf("the restart answered %d", status)
	}
	if platform.Executions()["k"] != 1 {
		t.Errorf("the restart lost executions: %v", platform.Executions())
	}
	after := platform.Describe().Backends
	if len(after) != len(before) || incarnationAt(before, address) == incarnationAt(after, address) {
		t.Errorf("incarnation %q became %q", incarnationAt(before, address), incarnationAt(after, address))
	}
	if err := platform.DrainReplica(address); err != nil {
		t.Fatal(err)
	}
	if status := post(t, "http://"+address+backendapi.CallPath, call, nil); status != http.StatusServiceUnavailable {
		t.Errorf("a draining replica answered %d", status)
	}
	if err := platform.RemoveReplica(address); err != nil {
		t.Fatal(err)
	}
	if status := post(t, platform.AdminURL()+DrainPath, AdminRequest{Address: address}, nil); status != http.StatusBadRequest {
		t.Errorf("draining a removed replica answered %d", status)
	}
}

func incarnationAt(backends []BackendDescription, address string) string {
	position := slices.IndexFunc(backends, func(b BackendDescription) bool { return b.Address == address })
	if position < 0 {
		return ""
	}
	return backends[position].Incarnation
}

func TestHollowDeploymentAnswersForEveryShard(t *testing.T) {
	platform, err := Start(t.Context(), Config{Corpus: testdata.Corpus, Deployments: []Deployment{HollowDeployment(12, 1)}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = platform.Close() }()
	snapshot := storedCatalogue(t, platform).Corpus(HollowName).Newest()
	if snapshot.ShardCount() != 12 || len(platform.Backends()) != 12 {
		t.Errorf("%d shards, %d replicas", snapshot.ShardCount(), len(platform.Backends()))
	}
	if hits := searchAll(t, platform, snapshot, client.Query{Card: "any"}); len(hits) == 0 {
		t.Error("no shard answered with a hit")
	}
}

func TestReplicasOfAGroupSpreadOverRegions(t *testing.T) {
	deployment := Ayensu()
	for group := range 6 {
		regions := make(map[string]bool)
		for replica := range 3 {
			regions[deployment.placeOf(group, replica).Region] = true
		}
		if len(regions) != 3 {
			t.Errorf("group %d covers %v", group, regions)
		}
	}
}
