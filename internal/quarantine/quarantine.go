// Package quarantine protects replicas from requests that crash them. A request under which
// replicas crashed becomes a suspect: the next time it arrives it is tried on a single replica
// first. If it keeps crashing replicas it is quarantined: all nodes refuse it for a limited
// time. Nodes exchange records by datagram, and quarantined requests are persisted in the store.
//
// While no request is suspected, nothing is sent or stored, and the check costs one atomic load
// per request.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/upstream"
)

const (
	// DefaultDuration is the default duration of a quarantine. It equals the longest lease
	// of the store.
	DefaultDuration = 10 * time.Minute
	// DefaultMaxEntries is the default limit on known requests, at about 400 bytes each.
	DefaultMaxEntries = 1024
)

// suspectTTL is how long a suspect that is not quarantined is remembered. It covers the restart
// of the replicas and the retries of callers.
const suspectTTL = time.Minute

// Identity identifies a request by a hash of what replicas see of it: method, host, path, query,
// the caller's credentials or its tenant, and the body. The request ID, other headers and the caller's address
// are left out, as they may differ between tries of the same request.
type Identity [sha256.Size]byte

// IdentityOf returns the identity of a request.
func IdentityOf(message *upstream.Request) Identity {
	digest := sha256.New()
	hashRequest(digest, message)
	var identity Identity
	digest.Sum(identity[:0])
	return identity
}

// maxFieldsBytes is a capacity that suffices for the fields of most requests.
const maxFieldsBytes = 256

// hashRequest writes to a digest what makes two requests the same request. All hashes of requests
// are made by it, so that what is known of one request is never held for or against another one.
func hashRequest[Digest io.Writer](digest Digest, message *upstream.Request) {
	credentials := message.Header.Get("Authorization")
	if message.Tenant != "" {
		credentials = message.Tenant
	}
	fields := make([]byte, 0, maxFieldsBytes)
	for _, field := range [...]string{message.Method, message.Host, message.Target, credentials} {
		fields = binary.BigEndian.AppendUint64(fields, uint64(len(field))) // adjacent fields cannot be confused
		fields = append(fields, field...)
	}
	_, _ = digest.Write(fields) // never fails
	_, _ = digest.Write(message.Body)
}

// String returns the identity in hexadecimal.
func (i Identity) String() string { return hex.EncodeToString(i[:]) }

// ParseIdentity parses the output of Identity.String.
func ParseIdentity(text string) (Identity, bool) {
	var identity Identity
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(identity) {
		return Identity{}, false
	}
	copy(identity[:], decoded)
	return identity, true
}

// Status is the status of an incoming request.
type Status struct {
	// Evidence is the evidence against the request; zero if there is none.
	Evidence decision.CrashEvidence
	// RefuseFor is the remaining time for which the request is refused; 0 if it is not.
	RefuseFor time.Duration
}

// Record describes a suspected or quarantined request, as nodes exchange it and the store holds
// it. It contains durations instead of timestamps, as the clocks of nodes differ.
type Record struct {
	Identity Identity `msgpack:"i" json:"-"`
	// CrashedReplicas, Rounds and Blame are the evidence; see decision.CrashEvidence.
	CrashedReplicas int     `msgpack:"e" json:"ended"`
	Rounds          int     `msgpack:"m" json:"rounds"`
	Blame           float64 `msgpack:"b" json:"blame"`
	// RefuseMilliseconds is the remaining time of the quarantine; 0 for a suspect.
	RefuseMilliseconds int64 `msgpack:"r,omitempty" json:"refuse_ms"`
	// Canaries names the latest replicas that crashed while they ran the request alone.
	Canaries []string `msgpack:"l,omitempty" json:"canaries,omitempty"`
	// Released is true if the quarantine was ended early, by an operator or an answer.
	Released bool `msgpack:"x,omitempty" json:"released,omitempty"`
	// Route, Caller and Target describe the request to operators.
	Route  string `msgpack:"n" json:"route"`
	Caller string `msgpack:"c" json:"caller"`
	Target string `msgpack:"t" json:"target"`
}

// RefuseFor returns the remaining time of the quarantine.
func (r *Record) RefuseFor() time.Duration {
	return time.Duration(r.RefuseMilliseconds) * time.Millisecond
}

// Evidence returns the evidence against the request.
func (r *Record) Evidence() decision.CrashEvidence {
	return decision.CrashEvidence{Crashes: r.CrashedReplicas, Incidents: r.Rounds, Attribution: r.Blame}
}

func (r *Record) setEvidence(evidence decision.CrashEvidence) {
	r.CrashedReplicas, r.Rounds, r.Blame = evidence.Crashes, evidence.Incidents, evidence.Attribution
}

// Limits on the descriptive fields of a Record, so that it fits into a datagram.
const (
	maxRouteBytes       = 64
	maxTargetBytes      = 128
	maxReplicaNameBytes = 48
	maxCanaries         = 3
)

// addCanaries adds replica names and keeps the latest maxCanaries.
func (r *Record) addCanaries(names []string) {
	for _, name := range names {
		name = truncate(name, maxReplicaNameBytes)
		if !slices.Contains(r.Canaries, name) {
			r.Canaries = append(r.Canaries, name)
		}
	}
	if extra := len(r.Canaries) - maxCanaries; extra > 0 {
		r.Canaries = r.Canaries[extra:]
	}
}

func truncate(text string, limit int) string { return text[:min(len(text), limit)] }
