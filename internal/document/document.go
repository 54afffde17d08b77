// Package document replicates the few documents that the store holds and
// every daemon needs: the policy table and the catalogue. A document is whole,
// small and versioned; a daemon keeps the highest revision it has seen and
// nothing ever replaces it by a lower one.
package document

// Name names a document.
type Name string

// The documents.
const (
	Table     Name = "table"
	Catalogue Name = "catalogue"
)

// Names are all documents.
var Names = []Name{Table, Catalogue}

// Document is one version of a document.
type Document struct {
	Name Name `msgpack:"n"`
	// Revision is the document's own, not the store's.
	Revision uint64 `msgpack:"r"`
	// Body is the JSON of policy.Table or catalogue.Catalogue.
	Body []byte `msgpack:"b"`
}

// Key returns the store's key of a document.
func (n Name) Key() string { return KeyPrefix + string(n) }

// KeyPrefix is the prefix of every document's key in the store.
const KeyPrefix = "/doorpond/document/"
