package etcd

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// integer is an int64 of the gateway, which writes it as a string and reads
// it as a string or a number.
type integer int64

// MarshalJSON writes the number as a string, as the gateway does.
func (i integer) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(i), 10) + `"`), nil
}

// UnmarshalJSON accepts a string or a number.
func (i *integer) UnmarshalJSON(text []byte) error {
	number, err := strconv.ParseInt(strings.Trim(string(text), `"`), 10, 64)
	if err != nil {
		return eris.Wrapf(err, "read the integer %s", text)
	}
	*i = integer(number)
	return nil
}

// The messages below are those of the etcd v3 JSON gateway (source:
// https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/ and etcd's
// api/etcdserverpb/rpc.proto), cut down to the fields used. Bytes are base64.

type header struct {
	Revision integer `json:"revision"`
}

type keyValue struct {
	Key            []byte  `json:"key"`
	Value          []byte  `json:"value"`
	CreateRevision integer `json:"create_revision"`
	ModRevision    integer `json:"mod_revision"`
}

type rangeRequest struct {
	Key      []byte  `json:"key"`
	RangeEnd []byte  `json:"range_end,omitempty"`
	Limit    integer `json:"limit,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs"`
}

// The values of compare.Target and compare.Result.
const (
	targetCreate = "CREATE"
	targetMod    = "MOD"
	resultEqual  = "EQUAL"
)

type compare struct {
	Key            []byte   `json:"key"`
	Target         string   `json:"target"`
	Result         string   `json:"result"`
	CreateRevision *integer `json:"create_revision,omitempty"`
	ModRevision    *integer `json:"mod_revision,omitempty"`
}

type putRequest struct {
	Key   []byte  `json:"key"`
	Value []byte  `json:"value"`
	Lease integer `json:"lease,omitempty"`
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
	TTL integer `json:"TTL"`
	ID  integer `json:"ID"`
}

type leaseGrantResponse struct {
	ID    integer `json:"ID"`
	TTL   integer `json:"TTL"`
	Error string  `json:"error"`
}

type leaseKeepAliveRequest struct {
	ID integer `json:"ID"`
}

// leaseKeepAliveResponse is one message of a stream, so wrapped in a result.
type leaseKeepAliveResponse struct {
	Result leaseGrantResponse `json:"result"`
}

type watchRequest struct {
	CreateRequest watchCreateRequest `json:"create_request"`
}

type watchCreateRequest struct {
	Key            []byte  `json:"key"`
	RangeEnd       []byte  `json:"range_end,omitempty"`
	StartRevision  integer `json:"start_revision,omitempty"`
	ProgressNotify bool    `json:"progress_notify,omitempty"`
}

type watchMessage struct {
	Result watchResult   `json:"result"`
	Error  *gatewayError `json:"error"`
}

type watchResult struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created"`
	Canceled        bool         `json:"canceled"`
	CompactRevision integer      `json:"compact_revision"`
	CancelReason    string       `json:"cancel_reason"`
	Events          []watchEvent `json:"events"`
}

// eventDelete is the value of watchEvent.Type for a deletion; a put leaves
// the type out.
const eventDelete = "DELETE"

type watchEvent struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

// gatewayError is the body of a reply with an error status, and the error of
// a stream, which older gateways number by grpc_code.
type gatewayError struct {
	Code     int    `json:"code"`
	GRPCCode int    `json:"grpc_code"`
	Message  string `json:"message"`
}
