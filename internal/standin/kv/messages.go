package kv

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// Integer is an int64 that the gateway writes as a JSON string and reads from
// a string or a number.
type Integer int64

// MarshalJSON writes a string.
func (i Integer) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON reads a string or a number.
func (i *Integer) UnmarshalJSON(text []byte) error {
	if bytes.Equal(text, []byte("null")) {
		return nil
	}
	value, err := strconv.ParseInt(string(bytes.Trim(text, `"`)), 10, 64)
	if err != nil {
		return eris.Wrap(err, "parse an int64")
	}
	*i = Integer(value)
	return nil
}

// Header is part of every response.
type Header struct {
	Revision Integer `json:"revision,omitempty"`
}

// KeyValue is one key at one revision, as the gateway writes it.
type KeyValue struct {
	Key            []byte  `json:"key,omitempty"`
	CreateRevision Integer `json:"create_revision,omitempty"`
	ModRevision    Integer `json:"mod_revision,omitempty"`
	Version        Integer `json:"version,omitempty"`
	Value          []byte  `json:"value,omitempty"`
	Lease          Integer `json:"lease,omitempty"`
}

// RangeRequest reads the keys from Key up to RangeEnd; without a RangeEnd it
// reads one key.
type RangeRequest struct {
	Key      []byte  `json:"key"`
	RangeEnd []byte  `json:"range_end"`
	Limit    Integer `json:"limit"`
	Revision Integer `json:"revision"`
	KeysOnly bool    `json:"keys_only"`
}

// RangeResponse answers a RangeRequest in ascending order of keys.
type RangeResponse struct {
	Header *Header    `json:"header,omitempty"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Integer    `json:"count,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte  `json:"key"`
	Value []byte  `json:"value"`
	Lease Integer `json:"lease"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header *Header `json:"header,omitempty"`
}

// DeleteRangeRequest deletes the keys from Key up to RangeEnd.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

// DeleteRangeResponse answers a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  *Header `json:"header,omitempty"`
	Deleted Integer `json:"deleted,omitempty"`
}

// Compare is one condition of a transaction. An absent key has the revisions
// and the version 0.
type Compare struct {
	Result         string  `json:"result"`
	Target         string  `json:"target"`
	Key            []byte  `json:"key"`
	Version        Integer `json:"version"`
	CreateRevision Integer `json:"create_revision"`
	ModRevision    Integer `json:"mod_revision"`
	Value          []byte  `json:"value"`
}

// The targets and results of a Compare; an empty one means the first.
const (
	TargetVersion = "VERSION"
	TargetCreate  = "CREATE"
	TargetMod     = "MOD"
	TargetValue   = "VALUE"

	ResultEqual    = "EQUAL"
	ResultGreater  = "GREATER"
	ResultLess     = "LESS"
	ResultNotEqual = "NOT_EQUAL"
)

// RequestOperation is one operation of a transaction; one field is set.
type RequestOperation struct {
	Range       *RangeRequest       `json:"request_range"`
	Put         *PutRequest         `json:"request_put"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range"`
	Txn         *TxnRequest         `json:"request_txn"`
}

// ResponseOperation is the response to one RequestOperation.
type ResponseOperation struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
	Txn         *TxnResponse         `json:"response_txn,omitempty"`
}

// TxnRequest runs Success if all comparisons hold, else Failure.
type TxnRequest struct {
	Compare []Compare          `json:"compare"`
	Success []RequestOperation `json:"success"`
	Failure []RequestOperation `json:"failure"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    *Header             `json:"header,omitempty"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []ResponseOperation `json:"responses,omitempty"`
}

// CompactionRequest drops the history below a revision.
type CompactionRequest struct {
	Revision Integer `json:"revision"`
}

// CompactionResponse answers a CompactionRequest.
type CompactionResponse struct {
	Header *Header `json:"header,omitempty"`
}

// LeaseRequest grants, keeps alive or revokes a lease. TTL is in seconds and
// is read by a grant only.
type LeaseRequest struct {
	ID  Integer `json:"ID"`
	TTL Integer `json:"TTL"`
}

// LeaseResponse answers a LeaseRequest. A TTL of 0 in the response to a
// keep-alive means that the lease is gone.
type LeaseResponse struct {
	Header *Header `json:"header,omitempty"`
	ID     Integer `json:"ID,omitempty"`
	TTL    Integer `json:"TTL,omitempty"`
}

// WatchCreateRequest starts a watch at a revision; 0 means from now on.
type WatchCreateRequest struct {
	Key           []byte  `json:"key"`
	RangeEnd      []byte  `json:"range_end"`
	StartRevision Integer `json:"start_revision"`
}

// WatchRequest is the first message of a watch.
type WatchRequest struct {
	Create *WatchCreateRequest `json:"create_request"`
}

// EventDelete is the type of an event that deletes; a put has no type.
const EventDelete = "DELETE"

// Event is one change of one key.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch: its creation, the events of one
// revision, or its end with the revision below which nothing is kept.
type WatchResponse struct {
	Header          *Header `json:"header,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Integer `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// streamed wraps each message of a streaming endpoint.
type streamed[T any] struct {
	Result T `json:"result"`
}
