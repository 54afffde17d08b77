package policytable_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/store"
)

// daemon is an Editor with the register and blackboard of its daemon.
type daemon struct {
	board    *blackboard.Board
	register *document.Register
	editor   *policytable.Editor
}

func newDaemon(store policytable.Store) *daemon {
	d := &daemon{board: &blackboard.Board{}, register: document.NewRegister()}
	d.register.AddAcceptor(document.Table, policytable.TableAcceptor(d.board))
	d.editor = policytable.NewEditor(policytable.Options{Store: store, Register: d.register, Board: d.board})
	return d
}

// setHits returns an edit that sets the hit limit of a policy.
func setHits(id, name string, hits int) policytable.Edit {
	row := policy.DefaultRow(name)
	row.Limits.Hits = hits
	return policytable.Edit{ID: id, Author: "ama", SetPolicies: []policy.Row{row}}
}

func apply(t *testing.T, d *daemon, edit policytable.Edit) policy.Change {
	t.Helper()
	change, err := d.editor.Apply(t.Context(), edit)
	if err != nil {
		t.Fatalf("apply %s: %v", edit.ID, err)
	}
	return change
}

func TestApplyWithStoreFaults(t *testing.T) {
	cases := []struct {
		name      string
		commits   []fault
		failReads int
		// wantKind is empty if the edit succeeds.
		wantKind failure.Kind
	}{
		{"no fault", nil, 0, ""},
		{"rejected", []fault{faultRejected}, 0, failure.StoreUnavailable},
		{"reads fail", nil, 1, failure.StoreUnavailable},
		{"response lost", []fault{faultLostResponse}, 0, ""},
		{"request lost", []fault{faultLostRequest}, 0, ""},
		{"request lost, then response lost", []fault{faultLostRequest, faultLostResponse}, 0, ""},
		{"request lost, then rejected, then applied", []fault{faultLostRequest, faultRejected}, 0, ""},
		{"requests lost until timeout", repeatFault(faultLostRequest, 1000), 0, failure.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore(c.commits...)
				store.failReads = c.failReads
				d := newDaemon(store)
				change, err := d.editor.Apply(t.Context(), setHits("one", "p", 10))
				if c.wantKind != "" {
					checkKind(t, err, c.wantKind)
					return
				}
				if err != nil || change.Revision != 1 || change.ID != "one" {
					t.Fatalf("change %+v, error %v", change, err)
				}
				if row := d.board.PolicyTable.Load().Row("p"); row == nil || row.Limits.Hits != 10 || row.Revision != 1 {
					t.Errorf("published: %+v", row)
				}
				checkHistory(t, d, "one")
			})
		})
	}
}

func repeatFault(value fault, count int) []fault {
	faults := make([]fault, count)
	for i := range faults {
		faults[i] = value
	}
	return faults
}

func checkKind(t *testing.T, err error, want failure.Kind) {
	t.Helper()
	if err == nil || failure.KindOf(err) != want {
		t.Fatalf("error %v, want kind %s", err, want)
	}
	row := failure.Lookup(want)
	if got := failure.From(err); got.NotRun != row.NotRun || got.RetryAfter != row.RetryAfter {
		t.Errorf("NotRun %v, RetryAfter %v", got.NotRun, got.RetryAfter)
	}
}

// checkHistory checks that the history has these changes, newest first, with
// consecutive revisions.
func checkHistory(t *testing.T, d *daemon, want ...string) {
	t.Helper()
	changes, err := d.editor.History(t.Context(), 500)
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

func TestApplyIsIdempotentByID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		d := newDaemon(store)
		first := apply(t, d, setHits("one", "p", 10))
		apply(t, d, setHits("two", "p", 20))
		again := apply(t, newDaemon(store), setHits("one", "p", 10))
		if diff := cmp.Diff(first, again); diff != "" {
			t.Error(diff)
		}
		checkHistory(t, d, "two", "one")
	})
}

func TestApplyConcurrentChange(t *testing.T) {
	deletePolicy := func(id, name string) policytable.Edit {
		return policytable.Edit{ID: id, Author: "kofi", DeletePolicies: []string{name}}
	}
	cases := []struct {
		name        string
		other, edit policytable.Edit
		expected    uint64
		wantKind    failure.Kind
		wantInError string
	}{
		{"different rows", setHits("other", "q", 5), setHits("mine", "p", 20), 1, "", ""},
		{"same row", setHits("other", "p", 5), setHits("mine", "p", 20), 1, failure.Conflict,
			`by ama at revision 2`},
		{"same row without expected revision", setHits("other", "p", 5), setHits("mine", "p", 20), 0, "", ""},
		{"same row, same value", setHits("other", "p", 5), setHits("mine", "p", 5), 1, "", ""},
		{"row deleted", deletePolicy("other", "p"), setHits("mine", "p", 20), 1, failure.Conflict,
			`policy "p" deleted`},
		{"row deleted by both", deletePolicy("other", "p"), deletePolicy("mine", "p"), 1, failure.NotFound, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				d := newDaemon(store)
				apply(t, d, setHits("first", "p", 10))
				other := newDaemon(store)
				store.beforeCommit = func() { apply(t, other, c.other) }
				c.edit.ExpectedRevision = c.expected
				_, err := d.editor.Apply(t.Context(), c.edit)
				if c.wantKind == "" {
					if err != nil {
						t.Fatal(err)
					}
					return
				}
				checkKind(t, err, c.wantKind)
				if !strings.Contains(err.Error(), c.wantInError) {
					t.Errorf("error %v does not contain %q", err, c.wantInError)
				}
			})
		})
	}
}

func TestApplyConcurrentEditors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const editors = 8
		store := newFakeStore(faultNone, faultLostResponse, faultNone, faultLostRequest, faultNone, faultLostResponse)
		var group sync.WaitGroup
		for i := range editors {
			group.Go(func() {
				name := fmt.Sprintf("p%d", i)
				if _, err := newDaemon(store).editor.Apply(t.Context(), setHits(name, name, i+1)); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			})
		}
		group.Wait()
		last := newDaemon(store)
		apply(t, last, setHits("last", "last", 1))
		if got := len(last.board.PolicyTable.Load().Table.Policies); got != editors+1 {
			t.Errorf("%d policies, want %d", got, editors+1)
		}
		if got := last.board.PolicyTable.Load().Table.Revision; got != editors+1 {
			t.Errorf("revision %d, want %d", got, editors+1)
		}
	})
}

func TestRestoreRegressedStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon(newFakeStore())
		apply(t, d, setHits("one", "p", 10))
		apply(t, d, setHits("two", "p", 20))
		empty := newFakeStore()
		restored := policytable.NewEditor(policytable.Options{Store: empty, Register: d.register, Board: d.board})
		_, err := restored.Apply(t.Context(), setHits("three", "p", 30))
		checkKind(t, err, failure.StoreRegressed)
		change, err := restored.Restore(t.Context(), "ama")
		if err != nil || change.Revision != 3 {
			t.Fatalf("change %+v, error %v", change, err)
		}
		if got := d.board.PolicyTable.Load(); got.Table.Revision != 3 || got.Row("p").Limits.Hits != 20 {
			t.Errorf("published: %+v", got.Table)
		}
		_, err = restored.Restore(t.Context(), "ama")
		checkKind(t, err, failure.InvalidRequest)
	})
}

func TestApplyRejectsInvalidEdit(t *testing.T) {
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
		{"empty edit", policytable.Edit{Author: "ama"}, failure.InvalidRequest},
		{"invalid row", policytable.Edit{Author: "ama", SetPolicies: []policy.Row{bad}}, failure.InvalidRequest},
		{"policy in use", policytable.Edit{Author: "ama", DeletePolicies: []string{"p"}}, failure.InvalidRequest},
		{"unknown policy", policytable.Edit{Author: "ama", DeletePolicies: []string{"x"}}, failure.NotFound},
		{"unknown group", policytable.Edit{Author: "ama", DeleteAssignments: []string{"x"}}, failure.NotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDaemon(newFakeStore())
			apply(t, d, assigned)
			_, err := d.editor.Apply(t.Context(), c.edit)
			checkKind(t, err, c.want)
			if got := d.board.PolicyTable.Load().Table.Revision; got != 1 {
				t.Errorf("revision %d, want 1", got)
			}
		})
	}
}

func TestDiffListsChangedFields(t *testing.T) {
	d := newDaemon(newFakeStore())
	apply(t, d, setHits("one", "p", 10))
	changed := setHits("two", "p", 20)
	changed.SetPolicies[0].Wait.Timeout = policy.Duration(2 * time.Second)
	lines, err := d.editor.Diff(t.Context(), changed)
	want := []string{`policy "p": limits.hits 10 -> 20`, `policy "p": wait.timeout 1s -> 2s`}
	if diff := cmp.Diff(want, lines); diff != "" || err != nil {
		t.Error(diff, err)
	}
	unchanged := apply(t, d, setHits("three", "p", 10))
	if unchanged.Revision != 1 || len(unchanged.Summary) != 0 {
		t.Errorf("edit without effect returned %+v", unchanged)
	}
}

func TestHistorySpansBlocks(t *testing.T) {
	d := newDaemon(newFakeStore())
	for i := range 205 {
		apply(t, d, setHits(fmt.Sprint(i), "p", i+1))
	}
	changes, err := d.editor.History(t.Context(), 150)
	if err != nil || len(changes) != 150 {
		t.Fatalf("%d changes, error %v", len(changes), err)
	}
	for i, change := range changes {
		if change.Revision != uint64(205-i) {
			t.Fatalf("change %d is at revision %d", i, change.Revision)
		}
	}
}

func TestTableAcceptorRejectsInvalidTable(t *testing.T) {
	cases := map[string]string{
		"not JSON":          `{`,
		"wrong type":        `{"revision":2,"policies":{}}`,
		"invalid row":       `{"revision":2,"policies":[{"name":"p"}]}`,
		"revision mismatch": `{"revision":3,"policies":[],"assignments":[]}`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDaemon(newFakeStore())
			apply(t, d, setHits("one", "p", 10))
			_, err := d.register.Offer(document.Document{Name: document.Table, Revision: 2, Body: []byte(body)})
			if err == nil {
				t.Error("invalid table accepted")
			}
			if got := d.board.PolicyTable.Load().Table.Revision; got != 1 {
				t.Errorf("revision %d, want 1", got)
			}
		})
	}
}

func TestCatalogueAcceptor(t *testing.T) {
	cases := []struct{ name, body, want string }{
		{"valid", `{"revision":1,"corpora":[{"name":"c","snapshots":[{"id":1,"indexes":[{"name":"i","groups":["g"]}]},{"id":2}]}]}`, ""},
		{"snapshots out of order", `{"revision":1,"corpora":[{"name":"c","snapshots":[{"id":2},{"id":2}]}]}`, "does not follow"},
		{"no shards", `{"revision":1,"corpora":[{"name":"c","snapshots":[{"id":1,"indexes":[{"name":"i"}]}]}]}`, "no shards"},
		{"no group", `{"revision":1,"corpora":[{"name":"c","snapshots":[{"id":1,"indexes":[{"name":"i","groups":[""]}]}]}]}`, "no replica group"},
		{"duplicate corpus", `{"revision":1,"corpora":[{"name":"c"},{"name":"c"}]}`, "duplicate name"},
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

func TestApplyReadFailureAfterUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(faultLostResponse)
		d := newDaemon(store)
		store.beforeCommit = func() { store.failReads = 3 }
		if _, err := d.editor.Apply(t.Context(), setHits("one", "p", 10)); err != nil {
			t.Errorf("change is in the store, but Apply failed: %v", err)
		}
	})
}

// lateStore responds to commits, which it has applied, from a time on.
type lateStore struct {
	*fakeStore
	respondsFrom time.Time
}

func (s *lateStore) Commit(ctx context.Context, transaction store.Transaction) (store.Outcome, error) {
	outcome, err := s.fakeStore.Commit(ctx, transaction)
	timer := time.NewTimer(time.Until(s.respondsFrom))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return store.Outcome{}, store.ErrOutcomeUnknown
	case <-timer.C:
		return outcome, err
	}
}

// TestApplyExcludesPauses guards against telling an operator that the outcome of a change is unknown
// because the process was paused while the store responded.
func TestApplyExcludesPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout, pause = 5 * time.Second, 10 * time.Second
		start := time.Now()
		// A meter that does not run yet is that of a paused process.
		meter := elapsed.New(elapsed.Config{Now: func() time.Duration { return time.Since(start) }})
		editor := policytable.NewEditor(policytable.Options{
			Store: &lateStore{newFakeStore(), start.Add(pause + timeout/2)}, Register: document.NewRegister(), Board: &blackboard.Board{},
			ChangeTimeout: timeout, WithTimeout: meter.WithTimeout,
		})
		result := make(chan error, 1)
		go func() {
			_, err := editor.Apply(t.Context(), setHits("c", "p", 10))
			result <- err
		}()
		time.Sleep(pause)
		go func() { _ = meter.Run(t.Context()) }()
		if err := <-result; err != nil {
			t.Error(err)
		}
	})
}
