package admin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
)

// EditResult is the outcome of an accepted edit, or of a dry run.
type EditResult struct {
	// Change is nil for a dry run.
	Change *policy.Change `json:"change,omitempty"`
	// Diff lists the lines that the edit would change. It is set only for a dry run.
	Diff   []string `json:"diff,omitempty"`
	DryRun bool     `json:"dry_run"`
	// Propagation is set only if the request has ?wait.
	Propagation *Propagation `json:"propagation,omitempty"`
}

// History contains the most recent changes, newest first.
type History struct {
	Changes []policy.Change `json:"changes"`
}

// RestoreRequest requests that the active table is written back to the store.
type RestoreRequest struct {
	Author string `json:"author"`
}

func (h *handler) policyIndex() (*policy.Index, error) {
	index := h.options.Board.PolicyTable.Load()
	if index == nil {
		return nil, failure.New(failure.NoTable, "the policy table is not loaded yet")
	}
	return index, nil
}

func (h *handler) table(w http.ResponseWriter, _ *http.Request) {
	index, err := h.policyIndex()
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	writeJSON(w, index.Table)
}

func (h *handler) policy(w http.ResponseWriter, r *http.Request) {
	index, err := h.policyIndex()
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	row := index.Row(r.PathValue("name"))
	if row == nil {
		failure.WriteProblem(w, failure.New(failure.NotFound, "no such policy: "+strconv.Quote(r.PathValue("name"))))
		return
	}
	writeJSON(w, row)
}

func (h *handler) history(w http.ResponseWriter, r *http.Request) {
	limit, err := parseLimit(r)
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	changes, err := h.options.Editor.History(r.Context(), limit)
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	writeJSON(w, History{Changes: changes})
}

func parseLimit(r *http.Request) (int, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return 0, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 {
		return 0, failure.New(failure.InvalidRequest, "limit must be a positive integer, not "+strconv.Quote(text))
	}
	return limit, nil
}

// editQuery contains the query parameters of POST /v1/edits and /v1/restore.
type editQuery struct {
	dryRun bool
	// wait is the maximum wait for propagation; 0 means not to wait.
	wait time.Duration
}

func parseEditQuery(r *http.Request) (editQuery, error) {
	var query editQuery
	values := r.URL.Query()
	if text := values.Get("dry_run"); text != "" {
		dryRun, err := strconv.ParseBool(text)
		if err != nil {
			return query, failure.New(failure.InvalidRequest, "dry_run must be true or false, not "+strconv.Quote(text))
		}
		query.dryRun = dryRun
	}
	if text := values.Get("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 || wait > maxPropagationWait {
			return query, failure.New(failure.InvalidRequest,
				"wait must be a duration up to "+maxPropagationWait.String()+", not "+strconv.Quote(text))
		}
		query.wait = wait
	}
	return query, nil
}

func (h *handler) edit(w http.ResponseWriter, r *http.Request) {
	query, err := parseEditQuery(r)
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	var edit policytable.Edit
	if err := h.readJSON(w, r, &edit); err != nil {
		failure.WriteProblem(w, err)
		return
	}
	result, err := h.applyOrDiff(r.Context(), edit, query)
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	writeJSON(w, result)
}

func (h *handler) applyOrDiff(ctx context.Context, edit policytable.Edit, query editQuery) (EditResult, error) {
	if query.dryRun {
		lines, err := h.options.Editor.Diff(ctx, edit)
		return EditResult{Diff: lines, DryRun: true}, err
	}
	change, err := h.options.Editor.Apply(ctx, edit)
	if err != nil {
		return EditResult{}, err
	}
	return h.newEditResult(ctx, change, query.wait), nil
}

// newEditResult waits up to wait for the change to become active on all daemons.
func (h *handler) newEditResult(ctx context.Context, change policy.Change, wait time.Duration) EditResult {
	result := EditResult{Change: &change}
	if wait > 0 {
		propagation := h.awaitRevision(ctx, change.Revision, wait)
		result.Propagation = &propagation
	}
	return result
}

func (h *handler) restore(w http.ResponseWriter, r *http.Request) {
	query, err := parseEditQuery(r)
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	var request RestoreRequest
	if err := h.readJSON(w, r, &request); err != nil {
		failure.WriteProblem(w, err)
		return
	}
	change, err := h.options.Editor.Restore(r.Context(), request.Author)
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	writeJSON(w, h.newEditResult(r.Context(), change, query.wait))
}
