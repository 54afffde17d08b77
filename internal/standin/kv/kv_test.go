package kv

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// fakeClock is a clock that tests move.
type fakeClock struct{ moment time.Time }

func (c *fakeClock) now() time.Time { return c.moment }

func put(key, value string) RequestOperation {
	return RequestOperation{Put: &PutRequest{Key: []byte(key), Value: []byte(value)}}
}

func absent(key string) Compare {
	return Compare{Result: ResultEqual, Target: TargetCreate, Key: []byte(key)}
}

func mustTxn(t *testing.T, store *Store, request TxnRequest) TxnResponse {
	t.Helper()
	response, err := store.Txn(request)
	if err != nil {
		t.Fatalf("txn: %v", err)
	}
	return response
}

func mustPut(t *testing.T, store *Store, key, value string) {
	t.Helper()
	mustTxn(t, store, TxnRequest{Success: []RequestOperation{put(key, value)}})
}

func TestTxnRefusals(t *testing.T) {
	nested := func(keys ...string) RequestOperation {
		var operations []RequestOperation
		for _, key := range keys {
			operations = append(operations, put(key, "v"))
		}
		return RequestOperation{Txn: &TxnRequest{Success: operations}}
	}
	cases := map[string]struct {
		operations []RequestOperation
		want       error
	}{
		"duplicate key":                {[]RequestOperation{put("a", "1"), put("a", "2")}, errDuplicateKey},
		"duplicate key in nested":      {[]RequestOperation{nested("a", "a")}, errDuplicateKey},
		"duplicate key across nested":  {[]RequestOperation{nested("a"), nested("a")}, errDuplicateKey},
		"empty key":                    {[]RequestOperation{put("", "1")}, errEmptyKey},
		"empty operation":              {[]RequestOperation{{}}, errBadOperation},
		"lease that was never granted": {[]RequestOperation{{Put: &PutRequest{Key: []byte("a"), Lease: 99}}}, errLeaseNotFound},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			store := NewStore(nil)
			_, err := store.Txn(TxnRequest{Success: append([]RequestOperation{put("before", "1")}, test.operations...)})
			if err != test.want {
				t.Errorf("error %v, want %v", err, test.want)
			}
			if store.Revision() != firstRevision {
				t.Errorf("revision %d: something was written", store.Revision())
			}
		})
	}
}

func TestTxnBranches(t *testing.T) {
	store := NewStore(nil)
	claim := func(key, holder string) RequestOperation {
		read := RequestOperation{Range: &RangeRequest{Key: []byte(key)}}
		return RequestOperation{Txn: &TxnRequest{
			Compare: []Compare{absent(key)}, Success: []RequestOperation{put(key, holder)}, Failure: []RequestOperation{read}}}
	}
	mustPut(t, store, "claim/1", "first")
	response := mustTxn(t, store, TxnRequest{Success: []RequestOperation{claim("claim/1", "second"), claim("claim/2", "second")}})
	taken, free := response.Responses[0].Txn, response.Responses[1].Txn
	if taken.Succeeded || string(taken.Responses[0].Range.Kvs[0].Value) != "first" {
		t.Errorf("the taken claim answered %+v", taken)
	}
	if !free.Succeeded {
		t.Errorf("the free claim answered %+v", free)
	}
	if response.Header.Revision != 3 {
		t.Errorf("revision %d, want one step to 3", response.Header.Revision)
	}
}

func TestCompareTargets(t *testing.T) {
	store := NewStore(nil)
	mustPut(t, store, "k", "one") // revision 2
	mustPut(t, store, "k", "two") // revision 3
	cases := map[string]struct {
		compare Compare
		want    bool
	}{
		"mod equal":          {Compare{Result: ResultEqual, Target: TargetMod, ModRevision: 3}, true},
		"mod stale":          {Compare{Result: ResultEqual, Target: TargetMod, ModRevision: 2}, false},
		"create equal":       {Compare{Target: TargetCreate, CreateRevision: 2}, true},
		"create not equal":   {Compare{Result: ResultNotEqual, Target: TargetCreate, CreateRevision: 2}, false},
		"version greater":    {Compare{Result: ResultGreater, Target: TargetVersion, Version: 1}, true},
		"version less":       {Compare{Result: ResultLess, Target: TargetVersion, Version: 2}, false},
		"value equal":        {Compare{Result: ResultEqual, Target: TargetValue, Value: []byte("two")}, true},
		"value of old write": {Compare{Result: ResultEqual, Target: TargetValue, Value: []byte("one")}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			test.compare.Key = []byte("k")
			response := mustTxn(t, store, TxnRequest{Compare: []Compare{test.compare}})
			if response.Succeeded != test.want {
				t.Errorf("succeeded %v, want %v", response.Succeeded, test.want)
			}
		})
	}
}

func TestRestoreAndCompaction(t *testing.T) {
	store := NewStore(nil)
	mustPut(t, store, "k", "one")   // revision 2
	mustPut(t, store, "k", "two")   // revision 3
	mustPut(t, store, "k", "three") // revision 4
	if err := store.Restore(3); err != nil {
		t.Fatalf("restore: %v", err)
	}
	response, err := store.Range(RangeRequest{Key: []byte("k")})
	if err != nil || string(response.Kvs[0].Value) != "two" || response.Header.Revision != 3 {
		t.Errorf("after the restore: %+v, %v", response, err)
	}
	if _, err := store.Compact(CompactionRequest{Revision: 3}); err != nil {
		t.Fatalf("compact: %v", err)
	}
	if _, err := store.Range(RangeRequest{Key: []byte("k"), Revision: 2}); err != errCompacted {
		t.Errorf("read below the compaction: %v", err)
	}
	var last WatchResponse
	err = store.Watch(t.Context(), WatchCreateRequest{Key: []byte("k"), StartRevision: 2}, func(r WatchResponse) error {
		last = r
		return nil
	})
	if err != nil || !last.Canceled || last.CompactRevision != 3 {
		t.Errorf("watch below the compaction: %+v, %v", last, err)
	}
}

func TestLeaseEndsWithItsKeys(t *testing.T) {
	clock := &fakeClock{moment: time.Unix(1000, 0)}
	store := NewStore(clock.now)
	granted, err := store.Grant(LeaseRequest{TTL: 10})
	if err != nil {
		t.Fatalf("grant: %v", err)
	}
	held := &PutRequest{Key: []byte("k"), Lease: granted.ID}
	mustTxn(t, store, TxnRequest{Success: []RequestOperation{{Put: held}}})
	clock.moment = clock.moment.Add(9 * time.Second)
	if kept, _ := store.KeepAlive(LeaseRequest{ID: granted.ID}); kept.TTL != 10 {
		t.Errorf("kept alive with TTL %d", kept.TTL)
	}
	clock.moment = clock.moment.Add(10 * time.Second)
	if found, _ := store.Range(RangeRequest{Key: []byte("k")}); found.Count != 0 {
		t.Errorf("the key outlived its lease: %+v", found)
	}
	if gone, _ := store.KeepAlive(LeaseRequest{ID: granted.ID}); gone.TTL != 0 {
		t.Errorf("a lapsed lease was kept alive: %+v", gone)
	}
}

func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	server := NewServer(Options{Now: (&fakeClock{moment: time.Unix(1000, 0)}).now})
	listening := httptest.NewServer(server)
	t.Cleanup(listening.Close)
	return server, listening.URL
}

func post(t *testing.T, url, body string) (*http.Response, error) {
	t.Helper()
	response, err := http.Post(url, "application/json", bytes.NewBufferString(body))
	if err == nil {
		t.Cleanup(func() { _ = response.Body.Close() })
	}
	return response, err
}

func TestGatewayWritesTheGatewaysJSON(t *testing.T) {
	_, url := startServer(t)
	if _, err := post(t, url+"/v3/kv/put", `{"key":"aw==","value":"dg=="}`); err != nil {
		t.Fatalf("put: %v", err)
	}
	response, err := post(t, url+"/v3/kv/range", `{"key":"aw==","limit":"1"}`)
	if err != nil {
		t.Fatalf("range: %v", err)
	}
	var got any
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		t.Fatalf("decode: %v", err)
	}
	want := map[string]any{
		"header": map[string]any{"revision": "2"},
		"count":  "1",
		"kvs": []any{map[string]any{
			"key": "aw==", "value": "dg==", "create_revision": "2", "mod_revision": "2", "version": "1"}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("range (-want +got):\n%s", diff)
	}
}

func TestFaults(t *testing.T) {
	t.Run("lost acknowledgement applies the write", func(t *testing.T) {
		server, url := startServer(t)
		if err := server.SetFaults(Faults{LoseAcknowledgements: 1}); err != nil {
			t.Fatal(err)
		}
		if _, err := post(t, url+"/v3/kv/put", `{"key":"aw=="}`); err == nil {
			t.Error("the write was acknowledged")
		}
		if server.Store.Revision() != 2 {
			t.Errorf("revision %d: the write was not applied", server.Store.Revision())
		}
	})
	t.Run("outage cuts without applying", func(t *testing.T) {
		server, url := startServer(t)
		if err := server.SetFaults(Faults{Outage: true}); err != nil {
			t.Fatal(err)
		}
		if _, err := post(t, url+"/v3/kv/put", `{"key":"aw=="}`); err == nil {
			t.Error("the write was answered")
		}
		if server.Store.Revision() != 1 {
			t.Error("the write was applied")
		}
	})
	t.Run("rate limit refuses as etcd does", func(t *testing.T) {
		server, url := startServer(t)
		if err := server.SetFaults(Faults{RateLimitPerSecond: 1}); err != nil {
			t.Fatal(err)
		}
		var statuses []int
		for range 2 {
			response, err := post(t, url+"/v3/kv/put", `{"key":"aw=="}`)
			if err != nil {
				t.Fatal(err)
			}
			statuses = append(statuses, response.StatusCode)
		}
		if diff := cmp.Diff([]int{http.StatusOK, http.StatusTooManyRequests}, statuses); diff != "" {
			t.Errorf("statuses (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(Counter{Requests: 2, Refused: 1}, server.Counters()["/v3/kv/put"]); diff != "" {
			t.Errorf("counters (-want +got):\n%s", diff)
		}
	})
	t.Run("stale reads answer an older revision", func(t *testing.T) {
		server, url := startServer(t)
		mustPut(t, server.Store, "k", "one")
		mustPut(t, server.Store, "k", "two")
		if err := server.SetFaults(Faults{StaleRevision: 2}); err != nil {
			t.Fatal(err)
		}
		response, err := post(t, url+"/v3/kv/range", `{"key":"aw=="}`)
		if err != nil {
			t.Fatal(err)
		}
		var found RangeResponse
		if err := json.NewDecoder(response.Body).Decode(&found); err != nil {
			t.Fatal(err)
		}
		if string(found.Kvs[0].Value) != "one" || found.Header.Revision != 2 {
			t.Errorf("found %+v", found)
		}
	})
	t.Run("an unknown fault is refused", func(t *testing.T) {
		_, url := startServer(t)
		response, err := post(t, url+FaultsPath, `{"outrage":true}`)
		if err != nil || response.StatusCode != http.StatusBadRequest {
			t.Errorf("answered %v, %v", response, err)
		}
	})
}

func TestWatchStreamsEachRevisionAndBreaksInAnOutage(t *testing.T) {
	server, url := startServer(t)
	mustPut(t, server.Store, "a", "old")
	mustPut(t, server.Store, "a", "1")
	mustPut(t, server.Store, "b", "other")
	response, err := post(t, url+"/v3/watch", `{"create_request":{"key":"YQ==","start_revision":"3"}}`)
	if err != nil {
		t.Fatalf("watch: %v", err)
	}
	lines := bufio.NewScanner(response.Body)
	next := func() WatchResponse {
		t.Helper()
		if !lines.Scan() {
			t.Fatalf("the watch ended: %v", lines.Err())
		}
		var message streamed[WatchResponse]
		if err := json.Unmarshal(lines.Bytes(), &message); err != nil {
			t.Fatalf("decode %s: %v", lines.Bytes(), err)
		}
		return message.Result
	}
	if first := next(); !first.Created {
		t.Errorf("the first message is %+v", first)
	}
	if past := next(); past.Header.Revision != 3 || string(past.Events[0].Kv.Value) != "1" {
		t.Errorf("the past event is %+v", past)
	}
	if _, err := server.Store.DeleteRange(DeleteRangeRequest{Key: []byte("a")}); err != nil {
		t.Fatal(err)
	}
	if live := next(); live.Events[0].Type != EventDelete || live.Events[0].Kv.ModRevision != 5 {
		t.Errorf("the live event is %+v", live)
	}
	if err := server.SetFaults(Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	if lines.Scan() || lines.Err() == nil {
		t.Errorf("the watch outlived the outage: %q", lines.Text())
	}
}
