package failure

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/doorpond/doorpond/client"
)

// ProblemContentType is the media type of RFC 9457.
const ProblemContentType = "application/problem+json"

const typePrefix = "https://doorpond.dev/problems/"

// Problem returns the document for an error.
func Problem(err error) client.Problem {
	known := From(err)
	row := Lookup(known.Kind)
	return client.Problem{
		Type:                   typePrefix + string(known.Kind),
		Title:                  row.Title,
		Status:                 row.Status,
		Detail:                 known.Detail,
		Kind:                   string(known.Kind),
		NotRun:                 known.NotRun,
		RetryAfterMilliseconds: known.RetryAfter.Milliseconds(),
	}
}

// WriteProblem answers a request with the document for an error.
func WriteProblem(w http.ResponseWriter, err error) {
	problem := Problem(err)
	w.Header().Set("Content-Type", ProblemContentType)
	if problem.RetryAfterMilliseconds > 0 {
		w.Header().Set("Retry-After", wholeSeconds(problem.RetryAfterMilliseconds))
	}
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem) // the caller is gone if this fails
}

// wholeSeconds rounds up, as the header has no fractions.
func wholeSeconds(milliseconds int64) string {
	wait := time.Duration(milliseconds) * time.Millisecond
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}
