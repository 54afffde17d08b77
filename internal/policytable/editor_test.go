package policytable_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
)

// daemon is an editor with the parts of its daemon.
type daemon struct {
	board    *blackboard.Board
	register *document.Register
	editor   *policytable.Editor
}

func newDaemon(held policytable.Store) *daemon {
	made := &daemon{board: &blackboard.Board{}, register: document.NewRegister()}
	made.register.AddAcceptor(document.Table, policytable.TableAcceptor(made.board))
	made.editor = policytable.NewEditor(policytable.Options{Store: held, Register: made.register, Board: made.board})
	return made
}

// settingHits changes one policy.
func settingHits(id, name string, hits int) policytable.Edit {
	row := policy.DefaultRow(name)
	row.Limits.Hits = hits
	return policytable.Edit{ID: id, Author: "ama", SetPolicies: []policy.Row{row}}
}

func apply(t *testing.T, at *daemon, edit policytable.Edit) policy.Change {
	t.Helper()
	change, err := at.editor.Apply(t.Context(), edit)
	if err != nil {
		t.Fatalf("apply %s: %v", edit.ID, err)
	}
	return change
}

func TestApplyUnderStoreFaults(t *testing.T) {
	cases := []struct {
		name      string
		commits   []fault
		failReads int
		// wantKind is empty where the edit succeeds.
		wantKind failure.Kind
	}{
		{"no fault", nil, 0, ""},
		{"refused", []fault{faultRefused}, 0, failure.StoreUnavailable},
		{"reads fail", nil, 1, failure.StoreUnavailable},
		{"answer lost", []fault{faultLostAnswer}, 0, ""},
		{"request lost", []fault{faultLostRequest}, 0, ""},
		{"request lost, then answer lost", []fault{faultLostRequest, faultLostAnswer}, 0, ""},
		{"request lost, then refused, then applied", []fault{faultLostRequest, faultRefused}, 0, ""},
		{"lost until the time is over", many(faultLostRequest, 1000), 0, failure.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				held := newFakeStore(c.commits...)
				held.failReads = c.failReads
				at := newDaemon(held)
				change, err := at.editor.Apply(t.Context(), settingHits("one", "p", 10))
				if c.wantKind != "" {
					checkKind(t, err, c.wantKind)
					return
				}
				if err != nil || change.Revision != 1 || change.ID != "one" {
					t.Fatalf("change %+v, error %v", change, err)
				}
				if row := at.board.PolicyTable.Load().Row("p"); row == nil || row.Limits.Hits != 10 || row.Revision != 1 {
					t.Errorf("in force: %+v", row)
				}
				checkHistory(t, at, "one")
			})
		})
	}
}

func many(one fault, count int) []fault {
	faults := make([]fault, count)
	for i := range faults {
		faults[i] = one
	}
	return faults
}

func checkKind(t *testing.T, err error, want failure.Kind) {
	t.Helper()
	if err == nil || failure.KindOf(err) != want {
		t.Fatalf("error %v, want kind %s", err, want)
	}
	row := failure.Lookup(want)
	if known := failure.From(err); known.NotRun != row.NotRun || known.RetryAfter != row.RetryAfter {
		t.Errorf("not run %v, retry after %v", known.NotRun, known.RetryAfter)
	}
}

// checkHistory wants these changes, newest first, at revisions without a gap.
func checkHistory(t *testing.T, at *daemon, want ...string) {
	t.Helper()
	changes, err := at.editor.History(t.Context(), 500)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for i, change := range changes {
		got = append(got, change.ID)
		if change.Revision != uint64(len(changes)-i) {
			t.Errorf("change %s is at revision %d", change.ID, change.Revision)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestSameIDIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := newFakeStore()
		at := newDaemon(held)
		first := apply(t, at, settingHits("one", "p", 10))
		apply(t, at, settingHits("two", "p", 20))
		again := apply(t, newDaemon(held), settingHits("one", "p", 10))
		if diff := cmp.Diff(first, again); diff != "" {
			t.Error(diff)
		}
		checkHistory(t, at, "two", "one")
	})
}

func TestTwoOperators(t *testing.T) {
	delete := func(id, name string) policytable.Edit {
		return policytable.Edit{ID: id, Author: "kofi", DeletePolicies: []string{name}}
	}
	cases := []struct {
		name          string
		other, mine   policytable.Edit
		expected      uint64
		wantKind      failure.Kind
		wantInDetails string
	}{
		{"other row", settingHits("other", "q", 5), settingHits("mine", "p", 20), 1, "", ""},
		{"same row unseen", settingHits("other", "p", 5), settingHits("mine", "p", 20), 1, failure.Conflict,
			`by ama at revision 2`},
		{"same row, nothing expected", settingHits("other", "p", 5), settingHits("mine", "p", 20), 0, "", ""},
		{"same row, same value", settingHits("other", "p", 5), settingHits("mine", "p", 5), 1, "", ""},
		{"row deleted unseen", delete("other", "p"), settingHits("mine", "p", 20), 1, failure.Conflict,
			`policy "p" deleted`},
		{"row deleted by both", delete("other", "p"), delete("mine", "p"), 1, failure.NotFound, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				held := newFakeStore()
				at := newDaemon(held)
				apply(t, at, settingHits("first", "p", 10))
				other := newDaemon(held)
				held.before = func() { apply(t, other, c.other) }
				c.mine.ExpectedRevision = c.expected
				_, err := at.editor.Apply(t.Context(), c.mine)
				if c.wantKind == "" {
					if err != nil {
						t.Fatal(err)
					}
					return
				}
				checkKind(t, err, c.wantKind)
				if !strings.Contains(err.Error(), c.wantInDetails) {
					t.Errorf("%v does not say %q", err, c.wantInDetails)
				}
			})
		})
	}
}

func TestConcurrentEditsLoseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const editors = 8
		held := newFakeStore(faultNone, faultLostAnswer, faultNone, faultLostRequest, faultNone, faultLostAnswer)
		var group sync.WaitGroup
		for i := range editors {
			group.Go(func() {
				name := fmt.Sprintf("p%d", i)
				if _, err := newDaemon(held).editor.Apply(t.Context(), settingHits(name, name, i+1)); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			})
		}
		group.Wait()
		last := newDaemon(held)
		apply(t, last, settingHits("last", "last", 1))
		if got := len(last.board.PolicyTable.Load().Table.Policies); got != editors+1 {
			t.Errorf("%d policies, want %d", got, editors+1)
		}
		if got := last.board.PolicyTable.Load().Table.Revision; got != editors+1 {
			t.Errorf("revision %d, want %d", got, editors+1)
		}
	})
}

func TestRegressedStoreIsRefusedAndRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at := newDaemon(newFakeStore())
		apply(t, at, settingHits("one", "p", 10))
		apply(t, at, settingHits("two", "p", 20))
		empty := newFakeStore()
		restored := policytable.NewEditor(policytable.Options{Store: empty, Register: at.register, Board: at.board})
		_, err := restored.Apply(t.Context(), settingHits("three", "p", 30))
		checkKind(t, err, failure.StoreRegressed)
		change, err := restored.Restore(t.Context(), "ama")
		if err != nil || change.Revision != 3 {
			t.Fatalf("change %+v, error %v", change, err)
		}
		if got := at.board.PolicyTable.Load(); got.Table.Revision != 3 || got.Row("p").Limits.Hits != 20 {
			t.Errorf("in force: %+v", got.Table)
		}
		_, err = restored.Restore(t.Context(), "ama")
		checkKind(t, err, failure.InvalidRequest)
	})
}

func TestRefusedEdits(t *testing.T) {
	assigned := policytable.Edit{Author: "ama", SetPolicies: []policy.Row{policy.DefaultRow("p")},
		SetAssignments: []policy.Assignment{{Group: "g", Shares: []policy.Share{{Policy: "p", Weight: 1}}}}}
	bad := policy.DefaultRow("p")
	bad.Retry.Attempts = 0
	cases := []struct {
		name string
		edit policytable.Edit
		want failure.Kind
	}{
		{"no author", policytable.Edit{DeletePolicies: []string{"p"}}, failure.InvalidRequest},
		{"nothing", policytable.Edit{Author: "ama"}, failure.InvalidRequest},
		{"invalid row", policytable.Edit{Author: "ama", SetPolicies: []policy.Row{bad}}, failure.InvalidRequest},
		{"policy in use", policytable.Edit{Author: "ama", DeletePolicies: []string{"p"}}, failure.InvalidRequest},
		{"unknown policy", policytable.Edit{Author: "ama", DeletePolicies: []string{"x"}}, failure.NotFound},
		{"unknown group", policytable.Edit{Author: "ama", DeleteAssignments: []string{"x"}}, failure.NotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			at := newDaemon(newFakeStore())
			apply(t, at, assigned)
			_, err := at.editor.Apply(t.Context(), c.edit)
			checkKind(t, err, c.want)
			if got := at.board.PolicyTable.Load().Table.Revision; got != 1 {
				t.Errorf("revision %d, want 1", got)
			}
		})
	}
}

func TestDiffNamesFields(t *testing.T) {
	at := newDaemon(newFakeStore())
	apply(t, at, settingHits("one", "p", 10))
	changed := settingHits("two", "p", 20)
	changed.SetPolicies[0].Wait.Timeout = policy.Duration(2 * time.Second)
	lines, err := at.editor.Diff(t.Context(), changed)
	want := []string{`policy "p": limits.hits 10 -> 20`, `policy "p": wait.timeout 1s -> 2s`}
	if diff := cmp.Diff(want, lines); diff != "" || err != nil {
		t.Error(diff, err)
	}
	unchanged := apply(t, at, settingHits("three", "p", 10))
	if unchanged.Revision != 1 || len(unchanged.Summary) != 0 {
		t.Errorf("an edit without effect made %+v", unchanged)
	}
}

func TestHistoryOverBlocks(t *testing.T) {
	at := newDaemon(newFakeStore())
	for i := range 205 {
		apply(t, at, settingHits(fmt.Sprint(i), "p", i+1))
	}
	changes, err := at.editor.History(t.Context(), 150)
	if err != nil || len(changes) != 150 {
		t.Fatalf("%d changes, error %v", len(changes), err)
	}
	for i, change := range changes {
		if change.Revision != uint64(205-i) {
			t.Fatalf("change %d is at revision %d", i, change.Revision)
		}
	}
}

func TestPublishKeepsThePreviousTable(t *testing.T) {
	cases := map[string]string{
		"not JSON":       `{`,
		"wrong type":     `{"revision":2,"policies":{}}`,
		"invalid row":    `{"revision":2,"policies":[{"name":"p"}]}`,
		"other revision": `{"revision":3,"policies":[],"assignments":[]}`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			at := newDaemon(newFakeStore())
			apply(t, at, settingHits("one", "p", 10))
			_, err := at.register.Offer(document.Document{Name: document.Table, Revision: 2, Body: []byte(body)})
			if err == nil {
				t.Error("accepted")
			}
			if got := at.board.PolicyTable.Load().Table.Revision; got != 1 {
				t.Errorf("revision %d, want 1", got)
			}
		})
	}
}

func TestPublishCatalogue(t *testing.T) {
	cases := []struct{ name, body, want string }{
		{"valid", `{"revision":1,"corpora":[{"name":"c","snapshots":[{"id":1,"indexes":[{"name":"i","groups":["g"]}]},{"id":2}]}]}`, ""},
		{"snapshots out of order", `{"revision":1,"corpora":[{"name":"c","snapshots":[{"id":2},{"id":2}]}]}`, "does not follow"},
		{"no shards", `{"revision":1,"corpora":[{"name":"c","snapshots":[{"id":1,"indexes":[{"name":"i"}]}]}]}`, "no shards"},
		{"no group", `{"revision":1,"corpora":[{"name":"c","snapshots":[{"id":1,"indexes":[{"name":"i","groups":[""]}]}]}]}`, "no replica group"},
		{"corpus twice", `{"revision":1,"corpora":[{"name":"c"},{"name":"c"}]}`, "taken"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			board := &blackboard.Board{}
			err := policytable.CatalogueAcceptor(board)(document.Document{Name: document.Catalogue, Revision: 1, Body: []byte(c.body)})
			if c.want == "" {
				if err != nil || board.Catalogue.Load() == nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) || board.Catalogue.Load() != nil {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

func TestRereadAfterUnclearWriteDoesNotHideIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := newFakeStore(faultLostAnswer)
		at := newDaemon(held)
		held.before = func() { held.failReads = 3 }
		if _, err := at.editor.Apply(t.Context(), settingHits("one", "p", 10)); err != nil {
			t.Errorf("the change is in the store, but: %v", err)
		}
	})
}
