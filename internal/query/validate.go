package query

import (
	"fmt"
	"slices"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
)

// The bounds of a query's fields.
const (
	maxNameBytes   = 128
	maxPhraseBytes = 1024
	maxIndexes     = 64
	maxDeadline    = 10 * time.Minute
	defaultLimit   = 100
)

// Validate returns one clear *failure.Error of kind InvalidRequest, or nil.
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
		return fmt.Sprintf("group: is over %d bytes", maxNameBytes)
	case len(query.Caller) > maxNameBytes:
		return fmt.Sprintf("caller: is over %d bytes", maxNameBytes)
	case len(query.Indexes) > maxIndexes:
		return fmt.Sprintf("indexes: has over %d names", maxIndexes)
	default:
		return ""
	}
}

func checkPhraseAndCard(query *client.Query) string {
	switch {
	case query.Phrase == "" && query.Card == "":
		return "phrase, card: one of them is required"
	case query.Phrase != "" && query.Card != "":
		return "phrase, card: only one of them may be set"
	case len(query.Phrase) > maxPhraseBytes:
		return fmt.Sprintf("phrase: is over %d bytes", maxPhraseBytes)
	case len(query.Card) > maxNameBytes:
		return fmt.Sprintf("card: is over %d bytes", maxNameBytes)
	default:
		return ""
	}
}

func checkEnums(query *client.Query) string {
	orders := []client.Order{"", client.OrderRank, client.OrderTime}
	if !slices.Contains(orders, query.Order) {
		return fmt.Sprintf("order: %q is neither rank nor time", query.Order)
	}
	priorities := []client.Priority{
		"", client.PriorityCritical, client.PriorityHigh, client.PriorityNormal, client.PriorityBatch,
	}
	if !slices.Contains(priorities, query.Priority) {
		return fmt.Sprintf("priority: %q is none of critical, high, normal, batch", query.Priority)
	}
	return ""
}

func checkRanges(query *client.Query) string {
	switch {
	case query.Limit < 0:
		return "limit: is negative"
	case query.DeadlineMilliseconds < 0:
		return "deadline_ms: is negative"
	case query.DeadlineMilliseconds > maxDeadline.Milliseconds():
		return fmt.Sprintf("deadline_ms: is over %d", maxDeadline.Milliseconds())
	case !(query.LeastCoverage >= 0 && query.LeastCoverage <= 1):
		return "least_coverage: is not from 0 to 1"
	default:
		return ""
	}
}
