package once

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/client"
)

// KeyPrefix is the prefix of the store's keys that hold claims.
const KeyPrefix = "/doorpond/once/"

// RecordState is how far the call of a claim is known to have come.
type RecordState string

// The states of a Record.
const (
	// RecordClaimed: the holder may be running the call.
	RecordClaimed RecordState = "claimed"
	// RecordDone: the call ran, once.
	RecordDone RecordState = "done"
)

// Record is the value of a claim's key, as JSON.
type Record struct {
	// ClaimID is unique for each claim, so that a holder knows its own.
	ClaimID string `json:"claim_id"`
	// Holder is the daemon that claimed.
	Holder      string `json:"holder"`
	Key         string `json:"key"`
	Service     string `json:"service"`
	Operation   string `json:"operation"`
	Fingerprint string `json:"fingerprint"`
	// NotAfterUnixMilliseconds is when the holder stops dispatching and the
	// back end refuses.
	NotAfterUnixMilliseconds int64           `json:"not_after_unix_ms"`
	State                    RecordState     `json:"state"`
	Result                   json.RawMessage `json:"result,omitempty"`
	// ResultBytes is the size of a result that was too large to be kept.
	ResultBytes int `json:"result_bytes,omitempty"`
	// TimeUnixMilliseconds is when this version was written.
	TimeUnixMilliseconds int64 `json:"time_unix_ms"`
}

// StoreKey returns the store's key of a call's key. It is a hash, as callers
// may use any text of any length.
func StoreKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return KeyPrefix + hex.EncodeToString(sum[:])
}

// Fingerprint tells calls that ask for something else under the same key. The
// payload's white space does not count.
func Fingerprint(call client.Call) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(call.Service), []byte(call.Operation), compacted(call.Payload)} {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return hex.EncodeToString(hash.Sum(nil))
}

func compacted(payload json.RawMessage) []byte {
	var buffer bytes.Buffer
	if json.Compact(&buffer, payload) != nil {
		return payload
	}
	return buffer.Bytes()
}

// WithResult returns the record of a finished call; a result over maxResult bytes
// is left out.
func (r Record) WithResult(result json.RawMessage, maxResult int, unixMilliseconds int64) Record {
	r.State = RecordDone
	r.TimeUnixMilliseconds = unixMilliseconds
	if len(result) > maxResult {
		r.ResultBytes = len(result)
		return r
	}
	r.Result = result
	return r
}

func decodeRecord(value []byte) (*Record, error) {
	record := &Record{}
	if err := json.Unmarshal(value, record); err != nil {
		return nil, eris.Wrap(err, "decode a claim")
	}
	return record, nil
}
