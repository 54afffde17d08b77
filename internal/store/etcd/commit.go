package etcd

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
)

// Commit applies one transaction. Errors wrap store.ErrNotApplied or
// store.ErrOutcomeUnknown.
func (s *Store) Commit(ctx context.Context, transaction store.Transaction) (store.Outcome, error) {
	var reply txnResponse
	if err := s.unary(ctx, txnPath, transactionToGateway(transaction), &reply); err != nil {
		return store.Outcome{}, eris.Wrap(err, "commit")
	}
	return decodeOutcome(&reply, int64(reply.Header.Revision)), nil
}

// CommitAll applies several transactions on distinct keys in one request, as
// nested transactions of one without comparisons. Errors wrap
// store.ErrNotApplied or store.ErrOutcomeUnknown and apply to all transactions.
func (s *Store) CommitAll(ctx context.Context, transactions []store.Transaction) ([]store.Outcome, error) {
	if len(transactions) == 0 {
		return nil, nil
	}
	request := &txnRequest{}
	for _, transaction := range transactions {
		request.Success = append(request.Success, requestOp{RequestTxn: transactionToGateway(transaction)})
	}
	var reply txnResponse
	if err := s.unary(ctx, txnPath, request, &reply); err != nil {
		return nil, eris.Wrapf(err, "commit %d transactions", len(transactions))
	}
	return decodeOutcomes(&reply, len(transactions))
}

func decodeOutcomes(reply *txnResponse, want int) ([]store.Outcome, error) {
	if len(reply.Responses) != want {
		err := eris.Errorf("got %d outcomes for %d transactions", len(reply.Responses), want)
		return nil, outcomeUnknown(err, "read outcomes")
	}
	results := make([]store.Outcome, 0, want)
	for _, response := range reply.Responses {
		if response.ResponseTxn == nil {
			return nil, outcomeUnknown(eris.New("response is not a transaction outcome"), "read outcomes")
		}
		results = append(results, decodeOutcome(response.ResponseTxn, int64(reply.Header.Revision)))
	}
	return results, nil
}

// transactionToGateway converts a transaction. Its failure branch reads the
// compared keys.
func transactionToGateway(transaction store.Transaction) *txnRequest {
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
		converted.CreateRevision = new(int64String)
		return converted
	}
	revision := int64String(condition.ModRevision)
	converted.Target = targetMod
	converted.ModRevision = &revision
	return converted
}

func writeToGateway(write store.Write) requestOp {
	if write.Delete {
		return requestOp{RequestDeleteRange: &deleteRangeRequest{Key: []byte(write.Key)}}
	}
	put := &putRequest{Key: []byte(write.Key), Value: write.Value, Lease: int64String(write.Lease)}
	return requestOp{RequestPut: put}
}

func decodeOutcome(reply *txnResponse, revision int64) store.Outcome {
	result := store.Outcome{Applied: reply.Succeeded, Revision: revision}
	if reply.Succeeded {
		return result
	}
	for _, response := range reply.Responses {
		if response.ResponseRange != nil {
			result.Current = append(result.Current, keyValuesFromGateway(response.ResponseRange.Kvs)...)
		}
	}
	return result
}
