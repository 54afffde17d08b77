package failure

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/doorpond/doorpond/client"
)

// ProblemContentType is the media type of RFC 9457 problem details.
const ProblemContentType = "application/problem+json"

const problemTypePrefix = "https://doorpond.dev/problems/"

// Problem returns the RFC 9457 problem details for an error.
func Problem(err error) client.Problem {
	failed := From(err)
	response := Lookup(failed.Kind)
	return client.Problem{
		Type:                   problemTypePrefix + string(failed.Kind),
		Title:                  response.Title,
		Status:                 response.Status,
		Detail:                 failed.Detail,
		Kind:                   string(failed.Kind),
		NotRun:                 failed.NotRun,
		RetryAfterMilliseconds: failed.RetryAfter.Milliseconds(),
	}
}

// WriteProblem writes the problem details for an error as the response.
func WriteProblem(w http.ResponseWriter, err error) {
	problem := Problem(err)
	w.Header().Set("Content-Type", ProblemContentType)
	if problem.RetryAfterMilliseconds > 0 {
		w.Header().Set("Retry-After", roundUpToSeconds(problem.RetryAfterMilliseconds))
	}
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem) // fails only if the client disconnected
}

// roundUpToSeconds returns whole seconds, because Retry-After has no fractions.
func roundUpToSeconds(milliseconds int64) string {
	wait := time.Duration(milliseconds) * time.Millisecond
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}
