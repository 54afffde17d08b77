package document

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// MaxBodyBytes is the maximum size of the body of a document.
const MaxBodyBytes = 4 << 20

// Parse returns the document with the given JSON body, whose member "revision"
// holds its revision. It fails if the revision is missing or 0.
func Parse(name Name, body []byte) (Document, error) {
	if len(body) > MaxBodyBytes {
		return Document{}, eris.Errorf("parse document %q: size of %d bytes exceeds the limit of %d", name, len(body), MaxBodyBytes)
	}
	var versioned struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(body, &versioned); err != nil {
		return Document{}, eris.Wrapf(err, "parse document %q", name)
	}
	if versioned.Revision == 0 {
		return Document{}, eris.Errorf("parse document %q: missing revision", name)
	}
	return Document{Name: name, Revision: versioned.Revision, Body: body}, nil
}
