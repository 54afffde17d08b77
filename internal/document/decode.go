package document

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// MaxBodyBytes is the greatest size of a document.
const MaxBodyBytes = 4 << 20

// Parse reads a document's revision out of its JSON body; every document
// has it in the member "revision". Revision 0 is refused.
func Parse(name Name, body []byte) (Document, error) {
	if len(body) > MaxBodyBytes {
		return Document{}, eris.Errorf("read document %q: %d bytes are over the limit of %d", name, len(body), MaxBodyBytes)
	}
	var versioned struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(body, &versioned); err != nil {
		return Document{}, eris.Wrapf(err, "read document %q", name)
	}
	if versioned.Revision == 0 {
		return Document{}, eris.Errorf("read document %q: it has no revision", name)
	}
	return Document{Name: name, Revision: versioned.Revision, Body: body}, nil
}
