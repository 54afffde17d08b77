package replica

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
)

// replySeeds returns typical replies, followed by unusual and malformed ones.
func replySeeds() []string {
	good, _ := json.Marshal(validReply())
	full := validReply()
	full.Draining, full.Load = true, backendapi.Load{Slots: 4, InFlight: 3, Queued: 9}
	full.Hits = []client.Hit{{ID: "ሀ", Index: "cards", Document: "d", Text: "ሰላም, ok", TimeMilliseconds: -5, Rank: -0.25}}
	whole, _ := json.Marshal(full)
	return []string{
		string(good), string(whole), string(whole[:len(whole)-1]), " {\n} \t", `{"hits":[]}`, `{"snapshot":18446744073709551}`,
		``, `null`, `{`, `{"hits":null}`, `{"attempt":1e2}`, `{"attempt":01}`, `{"attempt":-}`, `{"attempt":1.5}`, `{"snapshot":-1}`,
		`{"snapshot":99999999999999999999}`, `{"query_id":"a\n"}`, "{\"query_id\":\"\xff\"}", "{\"query_id\":\"\x01\"}", `{"more":1}`,
		`{}{}`, `{"hits":[{},]}`, `{"hits":[{"rank":.5}]}`, `{"hits":[{"rank":01}]}`, `{"hits":[{"rank":1e400}]}`, `{"draining":tru}`,
		`{"query_id"}`, `{"query_id":}`, `{,}`, `[]`, `{"attempt": 1 2}`, `{"hits":[{}{}]}`, `{"attempt":--1}`,
	}
}

// FuzzDecodeSearchReply checks that every body accepted by the decoder is also
// accepted by encoding/json and decodes to the same value.
func FuzzDecodeSearchReply(f *testing.F) {
	for _, body := range replySeeds() {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body string) {
		got, err := decodeSearchReply([]byte(body))
		if err != nil {
			return
		}
		want := &backendapi.SearchReply{}
		if err := json.Unmarshal([]byte(body), want); err != nil {
			t.Fatalf("%q was accepted but encoding/json rejects it: %v", body, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%q decodes differently (-encoding/json +go-json):\n%s", body, diff)
		}
	})
}

// BenchmarkDecodeSearchReply compares the decoder with encoding/json.
func BenchmarkDecodeSearchReply(b *testing.B) {
	body, _ := json.Marshal(validReply())
	b.Run("go-json", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = decodeSearchReply(body)
		}
	})
	b.Run("encoding/json", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var reply backendapi.SearchReply
			_ = json.Unmarshal(body, &reply)
		}
	})
}
