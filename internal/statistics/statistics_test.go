package statistics

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

func TestMergeAcrossDaemons(t *testing.T) {
	now := time.Unix(6000, 0)
	clock := func() time.Time { return now }
	first, second, both := New(clock), New(clock), New(clock)
	for i := range 1000 {
		sample := Sample{Group: "gate", Latency: time.Duration(i) * time.Millisecond, Asked: 4, Answered: 3 + i%2, Attempts: 5}
		both.Record("a", sample)
		if i%3 == 0 {
			first.Record("a", sample)
		} else {
			second.Record("a", sample)
		}
	}
	merged := Merge(first.Snapshot(time.Minute), roundTrip(t, second.Snapshot(time.Minute)))
	if diff := cmp.Diff(both.Snapshot(time.Minute), merged); diff != "" {
		t.Errorf("merged statistics differ from those of a single recorder (-want +got):\n%s", diff)
	}
	if p99 := merged[0].Quantile(0.99); p99 < 980*time.Millisecond || p99 > 1000*time.Millisecond {
		t.Errorf("p99 %v, want near 990ms", p99)
	}
	if coverage, extra := merged[0].Coverage(), merged[0].ExtraLoad(); coverage != 0.875 || extra != 0.25 {
		t.Errorf("coverage %v and extra load %v, want 0.875 and 0.25", coverage, extra)
	}
}

func roundTrip(t *testing.T, sent []PolicyStatistics) []PolicyStatistics {
	t.Helper()
	encoded, err := msgpack.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var received, decoded []PolicyStatistics
	if err := msgpack.Unmarshal(encoded, &received); err != nil {
		t.Fatal(err)
	}
	if encoded, err = json.Marshal(received); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

func TestSnapshotDropsExpiredMinutes(t *testing.T) {
	now := time.Unix(6000, 0)
	recorder := New(func() time.Time { return now })
	recorder.Record("a", Sample{Group: "gate", Latency: time.Second})
	now = now.Add(5 * time.Minute)
	recorder.Record("a", Sample{Group: "gate", Failed: true})
	cases := []struct {
		since time.Duration
		want  int64
	}{{time.Minute, 1}, {5 * time.Minute, 2}, {24 * time.Hour, 2}}
	for _, test := range cases {
		if got := recorder.Snapshot(test.since)[0].Queries; got != test.want {
			t.Errorf("%d queries in the last %v, want %d", got, test.since, test.want)
		}
	}
	now = now.Add(2 * time.Hour)
	if remaining := recorder.Snapshot(24 * time.Hour); len(remaining) != 0 {
		t.Errorf("expired minutes are still reported: %+v", remaining)
	}
}

func TestRecorderLimitsSeries(t *testing.T) {
	recorder := New(nil)
	for i := range 2 * maxSeries {
		recorder.Record("a", Sample{Group: fmt.Sprint(i)})
	}
	if kept := len(recorder.Snapshot(time.Minute)); kept != maxSeries+1 {
		t.Errorf("%d series kept, want %d and one for other groups", kept, maxSeries)
	}
}
