package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/admin"
	"github.com/doorpond/doorpond/internal/comparison"
	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
)

// API is a client of a daemon's administration port.
type API struct {
	base  string
	token string
	http  *http.Client
	// unusable is why no request can be made, such as a bad certificate.
	unusable error
}

const (
	// requestTimeout bounds a request, over and above what it waits for.
	requestTimeout = 30 * time.Second
	maxReplyBytes  = 64 << 20
)

// NewAPI makes a client of an administration port without TLS, given as
// host:port or URL.
func NewAPI(address, token string) *API {
	return &API{base: baseURL(address, plainScheme), token: token, http: &http.Client{}}
}

const (
	plainScheme  = "http://"
	secureScheme = "https://"
)

func baseURL(address, scheme string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return scheme + address
}

// Table returns the table in force on the daemon.
func (a *API) Table(ctx context.Context) (*policy.Table, error) {
	table := &policy.Table{}
	return table, a.get(ctx, "/v1/table", table)
}

// Policy returns one row.
func (a *API) Policy(ctx context.Context, name string) (*policy.Row, error) {
	row := &policy.Row{}
	return row, a.get(ctx, "/v1/policies/"+url.PathEscape(name), row)
}

// History returns the last changes, newest first.
func (a *API) History(ctx context.Context, limit int) (*admin.History, error) {
	history := &admin.History{}
	return history, a.get(ctx, "/v1/history?limit="+strconv.Itoa(limit), history)
}

// Status returns the state of all daemons.
func (a *API) Status(ctx context.Context) (*admin.Status, error) {
	status := &admin.Status{}
	return status, a.get(ctx, "/v1/status", status)
}

// System returns all nodes on the users' platform, and what the one that is
// asked knows.
func (a *API) System(ctx context.Context) (*inspect.System, error) {
	system := &inspect.System{}
	return system, a.get(ctx, "/v1/system", system)
}

// Release lets a quarantined request be served again.
func (a *API) Release(ctx context.Context, identity string) (*inspect.ReleaseResult, error) {
	released := &inspect.ReleaseResult{}
	query := url.Values{"identity": {identity}}
	return released, a.do(ctx, http.MethodPost, "/v1/release?"+query.Encode(), requestTimeout, nil, released)
}

// Compare sets two policies side by side over the last while; an empty group
// means all groups.
func (a *API) Compare(ctx context.Context, first, second, group string, last time.Duration) (*comparison.Live, error) {
	compared := &comparison.Live{}
	query := url.Values{"a": {first}, "b": {second}, "group": {group}, "last": {last.String()}}
	return compared, a.get(ctx, "/v1/compare?"+query.Encode(), compared)
}

// Edit applies an edit and waits up to a time for it to be in force.
func (a *API) Edit(ctx context.Context, edit policytable.Edit, wait time.Duration) (*admin.EditResult, error) {
	result := &admin.EditResult{}
	return result, a.post(ctx, "/v1/edits?wait="+wait.String(), wait, edit, result)
}

// Diff returns what an edit would change.
func (a *API) Diff(ctx context.Context, edit policytable.Edit) (*admin.EditResult, error) {
	result := &admin.EditResult{}
	return result, a.post(ctx, "/v1/edits?dry_run=true", 0, edit, result)
}

// Restore writes the table in force back to the store.
func (a *API) Restore(ctx context.Context, author string, wait time.Duration) (*admin.EditResult, error) {
	result := &admin.EditResult{}
	return result, a.post(ctx, "/v1/restore?wait="+wait.String(), wait, admin.RestoreRequest{Author: author}, result)
}

func (a *API) get(ctx context.Context, path string, into any) error {
	return a.do(ctx, http.MethodGet, path, requestTimeout, nil, into)
}

func (a *API) post(ctx context.Context, path string, wait time.Duration, body, into any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	return a.do(ctx, http.MethodPost, path, requestTimeout+wait, encoded, into)
}

func (a *API) do(ctx context.Context, method, path string, timeout time.Duration, body []byte, into any) error {
	if a.unusable != nil {
		return a.unusable
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, method, a.base+path, bytes.NewReader(body))
	if err != nil {
		return usage("the administration address is not valid: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if a.token != "" {
		request.Header.Set("Authorization", "Bearer "+a.token)
	}
	response, err := a.http.Do(request)
	if err != nil {
		return fmt.Errorf("ask the daemon's administration port: %w", err)
	}
	defer response.Body.Close()
	return decodeAnswer(response, into)
}

func decodeAnswer(response *http.Response, into any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return eris.Wrap(err, "read the daemon's answer")
	}
	if response.StatusCode == http.StatusOK {
		return eris.Wrap(json.Unmarshal(body, into), "decode the daemon's answer")
	}
	problem := &client.Problem{}
	if err := json.Unmarshal(body, problem); err != nil || problem.Kind == "" {
		return &codedError{code: ExitFailure, err: eris.Errorf("the administration port answered %s", response.Status)}
	}
	return problem
}
