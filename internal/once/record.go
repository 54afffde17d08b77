package once

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/client"
)

// KeyPrefix is the prefix of the keys in the store that hold claims.
const KeyPrefix = "/doorpond/once/"

// RecordState is the state of a claimed call as recorded in the store.
type RecordState string

// Values of RecordState.
const (
	// RecordClaimed means that the holder may be running the call.
	RecordClaimed RecordState = "claimed"
	// RecordDone means that the call has run.
	RecordDone RecordState = "done"
)

// Record is the value of a claim's key, encoded as JSON.
type Record struct {
	// ClaimID is unique for each claim, so that a holder can recognize its own.
	ClaimID string `json:"claim_id"`
	// Holder is the ID of the daemon that created the claim.
	Holder      string `json:"holder"`
	Key         string `json:"key"`
	Service     string `json:"service"`
	Operation   string `json:"operation"`
	Fingerprint string `json:"fingerprint"`
	// NotAfterUnixMilliseconds is the time after which the holder does not
	// dispatch the call and the back end rejects it.
	NotAfterUnixMilliseconds int64           `json:"not_after_unix_ms"`
	State                    RecordState     `json:"state"`
	Result                   json.RawMessage `json:"result,omitempty"`
	// ResultBytes is the size of a result that was not stored, or 0.
	ResultBytes int `json:"result_bytes,omitempty"`
	// TimeUnixMilliseconds is the time of this version of the record.
	TimeUnixMilliseconds int64 `json:"time_unix_ms"`
}

// StoreKey returns the key in the store for the key of a call. It contains a
// hash, since keys of calls may be arbitrary text.
func StoreKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return KeyPrefix + hex.EncodeToString(sum[:])
}

// Fingerprint returns a hash of the call's service, operation and payload, which
// distinguishes different calls with the same key. Insignificant white space in
// the payload is ignored.
func Fingerprint(call client.Call) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(call.Service), []byte(call.Operation), compactJSON(call.Payload)} {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return hex.EncodeToString(hash.Sum(nil))
}

func compactJSON(payload json.RawMessage) []byte {
	var buffer bytes.Buffer
	if json.Compact(&buffer, payload) != nil {
		return payload
	}
	return buffer.Bytes()
}

// WithResult returns the record of the completed call. A result larger than
// maxResult bytes is omitted.
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
		return nil, eris.Wrap(err, "decode claim")
	}
	return record, nil
}
