package query

import (
	"fmt"
	"slices"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
)

// Limits on the fields of a query.
const (
	maxNameBytes   = 128
	maxPhraseBytes = 1024
	maxIndexes     = 64
	maxDeadline    = 10 * time.Minute
	defaultLimit   = 100
)

// Validate returns a *failure.Error of kind InvalidRequest for the first invalid
// field, or nil.
func Validate(query *client.Query) error {
	checks := []func(*client.Query) string{checkNames, checkPhraseAndCard, checkEnums, checkRanges}
	for _, check := range checks {
		if problem := check(query); problem != "" {
			return failure.New(failure.InvalidRequest, problem)
		}
	}
	return nil
}

func checkNames(query *client.Query) string {
	switch {
	case query.Group == "":
		return "group: is required"
	case query.Corpus == "":
		return "corpus: is required"
	case len(query.Group) > maxNameBytes:
		return fmt.Sprintf("group: exceeds %d bytes", maxNameBytes)
	case len(query.Caller) > maxNameBytes:
		return fmt.Sprintf("caller: exceeds %d bytes", maxNameBytes)
	case len(query.Indexes) > maxIndexes:
		return fmt.Sprintf("indexes: has more than %d names", maxIndexes)
	default:
		return ""
	}
}

func checkPhraseAndCard(query *client.Query) string {
	switch {
	case query.Phrase == "" && query.Card == "":
		return "phrase, card: one is required"
	case query.Phrase != "" && query.Card != "":
		return "phrase, card: only one may be set"
	case len(query.Phrase) > maxPhraseBytes:
		return fmt.Sprintf("phrase: exceeds %d bytes", maxPhraseBytes)
	case len(query.Card) > maxNameBytes:
		return fmt.Sprintf("card: exceeds %d bytes", maxNameBytes)
	default:
		return ""
	}
}

func checkEnums(query *client.Query) string {
	orders := []client.Order{"", client.OrderRank, client.OrderTime}
	if !slices.Contains(orders, query.Order) {
		return fmt.Sprintf("order: %q is not one of rank, time", query.Order)
	}
	priorities := []client.Priority{
		"", client.PriorityCritical, client.PriorityHigh, client.PriorityNormal, client.PriorityBatch,
	}
	if !slices.Contains(priorities, query.Priority) {
		return fmt.Sprintf("priority: %q is not one of critical, high, normal, batch", query.Priority)
	}
	return ""
}

func checkRanges(query *client.Query) string {
	switch {
	case query.Limit < 0:
		return "limit: must not be negative"
	case query.DeadlineMilliseconds < 0:
		return "deadline_ms: must not be negative"
	case query.DeadlineMilliseconds > maxDeadline.Milliseconds():
		return fmt.Sprintf("deadline_ms: exceeds %d", maxDeadline.Milliseconds())
	case !(query.LeastCoverage >= 0 && query.LeastCoverage <= 1):
		return "least_coverage: must be from 0 to 1"
	default:
		return ""
	}
}
