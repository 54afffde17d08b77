package once_test

import (
	"testing"

	"github.com/doorpond/doorpond/internal/once"
	"github.com/doorpond/doorpond/internal/store"
)

func TestMarksAreOrderedByTheirVersions(t *testing.T) {
	ascending := []once.Watermark{
		{}, {Revision: 1}, {Revision: 1 << 42}, {Regressed: true}, {Regressed: true, Revision: 7},
		{Epoch: 1}, {Epoch: 1, Revision: 5}, {Epoch: 1, Regressed: true}, {Epoch: 2, Revision: 1},
	}
	for at, mark := range ascending {
		if unpacked := once.WatermarkFromVersion(mark.Version()); unpacked != mark {
			t.Errorf("%+v was packed and unpacked as %+v", mark, unpacked)
		}
		if at > 0 && ascending[at-1].Version() >= mark.Version() {
			t.Errorf("%+v is not over %+v", mark, ascending[at-1])
		}
	}
	if over := (once.Watermark{Epoch: 3, Revision: 1 << 50}); once.WatermarkFromVersion(over.Version()).Epoch != 3 {
		t.Error("a revision that does not fit changed the epoch")
	}
}

// shown is the outcome of a probe that found the fence otherwise.
func shown(revision, modRevision int64, value string) store.Outcome {
	outcome := store.Outcome{Revision: revision}
	if value != "" {
		outcome.Current = []store.KeyValue{{Key: once.FenceKey, Value: []byte(value), ModRevision: modRevision}}
	}
	return outcome
}

const (
	open1   = `{"epoch":1}`
	open2   = `{"epoch":2}`
	closed1 = `{"epoch":1,"closed":true}`
)

func TestFenceJudgesProbes(t *testing.T) {
	passed := func(revision int64) store.Outcome { return store.Outcome{Applied: true, Revision: revision} }
	cases := []struct {
		name string
		// told are the peers' marks before the probe is sent, meanwhile those
		// that come before its answer.
		told, meanwhile []once.Watermark
		probed          store.Outcome
		wrote           bool
		want            once.FenceStatus
		wantMark        once.Watermark
	}{
		{name: "nothing known", probed: passed(5), want: once.FenceCurrent, wantMark: once.Watermark{Revision: 5}},
		{name: "same revision", told: []once.Watermark{{Revision: 5}}, probed: passed(5), want: once.FenceCurrent, wantMark: once.Watermark{Revision: 5}},
		{name: "same revision after a write", told: []once.Watermark{{Revision: 5}}, probed: passed(5), wrote: true,
			want: once.FenceRegressed, wantMark: once.Watermark{Regressed: true, Revision: 5}},
		{name: "next revision after a write", told: []once.Watermark{{Revision: 5}}, probed: passed(6), wrote: true,
			want: once.FenceCurrent, wantMark: once.Watermark{Revision: 6}},
		{name: "lower revision", told: []once.Watermark{{Revision: 6}}, probed: passed(5), want: once.FenceRegressed,
			wantMark: once.Watermark{Regressed: true, Revision: 6}},
		{name: "peer's commit overtook the answer", told: []once.Watermark{{Revision: 4}}, meanwhile: []once.Watermark{{Revision: 9}},
			probed: passed(5), want: once.FenceCurrent, wantMark: once.Watermark{Revision: 9}},
		{name: "peer found a regression meanwhile", meanwhile: []once.Watermark{{Regressed: true}}, probed: passed(5),
			want: once.FenceRegressed, wantMark: once.Watermark{Regressed: true, Revision: 5}},
		{name: "next epoch told meanwhile", meanwhile: []once.Watermark{{Epoch: 1, Revision: 3}}, probed: passed(5),
			want: once.FenceRegressed, wantMark: once.Watermark{Epoch: 1, Revision: 5}},
		{name: "fence open in a later epoch, lower revision", told: []once.Watermark{{Revision: 9}}, probed: shown(5, 4, open1),
			want: once.FenceChanged, wantMark: once.Watermark{Epoch: 1, Revision: 5}},
		{name: "epoch known from peers, fence not yet read", told: []once.Watermark{{Epoch: 1, Revision: 4}}, probed: shown(5, 3, open1),
			want: once.FenceChanged, wantMark: once.Watermark{Epoch: 1, Revision: 5}},
		{name: "fence not yet read, lower revision in its epoch", told: []once.Watermark{{Epoch: 1, Revision: 9}}, probed: shown(5, 3, open1),
			want: once.FenceRegressed, wantMark: once.Watermark{Epoch: 1, Regressed: true, Revision: 9}},
		{name: "fence closed", told: []once.Watermark{{Epoch: 1, Revision: 4}}, probed: shown(9, 3, closed1),
			want: once.FenceRegressed, wantMark: once.Watermark{Epoch: 1, Regressed: true, Revision: 9}},
		{name: "acknowledged, not yet told", told: []once.Watermark{{Epoch: 1, Regressed: true, Revision: 9}}, probed: shown(5, 4, open2),
			want: once.FenceChanged, wantMark: once.Watermark{Epoch: 2, Revision: 5}},
		{name: "fence of an earlier epoch", told: []once.Watermark{{Epoch: 2, Revision: 4}}, probed: shown(9, 3, open1),
			want: once.FenceRegressed, wantMark: once.Watermark{Epoch: 2, Regressed: true, Revision: 9}},
		{name: "fence absent in a later epoch", told: []once.Watermark{{Epoch: 1, Revision: 4}}, probed: passed(3),
			want: once.FenceRegressed, wantMark: once.Watermark{Epoch: 1, Regressed: true, Revision: 4}},
		{name: "fence that cannot be read", probed: shown(5, 4, "?"), want: once.FenceRegressed,
			wantMark: once.Watermark{Epoch: 1<<20 - 1, Regressed: true, Revision: 5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fence := once.NewFence("a")
			for _, mark := range c.told {
				fence.Merge(mark)
			}
			sent := fence.Watermark()
			for _, mark := range c.meanwhile {
				fence.Merge(mark)
			}
			if got := fence.Check(sent, c.probed, c.wrote); got != c.want || fence.Watermark() != c.wantMark {
				t.Errorf("verdict %d and mark %+v, want %d and %+v", got, fence.Watermark(), c.want, c.wantMark)
			}
			if refused := fence.Admit() != nil; refused != c.wantMark.Regressed {
				t.Errorf("calls are refused: %v", refused)
			}
		})
	}
}

func TestFenceAnnouncesOnlyWhatItFound(t *testing.T) {
	fence := once.NewFence("a")
	fence.Merge(once.Watermark{Revision: 4})
	if _, wanted := fence.TakeAnnouncement(); wanted {
		t.Error("a peer's mark was announced again")
	}
	fence.Check(fence.Watermark(), store.Outcome{Applied: true, Revision: 6}, false)
	if fence.HasUrgentAnnouncement() {
		t.Error("a higher revision is urgent")
	}
	fence.RequireProbe()
	if !fence.HasUrgentAnnouncement() {
		t.Error("a higher revision is not urgent in trouble")
	}
	if mark, wanted := fence.TakeAnnouncement(); !wanted || mark.Revision != 6 {
		t.Errorf("%+v %v", mark, wanted)
	}
	fence.Check(fence.Watermark(), store.Outcome{Applied: true, Revision: 8}, false)
	fence.Merge(once.Watermark{Revision: 9})
	fence.Check(fence.Watermark(), store.Outcome{Applied: true, Revision: 10}, false)
	if _, wanted := fence.TakePeriodicAnnouncement(); wanted {
		t.Error("announced while a peer announces")
	}
	if mark, wanted := fence.TakePeriodicAnnouncement(); !wanted || mark.Revision != 10 {
		t.Errorf("%+v %v", mark, wanted)
	}
	if _, wanted := fence.TakeAnnouncement(); wanted || fence.HasUrgentAnnouncement() {
		t.Error("the same mark is announced twice")
	}
	fence.Check(fence.Watermark(), store.Outcome{Applied: true, Revision: 2}, false)
	if !fence.HasUrgentAnnouncement() || !fence.NeedsClose() {
		t.Error("a regression is not urgent")
	}
}
