package comparison

import (
	"net/url"
	"strconv"
	"time"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/statistics"
	"github.com/doorpond/doorpond/internal/topology"
)

// Unreachable describes a process that did not respond.
type Unreachable struct {
	Member topology.Member `json:"member"`
	Reason string          `json:"reason"`
}

// ClusterReport compares two policies over all processes that responded.
type ClusterReport struct {
	Report
	// Group is the caller group; empty means all groups.
	Group string `json:"group"`
	// LastSeconds is the period that the statistics cover, in whole minutes and
	// including the current one.
	LastSeconds int64 `json:"last_seconds"`
	// Daemons is the number of processes included. Queries of the
	// Unreachable ones are not counted.
	Daemons     int           `json:"daemons"`
	Unreachable []Unreachable `json:"unreachable"`
}

const (
	defaultLast = 10 * time.Minute
	maxLast     = statistics.RetentionMinutes * time.Minute
)

// Query holds the parameters of a comparison.
type Query struct {
	A, B, Group string
	Last        time.Duration
}

// ParseQuery parses URL query parameters. Errors are of kind InvalidRequest.
func ParseQuery(values url.Values) (Query, error) {
	query := Query{A: values.Get("a"), B: values.Get("b"), Group: values.Get("group")}
	if query.A == "" || query.B == "" {
		return query, failure.New(failure.InvalidRequest, "parameters a and b must each name a policy")
	}
	var err error
	query.Last, err = ParseLast(values)
	return query, err
}

// ParseLast parses the period to report on. Errors are of kind InvalidRequest.
func ParseLast(values url.Values) (time.Duration, error) {
	text := values.Get("last")
	if text == "" {
		return defaultLast, nil
	}
	last, err := time.ParseDuration(text)
	if err != nil || last < time.Minute || last > maxLast {
		return 0, failure.New(failure.InvalidRequest,
			"last must be a duration from 1m to "+maxLast.String()+", not "+strconv.Quote(text))
	}
	return last, nil
}

// NewClusterReport merges the statistics of all processes that responded and
// compares the two policies.
func NewClusterReport(query Query, measured [][]statistics.PolicyStatistics, unreachable []Unreachable) ClusterReport {
	return ClusterReport{
		Report: Compare(statistics.Merge(measured...), query.A, query.B, query.Group), Group: query.Group,
		LastSeconds: int64(query.Last / time.Second), Daemons: len(measured), Unreachable: unreachable,
	}
}
