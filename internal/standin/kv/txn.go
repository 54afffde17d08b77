package kv

import (
	"bytes"
	"cmp"
)

// Txn runs a transaction. Nothing is written when it returns an error.
func (s *Store) Txn(request TxnRequest) (TxnResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLocked()
	if err := s.checkTxnLocked(request); err != nil {
		return TxnResponse{}, err
	}
	writer := &writer{history: s.history, revision: s.history.revision + 1}
	response := s.runLocked(writer, request)
	s.finishLocked(writer)
	response.Header = s.headerLocked()
	return response, nil
}

// checkTxnLocked finds every error before anything is written.
func (s *Store) checkTxnLocked(request TxnRequest) error {
	for i := range request.Compare {
		if _, err := holds(&request.Compare[i], KeyValue{}); err != nil {
			return err
		}
	}
	for _, branch := range [][]RequestOperation{request.Success, request.Failure} {
		written := make(map[string]bool)
		if err := s.checkOperationsLocked(branch, written); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) checkOperationsLocked(operations []RequestOperation, written map[string]bool) error {
	for _, operation := range operations {
		if err := s.checkOperationLocked(operation, written); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) checkOperationLocked(operation RequestOperation, written map[string]bool) error {
	switch {
	case operation.Put != nil:
		return s.checkPutLocked(operation.Put, written)
	case operation.DeleteRange != nil:
		if len(operation.DeleteRange.Key) == 0 {
			return errEmptyKey
		}
		return nil
	case operation.Range != nil:
		_, err := s.rangeLocked(*operation.Range, s.history.revision)
		return err
	case operation.Txn != nil:
		return s.checkNestedLocked(operation.Txn, written)
	default:
		return errBadOperation
	}
}

func (s *Store) checkPutLocked(put *PutRequest, written map[string]bool) error {
	switch {
	case len(put.Key) == 0:
		return errEmptyKey
	case written[string(put.Key)]:
		return errDuplicateKey
	case put.Lease != 0 && s.leases[put.Lease] == nil:
		return errLeaseNotFound
	}
	written[string(put.Key)] = true
	return nil
}

// checkNestedLocked checks both branches of a nested transaction: a key may
// stand in both of them, as only one is run, but not again outside.
func (s *Store) checkNestedLocked(nested *TxnRequest, written map[string]bool) error {
	for i := range nested.Compare {
		if _, err := holds(&nested.Compare[i], KeyValue{}); err != nil {
			return err
		}
	}
	success, failure := cloneSet(written), cloneSet(written)
	if err := s.checkOperationsLocked(nested.Success, success); err != nil {
		return err
	}
	if err := s.checkOperationsLocked(nested.Failure, failure); err != nil {
		return err
	}
	addAll(written, success)
	addAll(written, failure)
	return nil
}

func cloneSet(set map[string]bool) map[string]bool {
	clone := make(map[string]bool, len(set))
	addAll(clone, set)
	return clone
}

func addAll(set, more map[string]bool) {
	for key := range more {
		set[key] = true
	}
}

func (s *Store) runLocked(w *writer, request TxnRequest) TxnResponse {
	response := TxnResponse{Succeeded: s.allHoldLocked(w, request.Compare)}
	operations := request.Failure
	if response.Succeeded {
		operations = request.Success
	}
	for _, operation := range operations {
		response.Responses = append(response.Responses, s.runOperationLocked(w, operation))
	}
	return response
}

func (s *Store) allHoldLocked(w *writer, compares []Compare) bool {
	for i := range compares {
		current, _ := s.history.at(string(compares[i].Key), w.revision)
		if current.Version == 0 {
			current = KeyValue{}
		}
		if held, err := holds(&compares[i], current); err != nil || !held {
			return false
		}
	}
	return true
}

func (s *Store) runOperationLocked(w *writer, operation RequestOperation) ResponseOperation {
	header := &Header{Revision: Integer(w.revision)}
	switch {
	case operation.Put != nil:
		s.runPutLocked(w, operation.Put)
		return ResponseOperation{Put: &PutResponse{Header: header}}
	case operation.DeleteRange != nil:
		deleted := s.runDeleteLocked(w, operation.DeleteRange)
		return ResponseOperation{DeleteRange: &DeleteRangeResponse{Header: header, Deleted: deleted}}
	case operation.Range != nil:
		found := s.runRangeLocked(w, *operation.Range)
		found.Header = header
		return ResponseOperation{Range: &found}
	default:
		nested := s.runLocked(w, *operation.Txn)
		nested.Header = header
		return ResponseOperation{Txn: &nested}
	}
}

func (s *Store) runPutLocked(w *writer, put *PutRequest) {
	previous, _ := s.history.at(string(put.Key), w.revision)
	s.attachLocked(string(put.Key), previous.Lease, put.Lease)
	w.put(put.Key, put.Value, put.Lease)
}

func (s *Store) runDeleteLocked(w *writer, request *DeleteRangeRequest) Integer {
	var deleted Integer
	for _, key := range s.history.keysIn(request.Key, request.RangeEnd) {
		current, exists := s.history.at(key, w.revision)
		if !exists {
			continue
		}
		s.attachLocked(key, current.Lease, 0)
		w.remove(key)
		deleted++
	}
	return deleted
}

// runRangeLocked reads the transaction's own writes too. Its errors were
// found before the transaction ran.
func (s *Store) runRangeLocked(w *writer, request RangeRequest) RangeResponse {
	revision := w.revision
	if request.Revision > 0 {
		revision = int64(request.Revision)
	}
	return s.collectLocked(request, revision)
}

func holds(compare *Compare, current KeyValue) (bool, error) {
	order := 0
	switch compare.Target {
	case "", TargetVersion:
		order = cmp.Compare(current.Version, compare.Version)
	case TargetCreate:
		order = cmp.Compare(current.CreateRevision, compare.CreateRevision)
	case TargetMod:
		order = cmp.Compare(current.ModRevision, compare.ModRevision)
	case TargetValue:
		order = bytes.Compare(current.Value, compare.Value)
	default:
		return false, errBadCompare
	}
	switch compare.Result {
	case "", ResultEqual:
		return order == 0, nil
	case ResultGreater:
		return order > 0, nil
	case ResultLess:
		return order < 0, nil
	case ResultNotEqual:
		return order != 0, nil
	default:
		return false, errBadCompare
	}
}
