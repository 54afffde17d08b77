package comparison

import (
	"net/url"
	"strconv"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/statistics"
	"github.com/doorpond/doorpond/internal/topology"
)

// Unreachable is a process that did not answer.
type Unreachable struct {
	Member topology.Member `json:"member"`
	Reason string          `json:"reason"`
}

// ClusterReport sets two policies side by side, over all processes that answer.
type ClusterReport struct {
	Report
	// Group is empty for all groups.
	Group string `json:"group"`
	// LastSeconds is how far back the statistics go, in whole minutes; the
	// minute under way is in them.
	LastSeconds int64 `json:"last_seconds"`
	// Daemons answered; Unreachable did not, so their queries are missing.
	Daemons     int           `json:"daemons"`
	Unreachable []Unreachable `json:"unreachable"`
}

// The times that a comparison may look back.
const (
	defaultLast = 10 * time.Minute
	longestLast = statistics.RetentionMinutes * time.Minute
)

// Query asks for a comparison.
type Query struct {
	A, B, Group string
	Last        time.Duration
}

// ParseQuery reads a query string. Errors are of kind InvalidRequest.
func ParseQuery(values url.Values) (Query, error) {
	query := Query{A: values.Get("a"), B: values.Get("b"), Group: values.Get("group")}
	if query.A == "" || query.B == "" {
		return query, failure.New(failure.InvalidRequest, "a and b must each name a policy")
	}
	var err error
	query.Last, err = ParseLast(values)
	return query, err
}

// ParseLast reads how far back to look. Errors are of kind InvalidRequest.
func ParseLast(values url.Values) (time.Duration, error) {
	text := values.Get("last")
	if text == "" {
		return defaultLast, nil
	}
	last, err := time.ParseDuration(text)
	if err != nil || last < time.Minute || last > longestLast {
		return 0, failure.New(failure.InvalidRequest,
			"last must be a duration from 1m to "+longestLast.String()+", not "+strconv.Quote(text))
	}
	return last, nil
}

// NewClusterReport compares what each process that answered has measured.
func NewClusterReport(query Query, measured [][]statistics.PolicyStatistics, unreachable []Unreachable) ClusterReport {
	return ClusterReport{
		Report: Compare(statistics.Merge(measured...), query.A, query.B, query.Group), Group: query.Group,
		LastSeconds: int64(query.Last / time.Second), Daemons: len(measured), Unreachable: unreachable,
	}
}
