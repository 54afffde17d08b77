package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/corpus"
)

const testIncarnation = "g.1"

// gate is a Sleep that holds every request until it is opened.
type gate struct {
	entered chan struct{}
	open    chan struct{}
}

func newGate() *gate {
	return &gate{entered: make(chan struct{}, 100), open: make(chan struct{})}
}

func (g *gate) sleep(ctx context.Context, _ time.Duration) error {
	g.entered <- struct{}{}
	select {
	case <-g.open:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func startReplica(t *testing.T, options Options) *Server {
	t.Helper()
	options.Incarnation = testIncarnation
	replica := New(options)
	records := []corpus.Record{
		{ID: "1", Index: "cues", Document: "a.srt", Text: "good morning"},
		{ID: "2", Index: "cues", Document: "a.srt", Text: "good evening"},
	}
	replica.Hold(1, "cues", 0, 2, corpus.NewShard(records))
	server, err := Start(replica, "127.0.0.1:0")
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server
}

func searchRequest() backendapi.SearchRequest {
	return backendapi.SearchRequest{
		QueryID: "q", Attempt: 1, Snapshot: 1, Index: "cues", Shards: 2,
		Phrase: "good", Order: client.OrderRank, Limit: 10, TimeoutMilliseconds: 60_000,
	}
}

func callRequest() backendapi.CallRequest {
	return backendapi.CallRequest{Key: "k", Operation: "credit", TimeoutMilliseconds: 60_000}
}

// exchange sends a request on a connection of its own and returns the status
// and the body, or the error of either.
func exchange(ctx context.Context, server *Server, path string, body any) (int, []byte, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil, err
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

func decodeAs[T any](t *testing.T, content []byte) T {
	t.Helper()
	var decoded T
	if err := json.Unmarshal(content, &decoded); err != nil {
		t.Fatalf("decode %q: %v", content, err)
	}
	return decoded
}

func TestRefusalsDidNotRun(t *testing.T) {
	cases := map[string]struct {
		prepare func(*Replica)
		path    string
		body    any
		status  int
		reason  backendapi.RefusalReason
	}{
		"search: draining":           {(*Replica).Drain, backendapi.SearchPath, searchRequest(), 503, backendapi.RefusedDraining},
		"call: draining":             {(*Replica).Drain, backendapi.CallPath, callRequest(), 503, backendapi.RefusedDraining},
		"search: snapshot not held":  {nil, backendapi.SearchPath, with(func(r *backendapi.SearchRequest) { r.Snapshot = 9 }), 410, backendapi.RefusedSnapshotNotHeld},
		"search: retired":            {func(r *Replica) { r.Retire(1, "cues") }, backendapi.SearchPath, searchRequest(), 410, backendapi.RefusedSnapshotNotHeld},
		"search: shard not held":     {nil, backendapi.SearchPath, with(func(r *backendapi.SearchRequest) { r.Shard = 1 }), 410, backendapi.RefusedSnapshotNotHeld},
		"search: other partitioning": {nil, backendapi.SearchPath, with(func(r *backendapi.SearchRequest) { r.Shards = 3 }), 410, backendapi.RefusedSnapshotNotHeld},
		"search: no time left":       {nil, backendapi.SearchPath, with(func(r *backendapi.SearchRequest) { r.TimeoutMilliseconds = 0 }), 503, backendapi.RefusedDeadlinePassed},
		"call: no time left":         {nil, backendapi.CallPath, backendapi.CallRequest{Key: "k"}, 503, backendapi.RefusedDeadlinePassed},
		"call: after its moment":     {nil, backendapi.CallPath, backendapi.CallRequest{Key: "k", TimeoutMilliseconds: 1000, NotAfterUnixMilliseconds: 1}, 503, backendapi.RefusedDeadlinePassed},
		"call: shed":                 {func(r *Replica) { r.SetFaults(Faults{Shed: true}) }, backendapi.CallPath, callRequest(), 503, backendapi.RefusedShed},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			server := startReplica(t, Options{})
			if test.prepare != nil {
				test.prepare(server.Replica)
			}
			status, content, err := exchange(t.Context(), server, test.path, test.body)
			if err != nil {
				t.Fatal(err)
			}
			refusal := decodeAs[backendapi.Refusal](t, content)
			if status != test.status || refusal.Reason != test.reason || !refusal.NotRun || refusal.Incarnation != testIncarnation {
				t.Errorf("status %d, refusal %+v", status, refusal)
			}
			if len(server.Replica.Executions()) != 0 {
				t.Errorf("executions %v", server.Replica.Executions())
			}
		})
	}
}

func with(change func(*backendapi.SearchRequest)) backendapi.SearchRequest {
	request := searchRequest()
	change(&request)
	return request
}

func TestReplyFaults(t *testing.T) {
	type outcome struct {
		Broken  bool
		Status  int
		QueryID string
		Attempt int
		Shard   int
		Version uint64
		Count   int
		Hits    int
	}
	whole := outcome{Status: 200, QueryID: "q", Attempt: 1, Version: 1, Count: 2, Hits: 2}
	changed := func(change func(*outcome)) outcome {
		wanted := whole
		change(&wanted)
		return wanted
	}
	cases := map[ReplyFault]outcome{
		"":                 whole,
		FaultTruncated:     {Broken: true, Status: 200},
		FaultResetBefore:   {Broken: true},
		FaultResetAfter:    {Broken: true},
		FaultServerError:   {Status: 500},
		FaultShort:         changed(func(o *outcome) { o.Hits = 1 }),
		FaultDuplicated:    changed(func(o *outcome) { o.Hits, o.Count = 3, 3 }),
		FaultWrongShard:    changed(func(o *outcome) { o.Shard = 1 }),
		FaultWrongSnapshot: changed(func(o *outcome) { o.Version = 2 }),
		FaultWrongAttempt:  changed(func(o *outcome) { o.Attempt = 2 }),
		FaultCrossed:       changed(func(o *outcome) { o.QueryID = "q-other" }),
	}
	for fault, want := range cases {
		t.Run("fault "+string(fault), func(t *testing.T) {
			server := startReplica(t, Options{})
			server.Replica.SetFaults(Faults{Reply: fault, ReplyCount: 1})
			got := outcome{}
			status, content, err := exchange(t.Context(), server, backendapi.SearchPath, searchRequest())
			got.Status, got.Broken = status, err != nil
			if err == nil && status == http.StatusOK {
				reply := decodeAs[backendapi.SearchReply](t, content)
				got = outcome{false, status, reply.QueryID, reply.Attempt, reply.Shard, reply.Snapshot, reply.Count, len(reply.Hits)}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if status, _, err := exchange(t.Context(), server, backendapi.SearchPath, searchRequest()); err != nil || status != http.StatusOK {
				t.Errorf("after the fault: %d, %v", status, err)
			}
		})
	}
}

func TestExecutionsAreCountedWhereverTheConnectionIsCut(t *testing.T) {
	cases := map[ReplyFault]int{FaultResetBefore: 0, FaultResetAfter: 1, FaultTruncated: 1, FaultServerError: 1, FaultNotJSON: 1}
	for fault, want := range cases {
		t.Run(string(fault), func(t *testing.T) {
			server := startReplica(t, Options{})
			server.Replica.SetFaults(Faults{Reply: fault})
			_, _, _ = exchange(t.Context(), server, backendapi.CallPath, callRequest()) // the outcome is the count
			if got := server.Replica.Executions()["k"]; got != want {
				t.Errorf("%d executions, want %d", got, want)
			}
		})
	}
}

func TestSlotsQueueAndShedding(t *testing.T) {
	held := newGate()
	server := startReplica(t, Options{Slots: 1, QueueLimit: 1, Sleep: held.sleep, Timing: Timing{Base: time.Second}})
	statuses := make(chan int, 2)
	send := func() {
		status, _, _ := exchange(context.Background(), server, backendapi.SearchPath, searchRequest())
		statuses <- status
	}
	go send()
	<-held.entered
	go send()
	waitFor(t, func() bool { return server.Replica.slots.load().Queued == 1 })
	status, content, err := exchange(t.Context(), server, backendapi.SearchPath, searchRequest())
	if err != nil {
		t.Fatal(err)
	}
	refusal := decodeAs[backendapi.Refusal](t, content)
	want := backendapi.Refusal{
		Reason: backendapi.RefusedShed, NotRun: true, RetryAfterMilliseconds: defaultShedRetryAfter.Milliseconds(),
		Load: backendapi.Load{Slots: 1, InFlight: 1, Queued: 1}, Incarnation: testIncarnation,
	}
	if diff := cmp.Diff(want, refusal); diff != "" || status != http.StatusServiceUnavailable {
		t.Errorf("status %d, refusal (-want +got):\n%s", status, diff)
	}
	close(held.open)
	for range 2 {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("an admitted request got %d", status)
		}
	}
}

func TestCancellationFreesTheSlot(t *testing.T) {
	held := newGate()
	server := startReplica(t, Options{Slots: 1, Sleep: held.sleep, Timing: Timing{Base: time.Second}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, _, err := exchange(ctx, server, backendapi.SearchPath, searchRequest())
		done <- err
	}()
	<-held.entered
	cancel()
	if err := <-done; err == nil {
		t.Error("the cancelled request was answered")
	}
	waitFor(t, func() bool {
		return server.Replica.Counters().Canceled == 1 && server.Replica.slots.load().InFlight == 0
	})
}

func TestDrainFinishesWhatRunsAndShowsInItsReply(t *testing.T) {
	held := newGate()
	server := startReplica(t, Options{Sleep: held.sleep, Timing: Timing{Base: time.Second}})
	replies := make(chan backendapi.SearchReply, 1)
	go func() {
		_, content, _ := exchange(context.Background(), server, backendapi.SearchPath, searchRequest())
		var reply backendapi.SearchReply
		_ = json.Unmarshal(content, &reply) // an empty reply fails the check below
		replies <- reply
	}()
	<-held.entered
	server.Replica.Drain()
	close(held.open)
	if reply := <-replies; !reply.Draining || reply.Count != 2 {
		t.Errorf("reply %+v", reply)
	}
}

func TestConnectionLimitClosesAtAccept(t *testing.T) {
	held := newGate()
	server := startReplica(t, Options{ConnectionLimit: 1, Sleep: held.sleep, Timing: Timing{Base: time.Second}})
	done := make(chan int, 1)
	go func() {
		status, _, _ := exchange(context.Background(), server, backendapi.SearchPath, searchRequest())
		done <- status
	}()
	<-held.entered
	if _, _, err := exchange(t.Context(), server, backendapi.SearchPath, searchRequest()); err == nil {
		t.Error("a connection beyond the limit was served")
	}
	close(held.open)
	if status := <-done; status != http.StatusOK {
		t.Errorf("the first connection got %d", status)
	}
	counted := server.Replica.Counters()
	if counted.ConnectionsAccepted != 1 || counted.ConnectionsRefused != 1 || counted.ConnectionsPeak != 1 {
		t.Errorf("counters %+v", counted)
	}
}

func TestStatusFaults(t *testing.T) {
	cases := map[string]struct {
		faults Faults
		want   backendapi.State
	}{
		"truth":  {Faults{}, backendapi.StateDraining},
		"lies":   {Faults{StatusLies: true}, backendapi.StateServing},
		"frozen": {Faults{StatusFrozen: true}, backendapi.StateCold},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			replica := New(Options{Timing: Timing{ColdRequests: 1, ColdFactor: 2}})
			replica.SetFaults(test.faults)
			replica.Drain()
			if got := replica.faults.status(replica.truth()).State; got != test.want {
				t.Errorf("state %q, want %q", got, test.want)
			}
		})
	}
}

func TestServiceTimesAreSeededAndColdAtFirst(t *testing.T) {
	timing := Timing{Base: time.Millisecond, MeanExtra: time.Millisecond, StragglerShare: 0.1, StragglerFactor: 20, ColdRequests: 1, ColdFactor: 100}
	one, two := newStopwatch(timing, 7), newStopwatch(timing, 7)
	var first, second []time.Duration
	for range 50 {
		first, second = append(first, one.draw(1)), append(second, two.draw(1))
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("the same seed differs:\n%s", diff)
	}
	if first[0] < 100*timing.Base {
		t.Errorf("the first request took %v, want it cold", first[0])
	}
}

func TestLognormalServiceTimes(t *testing.T) {
	const draws = 20_000
	watch := newStopwatch(Timing{Base: 20 * time.Millisecond, Sigma: 0.5}, 1)
	var total time.Duration
	for range draws {
		total += watch.draw(1)
	}
	if mean := total / draws; mean < 19*time.Millisecond || mean > 21*time.Millisecond {
		t.Errorf("mean %v", mean)
	}
	if median := Lognormal(20*time.Millisecond, 0.5, 0); median.Round(time.Millisecond) != 18*time.Millisecond {
		t.Errorf("median %v", median)
	}
}

func TestHollowRepliesArePureFunctionsOfTheRequest(t *testing.T) {
	server := startReplica(t, Options{Hollow: true})
	counts := make(map[int]bool)
	for shard := range 30 {
		request := with(func(r *backendapi.SearchRequest) { r.Shard, r.Snapshot, r.QueryID = shard, 77, fmt.Sprint(shard/10) })
		_, content, err := exchange(t.Context(), server, backendapi.SearchPath, request)
		if err != nil {
			t.Fatal(err)
		}
		_, again, err := exchange(t.Context(), server, backendapi.SearchPath, request)
		if err != nil || !bytes.Equal(content, again) {
			t.Fatalf("two replies differ: %s and %s (%v)", content, again, err)
		}
		counts[decodeAs[backendapi.SearchReply](t, content).Count] = true
	}
	if diff := cmp.Diff(map[int]bool{0: true, 1: true, 2: true}, counts); diff != "" {
		t.Errorf("numbers of hits (-want +got):\n%s", diff)
	}
}

// waitFor yields until a condition holds; the test binary's timeout ends it.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for !holds() {
		runtime.Gosched()
	}
}
