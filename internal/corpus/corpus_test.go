package corpus

import (
	"strings"
	"testing"
	"testing/fstest"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/testdata"
)

func loadTestdata(t *testing.T) []Record {
	t.Helper()
	records, err := Load(testdata.Corpus)
	if err != nil {
		t.Fatalf("Load: %v", err)
	}
	return records
}

func TestLoadReadsAllIndexes(t *testing.T) {
	records := loadTestdata(t)
	if diff := cmp.Diff([]string{"cards-coast", "cards-lake", "cards-north"}, Indexes(records, Cards)); diff != "" {
		t.Errorf("card indexes (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"cues"}, Indexes(records, Cues)); diff != "" {
		t.Errorf("cue indexes (-want +got):\n%s", diff)
	}
}

func TestSearch(t *testing.T) {
	records := loadTestdata(t)
	cases := map[string]struct {
		query client.Query
		want  []string
	}{
		"amharic phrase across punctuation": {
			client.Query{Corpus: Cues, Phrase: "ዝግጁ ነው ኑ"},
			[]string{"buna.am.srt:00009"},
		},
		"amharic phrase in two files": {
			client.Query{Corpus: Cues, Phrase: "ዝናቡ ገና አላቆመም"},
			[]string{"buna.am.srt:00005", "menged.am.srt:00006"},
		},
		"oromo phrase without apostrophe": {
			client.Query{Corpus: Cues, Phrase: "BUNNI QOPHAAEERA"},
			[]string{"karaa.om.srt:00003", "karaa.om.srt:00011"},
		},
		"english phrase across line break": {
			client.Query{Corpus: Cues, Phrase: "rain and now"},
			[]string{"the-long-bridge.en.srt:00008"},
		},
		"non-adjacent words": {
			client.Query{Corpus: Cues, Phrase: "rain stop"}, nil,
		},
		"partial word": {
			client.Query{Corpus: Cues, Phrase: "ferr"}, nil,
		},
		"phrase without words": {
			client.Query{Corpus: Cues, Phrase: "?!"}, nil,
		},
		"phrase from other corpus": {
			client.Query{Corpus: Cards, Phrase: "rain and now"}, nil,
		},
		"limit": {
			client.Query{Corpus: Cues, Phrase: "good morning", Limit: 1},
			[]string{"harbour-morning.en.srt:00008"},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var ids []string
			for _, hit := range Search(records, test.query) {
				ids = append(ids, hit.ID)
			}
			if diff := cmp.Diff(test.want, ids); diff != "" {
				t.Errorf("hits (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSearchSortsCardHistoryByTimeAcrossIndexes(t *testing.T) {
	hits := Search(loadTestdata(t), client.Query{Corpus: Cards, Card: "AY-1185"})
	indexes := make(map[string]bool)
	for i, hit := range hits {
		indexes[hit.Index] = true
		if hit.Document != "AY-1185" {
			t.Errorf("hit with document %s, want AY-1185", hit.Document)
		}
		if i > 0 && hits[i-1].TimeMilliseconds > hit.TimeMilliseconds {
			t.Errorf("hit %d is earlier than its predecessor", i)
		}
	}
	if len(indexes) != 3 {
		t.Errorf("indexes of hits: %v, want 3", indexes)
	}
}

// Merged hits of all shards must equal those of a brute-force search.
func TestShardSearchMatchesBruteForce(t *testing.T) {
	records := loadTestdata(t)
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(1, 9).Draw(rt, "shards")
		limit := rapid.IntRange(1, 40).Draw(rt, "limit")
		order := rapid.SampledFrom([]client.Order{client.OrderRank, client.OrderTime}).Draw(rt, "order")
		source := rapid.SampledFrom(records).Draw(rt, "record")
		query := client.Query{Corpus: source.Corpus, Order: order, Limit: limit}
		if rapid.Bool().Draw(rt, "card") {
			query.Card = source.Document
		} else {
			words := source.Words()
			start := rapid.IntRange(0, len(words)-1).Draw(rt, "start")
			end := rapid.IntRange(start+1, len(words)).Draw(rt, "end")
			query.Phrase = strings.Join(words[start:end], " ")
		}
		var merged []client.Hit
		for _, index := range Indexes(records, query.Corpus) {
			for _, part := range Partition(records, index, shards) {
				hits, _ := NewShard(part).Search(query.Phrase, query.Card, order, limit)
				merged = append(merged, hits...)
			}
		}
		client.SortHits(merged, order)
		if diff := cmp.Diff(Search(records, query), Truncate(merged, limit)); diff != "" {
			rt.Fatalf("hits (-brute force +merged):\n%s", diff)
		}
	})
}

func TestLoadRejectsInvalidFiles(t *testing.T) {
	const header = "card,time,kind,amount,description\n"
	cases := map[string]struct {
		files map[string]string
		want  []string
	}{
		"wrong header":     {map[string]string{"a.csv": "card,when\n"}, []string{"a.csv", "wrong number of fields"}},
		"renamed column":   {map[string]string{"a.csv": "card,when,kind,amount,description\n"}, []string{"a.csv", "line 1", "when"}},
		"invalid time":     {map[string]string{"a.csv": header + "A,2026-01-01T00:00:00Z,tap,1,x\nA,noon,tap,1,x\n"}, []string{"a.csv", "line 3", "noon"}},
		"empty card":       {map[string]string{"a.csv": header + ",2026-01-01T00:00:00Z,tap,1,x\n"}, []string{"a.csv", "line 2", "card is empty"}},
		"missing field":    {map[string]string{"a.csv": header + "A,2026-01-01T00:00:00Z\n"}, []string{"a.csv", "line 2"}},
		"empty file":       {map[string]string{"a.csv": ""}, []string{"a.csv", "header"}},
		"duplicate ID":     {map[string]string{"a/x.csv": header + "A,2026-01-01T00:00:00Z,tap,1,x\n", "b/x.csv": header + "A,2026-01-01T00:00:00Z,tap,1,x\n"}, []string{"duplicate record ID x.csv:00002: two files share a base name"}},
		"invalid cue time": {map[string]string{"c.srt": "1\n00:xx:01,000 --> 00:00:02,000\nHello\n"}, []string{"c.srt"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			files := make(fstest.MapFS)
			for file, content := range test.files {
				files[file] = &fstest.MapFile{Data: []byte(content)}
			}
			_, err := Load(files)
			if err == nil {
				t.Fatal("Load succeeded, want error")
			}
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q does not contain %q", err, part)
				}
			}
		})
	}
}
