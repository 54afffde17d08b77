// Package document replicates the documents in the store that every daemon needs:
// the policy table and the catalogue. Documents are small, versioned and replaced
// as a whole. A daemon keeps the highest revision that it has seen and never goes
// back to a lower one.
package document

// Name identifies a document.
type Name string

// The names of the documents.
const (
	Table     Name = "table"
	Catalogue Name = "catalogue"
)

// Names lists all documents.
var Names = []Name{Table, Catalogue}

// Document is one version of a document.
type Document struct {
	Name Name `msgpack:"n"`
	// Revision is the revision of the document, not of the store.
	Revision uint64 `msgpack:"r"`
	// Body is the JSON encoding of a policy.Table or catalogue.Catalogue.
	Body []byte `msgpack:"b"`
}

// Key returns the key of the document in the store.
func (n Name) Key() string { return KeyPrefix + string(n) }

// KeyPrefix is the prefix of the keys of all documents in the store.
const KeyPrefix = "/doorpond/document/"
