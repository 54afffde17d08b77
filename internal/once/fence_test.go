package once_test

import (
	"testing"

	"github.com/doorpond/doorpond/internal/once"
	"github.com/doorpond/doorpond/internal/store"
)

func TestWatermarkVersionOrder(t *testing.T) {
	ascending := []once.Watermark{
		{}, {Revision: 1}, {Revision: 1 << 42}, {Regressed: true}, {Regressed: true, Revision: 7},
		{Epoch: 1}, {Epoch: 1, Revision: 5}, {Epoch: 1, Regressed: true}, {Epoch: 2, Revision: 1},
	}
	for i, watermark := range ascending {
		if unpacked := once.WatermarkFromVersion(watermark.Version()); unpacked != watermark {
			t.Errorf("%+v decoded as %+v", watermark, unpacked)
		}
		if i > 0 && ascending[i-1].Version() >= watermark.Version() {
			t.Errorf("version of %+v is not above that of %+v", watermark, ascending[i-1])
		}
	}
	if overflow := (once.Watermark{Epoch: 3, Revision: 1 << 50}); once.WatermarkFromVersion(overflow.Version()).Epoch != 3 {
		t.Error("revision overflow changed the epoch")
	}
}

// fenceOutcome returns the outcome of a probe whose comparison failed on the
// given value of the fence.
func fenceOutcome(revision, modRevision int64, value string) store.Outcome {
	outcome := store.Outcome{Revision: revision}
	if value != "" {
		outcome.Current = []store.KeyValue{{Key: once.FenceKey, Value: []byte(value), ModRevision: modRevision}}
	}
	return outcome
}

const (
	openEpoch1   = `{"epoch":1}`
	openEpoch2   = `{"epoch":2}`
	closedEpoch1 = `{"epoch":1,"closed":true}`
)

func TestFenceCheck(t *testing.T) {
	applied := func(revision int64) store.Outcome { return store.Outcome{Applied: true, Revision: revision} }
	cases := []struct {
		name string
		// peersBefore are the watermarks received from peers before the probe is
		// sent, peersDuring those received before its response.
		peersBefore, peersDuring []once.Watermark
		probe                    store.Outcome
		wrote                    bool
		want                     once.FenceStatus
		wantWatermark            once.Watermark
	}{
		{name: "nothing known", probe: applied(5), want: once.FenceCurrent, wantWatermark: once.Watermark{Revision: 5}},
		{name: "same revision", peersBefore: []once.Watermark{{Revision: 5}}, probe: applied(5), want: once.FenceCurrent, wantWatermark: once.Watermark{Revision: 5}},
		{name: "same revision after a write", peersBefore: []once.Watermark{{Revision: 5}}, probe: applied(5), wrote: true,
			want: once.FenceRegressed, wantWatermark: once.Watermark{Regressed: true, Revision: 5}},
		{name: "next revision after a write", peersBefore: []once.Watermark{{Revision: 5}}, probe: applied(6), wrote: true,
			want: once.FenceCurrent, wantWatermark: once.Watermark{Revision: 6}},
		{name: "lower revision", peersBefore: []once.Watermark{{Revision: 6}}, probe: applied(5), want: once.FenceRegressed,
			wantWatermark: once.Watermark{Regressed: true, Revision: 6}},
		{name: "peer's watermark received before the response", peersBefore: []once.Watermark{{Revision: 4}}, peersDuring: []once.Watermark{{Revision: 9}},
			probe: applied(5), want: once.FenceCurrent, wantWatermark: once.Watermark{Revision: 9}},
		{name: "peer detected a regression during the probe", peersDuring: []once.Watermark{{Regressed: true}}, probe: applied(5),
			want: once.FenceRegressed, wantWatermark: once.Watermark{Regressed: true, Revision: 5}},
		{name: "next epoch received during the probe", peersDuring: []once.Watermark{{Epoch: 1, Revision: 3}}, probe: applied(5),
			want: once.FenceRegressed, wantWatermark: once.Watermark{Epoch: 1, Revision: 5}},
		{name: "fence open in a later epoch, lower revision", peersBefore: []once.Watermark{{Revision: 9}}, probe: fenceOutcome(5, 4, openEpoch1),
			want: once.FenceChanged, wantWatermark: once.Watermark{Epoch: 1, Revision: 5}},
		{name: "epoch known from peers, fence not yet read", peersBefore: []once.Watermark{{Epoch: 1, Revision: 4}}, probe: fenceOutcome(5, 3, openEpoch1),
			want: once.FenceChanged, wantWatermark: once.Watermark{Epoch: 1, Revision: 5}},
		{name: "fence not yet read, lower revision in its epoch", peersBefore: []once.Watermark{{Epoch: 1, Revision: 9}}, probe: fenceOutcome(5, 3, openEpoch1),
			want: once.FenceRegressed, wantWatermark: once.Watermark{Epoch: 1, Regressed: true, Revision: 9}},
		{name: "fence closed", peersBefore: []once.Watermark{{Epoch: 1, Revision: 4}}, probe: fenceOutcome(9, 3, closedEpoch1),
			want: once.FenceRegressed, wantWatermark: once.Watermark{Epoch: 1, Regressed: true, Revision: 9}},
		{name: "acknowledged, watermark not yet received", peersBefore: []once.Watermark{{Epoch: 1, Regressed: true, Revision: 9}}, probe: fenceOutcome(5, 4, openEpoch2),
			want: once.FenceChanged, wantWatermark: once.Watermark{Epoch: 2, Revision: 5}},
		{name: "fence of an earlier epoch", peersBefore: []once.Watermark{{Epoch: 2, Revision: 4}}, probe: fenceOutcome(9, 3, openEpoch1),
			want: once.FenceRegressed, wantWatermark: once.Watermark{Epoch: 2, Regressed: true, Revision: 9}},
		{name: "fence absent in a later epoch", peersBefore: []once.Watermark{{Epoch: 1, Revision: 4}}, probe: applied(3),
			want: once.FenceRegressed, wantWatermark: once.Watermark{Epoch: 1, Regressed: true, Revision: 4}},
		{name: "invalid fence record", probe: fenceOutcome(5, 4, "?"), want: once.FenceRegressed,
			wantWatermark: once.Watermark{Epoch: 1<<20 - 1, Regressed: true, Revision: 5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fence := once.NewFence("a")
			for _, watermark := range c.peersBefore {
				fence.Merge(watermark)
			}
			sent := fence.Watermark()
			for _, watermark := range c.peersDuring {
				fence.Merge(watermark)
			}
			if got := fence.Check(sent, c.probe, c.wrote); got != c.want || fence.Watermark() != c.wantWatermark {
				t.Errorf("status %d and watermark %+v, want %d and %+v", got, fence.Watermark(), c.want, c.wantWatermark)
			}
			if refused := fence.Admit() != nil; refused != c.wantWatermark.Regressed {
				t.Errorf("calls refused: %v", refused)
			}
		})
	}
}

func TestFenceAnnouncements(t *testing.T) {
	fence := once.NewFence("a")
	fence.Merge(once.Watermark{Revision: 4})
	if _, wanted := fence.TakeAnnouncement(); wanted {
		t.Error("announced a peer's watermark")
	}
	fence.Check(fence.Watermark(), store.Outcome{Applied: true, Revision: 6}, false)
	if fence.HasUrgentAnnouncement() {
		t.Error("higher revision is urgent")
	}
	fence.RequireProbe()
	if !fence.HasUrgentAnnouncement() {
		t.Error("higher revision is not urgent after a failed request")
	}
	if watermark, wanted := fence.TakeAnnouncement(); !wanted || watermark.Revision != 6 {
		t.Errorf("%+v %v", watermark, wanted)
	}
	fence.Check(fence.Watermark(), store.Outcome{Applied: true, Revision: 8}, false)
	fence.Merge(once.Watermark{Revision: 9})
	fence.Check(fence.Watermark(), store.Outcome{Applied: true, Revision: 10}, false)
	if _, wanted := fence.TakePeriodicAnnouncement(); wanted {
		t.Error("announced although a peer announced")
	}
	if watermark, wanted := fence.TakePeriodicAnnouncement(); !wanted || watermark.Revision != 10 {
		t.Errorf("%+v %v", watermark, wanted)
	}
	if _, wanted := fence.TakeAnnouncement(); wanted || fence.HasUrgentAnnouncement() {
		t.Error("announced the same watermark twice")
	}
	fence.Check(fence.Watermark(), store.Outcome{Applied: true, Revision: 2}, false)
	if !fence.HasUrgentAnnouncement() || !fence.NeedsClose() {
		t.Error("regression is not urgent")
	}
}
