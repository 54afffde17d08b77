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
	"github.com/doorpond/doorpond/internal/elapsed/operation"
	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
)

// AdminClient is an HTTP client for a daemon's administration port.
type AdminClient struct {
	base  string
	token string
	http  *http.Client
	// configErr is returned by every request if the client could not be
	// configured, for example because of an invalid certificate.
	configErr error
}

const (
	// requestTimeout limits a request, in addition to any wait it asks for, not counting time in
	// which the process is paused.
	requestTimeout   = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// NewAdminClient returns a client without TLS for the administration port at
// address, which is host:port or a URL.
func NewAdminClient(address, token string) *AdminClient {
	return &AdminClient{base: baseURL(address, httpScheme), token: token, http: &http.Client{}}
}

const (
	httpScheme  = "http://"
	httpsScheme = "https://"
)

func baseURL(address, scheme string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return scheme + address
}

// Table returns the policy table in force on the daemon.
func (a *AdminClient) Table(ctx context.Context) (*policy.Table, error) {
	table := &policy.Table{}
	return table, a.get(ctx, "/v1/table", table)
}

// Policy returns the policy with the given name.
func (a *AdminClient) Policy(ctx context.Context, name string) (*policy.Row, error) {
	row := &policy.Row{}
	return row, a.get(ctx, "/v1/policies/"+url.PathEscape(name), row)
}

// History returns the latest changes, newest first.
func (a *AdminClient) History(ctx context.Context, limit int) (*admin.History, error) {
	history := &admin.History{}
	return history, a.get(ctx, "/v1/history?limit="+strconv.Itoa(limit), history)
}

// Status returns the state of all daemons.
func (a *AdminClient) Status(ctx context.Context) (*admin.Status, error) {
	status := &admin.Status{}
	return status, a.get(ctx, "/v1/status", status)
}

// System returns the state of all nodes of the platform as known to the node
// that the client queries.
func (a *AdminClient) System(ctx context.Context) (*inspect.System, error) {
	system := &inspect.System{}
	return system, a.get(ctx, "/v1/system", system)
}

// Release removes a request from quarantine.
func (a *AdminClient) Release(ctx context.Context, identity string) (*inspect.ReleaseResult, error) {
	released := &inspect.ReleaseResult{}
	query := url.Values{"identity": {identity}}
	return released, a.do(ctx, http.MethodPost, "/v1/release?"+query.Encode(), requestTimeout, nil, released)
}

// Compare compares two policies over the given period up to now. An empty group
// means all groups.
func (a *AdminClient) Compare(ctx context.Context, first, second, group string, last time.Duration) (*comparison.ClusterReport, error) {
	compared := &comparison.ClusterReport{}
	query := url.Values{"a": {first}, "b": {second}, "group": {group}, "last": {last.String()}}
	return compared, a.get(ctx, "/v1/compare?"+query.Encode(), compared)
}

// Edit applies an edit and waits for up to wait until it is in force on all
// daemons.
func (a *AdminClient) Edit(ctx context.Context, edit policytable.Edit, wait time.Duration) (*admin.EditResult, error) {
	result := &admin.EditResult{}
	return result, a.post(ctx, "/v1/edits?wait="+wait.String(), wait, edit, result)
}

// Diff returns the changes that an edit would make, without applying it.
func (a *AdminClient) Diff(ctx context.Context, edit policytable.Edit) (*admin.EditResult, error) {
	result := &admin.EditResult{}
	return result, a.post(ctx, "/v1/edits?dry_run=true", 0, edit, result)
}

// Restore writes the table in force back to a store that was restored from an
// older backup.
func (a *AdminClient) Restore(ctx context.Context, author string, wait time.Duration) (*admin.EditResult, error) {
	result := &admin.EditResult{}
	return result, a.post(ctx, "/v1/restore?wait="+wait.String(), wait, admin.RestoreRequest{Author: author}, result)
}

func (a *AdminClient) get(ctx context.Context, path string, target any) error {
	return a.do(ctx, http.MethodGet, path, requestTimeout, nil, target)
}

func (a *AdminClient) post(ctx context.Context, path string, wait time.Duration, body, target any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	return a.do(ctx, http.MethodPost, path, requestTimeout+wait, encoded, target)
}

func (a *AdminClient) do(ctx context.Context, method, path string, timeout time.Duration, body []byte, target any) error {
	if a.configErr != nil {
		return a.configErr
	}
	timeoutCtx, cancel := operation.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(timeoutCtx, method, a.base+path, bytes.NewReader(body))
	if err != nil {
		return usageError("invalid administration address: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if a.token != "" {
		request.Header.Set("Authorization", "Bearer "+a.token)
	}
	response, err := a.http.Do(request)
	if err != nil {
		return fmt.Errorf("request to the administration port: %w", err)
	}
	defer response.Body.Close()
	return decodeResponse(response, target)
}

func decodeResponse(response *http.Response, target any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(err, "read the daemon's response")
	}
	if response.StatusCode == http.StatusOK {
		return eris.Wrap(json.Unmarshal(body, target), "decode the daemon's response")
	}
	problem := &client.Problem{}
	if err := json.Unmarshal(body, problem); err != nil || problem.Kind == "" {
		return &exitError{code: ExitFailure, err: eris.Errorf("administration port returned status %s", response.Status)}
	}
	return problem
}
