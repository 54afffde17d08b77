// Package quarantine keeps requests from replicas that would end by running them. A request
// under which replicas have ended is a suspect: the next time it comes, it is tried on one
// replica first. One that goes on ending replicas is quarantined: all nodes refuse it, for a
// time. Nodes tell each other by datagram, and the store keeps what is quarantined.
//
// While no request is suspected, nothing is sent or kept, and a request costs one atomic
// read.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"
	"time"

	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/upstream"
)

// The defaults of a Config.
const (
	// DefaultDuration is for how long a request is refused: as long as the store's longest
	// lease, which keeps it.
	DefaultDuration = 10 * time.Minute
	// DefaultMaxEntries bounds the requests that are known, some 400 bytes each.
	DefaultMaxEntries = 1024
)

// suspectFor is for how long a suspect is remembered that is not quarantined: longer than
// replicas take to be back, and callers to come again.
const suspectFor = time.Minute

// Identity tells requests apart: a wide hash of what a replica sees of them, which is method,
// host, path, query, the caller's credentials and the body. Identifiers and other headers
// differ with each try of a request, and so may the address that it comes from, of which a
// replica sees nothing. (With the address, a request that came from another one each time
// ended 12 replicas with each try.)
type Identity [sha256.Size]byte

// IdentityOf returns the identity of a request.
func IdentityOf(message *upstream.Message) Identity {
	digest := sha256.New()
	for _, part := range []string{message.Method, message.Host, message.Target, message.Header.Get("Authorization")} {
		writePart(digest, part)
	}
	_, _ = digest.Write(message.Body) // a hash takes all that is written
	var identity Identity
	digest.Sum(identity[:0])
	return identity
}

// writePart writes a part behind its length, so that parts do not run into each other.
func writePart(digest hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write([]byte(part))
}

// String returns the identity as operators and logs name it.
func (i Identity) String() string { return hex.EncodeToString(i[:]) }

// ParseIdentity reads what String writes.
func ParseIdentity(text string) (Identity, bool) {
	var identity Identity
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(identity) {
		return Identity{}, false
	}
	copy(identity[:], decoded)
	return identity, true
}

// Status is what is known of a request that comes.
type Status struct {
	// Evidence is what speaks against it; zero for nothing.
	Evidence decision.CrashEvidence
	// RefuseFor is for how long it is still quarantined; 0 when it is not.
	RefuseFor time.Duration
}

// Record is what nodes tell each other of a request, and what the store keeps. Times are
// lengths, as clocks of nodes differ.
type Record struct {
	Identity Identity `msgpack:"i" json:"-"`
	// CrashedReplicas, Rounds and Blame are the evidence.
	CrashedReplicas int     `msgpack:"e" json:"ended"`
	Rounds          int     `msgpack:"m" json:"rounds"`
	Blame           float64 `msgpack:"b" json:"blame"`
	// RefuseMilliseconds is for how long it is still quarantined; 0 when it is a suspect.
	RefuseMilliseconds int64 `msgpack:"r,omitempty" json:"refuse_ms"`
	// Canaries names the latest replicas that ended by canaries of the request.
	Canaries []string `msgpack:"l,omitempty" json:"canaries,omitempty"`
	// Released is true when an operator has ended the quarantine.
	Released bool `msgpack:"x,omitempty" json:"released,omitempty"`
	// Route, Caller and Target name the request for operators.
	Route  string `msgpack:"n" json:"route"`
	Caller string `msgpack:"c" json:"caller"`
	Target string `msgpack:"t" json:"target"`
}

// RefuseFor is for how long the request is still quarantined.
func (r *Record) RefuseFor() time.Duration {
	return time.Duration(r.RefuseMilliseconds) * time.Millisecond
}

// Evidence is what speaks against the request.
func (r *Record) Evidence() decision.CrashEvidence {
	return decision.CrashEvidence{Crashes: r.CrashedReplicas, Incidents: r.Rounds, Attribution: r.Blame}
}

func (r *Record) setEvidence(found decision.CrashEvidence) {
	r.CrashedReplicas, r.Rounds, r.Blame = found.Crashes, found.Incidents, found.Attribution
}

// The bounds of what names a request, in bytes: a record fits into a datagram.
const (
	mostRouteBytes   = 64
	mostTargetBytes  = 128
	mostProcessBytes = 48
	mostCanaries     = 3
)

// addCanaries adds the names of replicas; the latest are kept.
func (r *Record) addCanaries(names []string) {
	for _, name := range names {
		if !slices.Contains(r.Canaries, name) {
			r.Canaries = append(r.Canaries, name)
		}
	}
	if extra := len(r.Canaries) - mostCanaries; extra > 0 {
		r.Canaries = r.Canaries[extra:]
	}
}

func shortened(text string, most int) string { return text[:min(len(text), most)] }
