package etcd

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// int64String is an int64 that the gateway encodes as a JSON string. It is
// decoded from a string or a number.
type int64String int64

// MarshalJSON encodes the number as a string.
func (i int64String) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(i), 10) + `"`), nil
}

// UnmarshalJSON accepts a string or a number.
func (i *int64String) UnmarshalJSON(text []byte) error {
	number, err := strconv.ParseInt(strings.Trim(string(text), `"`), 10, 64)
	if err != nil {
		return eris.Wrapf(err, "parse integer %s", text)
	}
	*i = int64String(number)
	return nil
}

// The messages below are those of the etcd v3 JSON gateway (source:
// https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/ and etcd's
// api/etcdserverpb/rpc.proto), reduced to the fields in use. Bytes are encoded
// as base64.

type header struct {
	Revision int64String `json:"revision"`
}

type keyValue struct {
	Key            []byte      `json:"key"`
	Value          []byte      `json:"value"`
	CreateRevision int64String `json:"create_revision"`
	ModRevision    int64String `json:"mod_revision"`
}

type rangeRequest struct {
	Key      []byte      `json:"key"`
	RangeEnd []byte      `json:"range_end,omitempty"`
	Limit    int64String `json:"limit,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs"`
}

// Values of compare.Target and compare.Result.
const (
	targetCreate = "CREATE"
	targetMod    = "MOD"
	resultEqual  = "EQUAL"
)

type compare struct {
	Key            []byte       `json:"key"`
	Target         string       `json:"target"`
	Result         string       `json:"result"`
	CreateRevision *int64String `json:"create_revision,omitempty"`
	ModRevision    *int64String `json:"mod_revision,omitempty"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease int64String `json:"lease,omitempty"`
}

type deleteRangeRequest struct {
	Key []byte `json:"key"`
}

type requestOp struct {
	RequestRange       *rangeRequest       `json:"request_range,omitempty"`
	RequestPut         *putRequest         `json:"request_put,omitempty"`
	RequestDeleteRange *deleteRangeRequest `json:"request_delete_range,omitempty"`
	RequestTxn         *txnRequest         `json:"request_txn,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success,omitempty"`
	Failure []requestOp `json:"failure,omitempty"`
}

type responseOp struct {
	ResponseRange *rangeResponse `json:"response_range"`
	ResponseTxn   *txnResponse   `json:"response_txn"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []responseOp `json:"responses"`
}

type leaseGrantRequest struct {
	TTL int64String `json:"TTL"`
	ID  int64String `json:"ID"`
}

type leaseGrantResponse struct {
	ID    int64String `json:"ID"`
	TTL   int64String `json:"TTL"`
	Error string      `json:"error"`
}

type leaseKeepAliveRequest struct {
	ID int64String `json:"ID"`
}

// leaseKeepAliveResponse is one message of a stream, which the gateway wraps in
// a result object.
type leaseKeepAliveResponse struct {
	Result leaseGrantResponse `json:"result"`
}

type watchRequest struct {
	CreateRequest watchCreateRequest `json:"create_request"`
}

type watchCreateRequest struct {
	Key            []byte      `json:"key"`
	RangeEnd       []byte      `json:"range_end,omitempty"`
	StartRevision  int64String `json:"start_revision,omitempty"`
	ProgressNotify bool        `json:"progress_notify,omitempty"`
}

type watchMessage struct {
	Result watchResult   `json:"result"`
	Error  *gatewayError `json:"error"`
}

type watchResult struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created"`
	Canceled        bool         `json:"canceled"`
	CompactRevision int64String  `json:"compact_revision"`
	CancelReason    string       `json:"cancel_reason"`
	Events          []watchEvent `json:"events"`
}

// eventDelete is the value of watchEvent.Type for a deletion. It is omitted for
// a put.
const eventDelete = "DELETE"

type watchEvent struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

// gatewayError is the body of an error response, or the error of a stream.
// Older gateways send grpc_code in place of code in a stream.
type gatewayError struct {
	Code     int    `json:"code"`
	GRPCCode int    `json:"grpc_code"`
	Message  string `json:"message"`
}
