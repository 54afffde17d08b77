package etcd

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
)

// Commit applies one transaction. Errors are store.ErrNotApplied or
// store.ErrUnclear.
func (s *Store) Commit(ctx context.Context, transaction store.Transaction) (store.Outcome, error) {
	var reply txnResponse
	if err := s.unary(ctx, txnPath, toGateway(transaction), &reply); err != nil {
		return store.Outcome{}, eris.Wrap(err, "commit")
	}
	return outcome(&reply, int64(reply.Header.Revision)), nil
}

// CommitAll applies several transactions on distinct keys in one request: an
// outer transaction without comparisons holds an inner one for each. Errors
// are store.ErrNotApplied or store.ErrUnclear, for all of them alike.
func (s *Store) CommitAll(ctx context.Context, transactions []store.Transaction) ([]store.Outcome, error) {
	if len(transactions) == 0 {
		return nil, nil
	}
	request := &txnRequest{}
	for _, transaction := range transactions {
		request.Success = append(request.Success, requestOp{RequestTxn: toGateway(transaction)})
	}
	var reply txnResponse
	if err := s.unary(ctx, txnPath, request, &reply); err != nil {
		return nil, eris.Wrapf(err, "commit %d transactions", len(transactions))
	}
	return outcomes(&reply, len(transactions))
}

func outcomes(reply *txnResponse, wanted int) ([]store.Outcome, error) {
	if len(reply.Responses) != wanted {
		short := eris.Errorf("%d outcomes for %d transactions", len(reply.Responses), wanted)
		return nil, unclear(short, "read the outcomes")
	}
	results := make([]store.Outcome, 0, wanted)
	for _, response := range reply.Responses {
		if response.ResponseTxn == nil {
			return nil, unclear(eris.New("an outcome is missing"), "read the outcomes")
		}
		results = append(results, outcome(response.ResponseTxn, int64(reply.Header.Revision)))
	}
	return results, nil
}

// toGateway adds a failure branch that reads the compared keys.
func toGateway(transaction store.Transaction) *txnRequest {
	request := &txnRequest{}
	for _, condition := range transaction.Compares {
		request.Compare = append(request.Compare, compareToGateway(condition))
		read := &rangeRequest{Key: []byte(condition.Key)}
		request.Failure = append(request.Failure, requestOp{RequestRange: read})
	}
	for _, write := range transaction.Writes {
		request.Success = append(request.Success, writeToGateway(write))
	}
	return request
}

func compareToGateway(condition store.Compare) compare {
	converted := compare{Key: []byte(condition.Key), Result: resultEqual}
	if condition.Absent {
		converted.Target = targetCreate
		converted.CreateRevision = new(integer)
		return converted
	}
	revision := integer(condition.ModRevision)
	converted.Target = targetMod
	converted.ModRevision = &revision
	return converted
}

func writeToGateway(write store.Write) requestOp {
	if write.Delete {
		return requestOp{RequestDeleteRange: &deleteRangeRequest{Key: []byte(write.Key)}}
	}
	put := &putRequest{Key: []byte(write.Key), Value: write.Value, Lease: integer(write.Lease)}
	return requestOp{RequestPut: put}
}

func outcome(reply *txnResponse, revision int64) store.Outcome {
	result := store.Outcome{Applied: reply.Succeeded, Revision: revision}
	if reply.Succeeded {
		return result
	}
	for _, response := range reply.Responses {
		if response.ResponseRange != nil {
			result.Current = append(result.Current, manyFromGateway(response.ResponseRange.Kvs)...)
		}
	}
	return result
}
