package kv

import (
	"encoding/json"
	"errors"
	"net/http"
)

// Status is an error of the gateway. Code is one of gRPC's.
type Status struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Error returns the message.
func (s *Status) Error() string { return s.Message }

// gRPC's codes that the gateway answers with.
const (
	codeInvalidArgument    = 3
	codeNotFound           = 5
	codeResourceExhausted  = 8
	codeFailedPrecondition = 9
	codeOutOfRange         = 11
	codeUnimplemented      = 12
	codeInternal           = 13
	codeUnavailable        = 14
)

var (
	errTooManyRequests = &Status{codeResourceExhausted, "etcdserver: too many requests"}
	errDuplicateKey    = &Status{codeInvalidArgument, "etcdserver: duplicate key given in txn request"}
	errEmptyKey        = &Status{codeInvalidArgument, "etcdserver: key is not provided"}
	errLeaseNotFound   = &Status{codeNotFound, "etcdserver: requested lease not found"}
	errLeaseExists     = &Status{codeFailedPrecondition, "etcdserver: lease already exists"}
	errLeaseTTL        = &Status{codeOutOfRange, "etcdserver: too large or no lease TTL"}
	errCompacted       = &Status{codeOutOfRange, "etcdserver: mvcc: required revision has been compacted"}
	errFutureRevision  = &Status{codeOutOfRange, "etcdserver: mvcc: required revision is a future revision"}
	errBadCompare      = &Status{codeInvalidArgument, "etcdserver: unknown compare target or result"}
	errBadOperation    = &Status{codeInvalidArgument, "etcdserver: a request operation must hold one request"}
	errWatchBroken     = &Status{codeUnavailable, "etcdserver: the watch was broken"}
	errWatchOnly       = &Status{codeUnimplemented, "etcdserver: the first message of a watch must create it"}
)

// errorBody is the gateway's error document.
type errorBody struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, err error) {
	var status *Status
	if !errors.As(err, &status) {
		status = &Status{codeInternal, err.Error()}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus(status.Code))
	body := errorBody{Error: status.Message, Code: status.Code, Message: status.Message}
	_ = json.NewEncoder(w).Encode(body) // the client is gone if this fails
}

func httpStatus(code int) int {
	switch code {
	case codeInvalidArgument, codeFailedPrecondition, codeOutOfRange:
		return http.StatusBadRequest
	case codeNotFound:
		return http.StatusNotFound
	case codeResourceExhausted:
		return http.StatusTooManyRequests
	case codeUnavailable:
		return http.StatusServiceUnavailable
	case codeUnimplemented:
		return http.StatusNotImplemented
	default:
		return http.StatusInternalServerError
	}
}
