package operator

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/doorpond/doorpond/internal/policy"
)

const indexWeightsField = "shards.index_weights."

// setField sets one field of a row by its dotted JSON name, as in
// "wait.timeout=60ms". An index's weight with no value is removed.
func setField(row *policy.Row, assignment string) error {
	path, value, found := strings.Cut(assignment, "=")
	if !found || path == "" {
		return usage("%q is not FIELD=VALUE", assignment)
	}
	if path == "name" || path == "revision" {
		return usage("%s cannot be set", path)
	}
	if index, isWeight := strings.CutPrefix(path, indexWeightsField); isWeight && value == "" {
		delete(row.Shards.IndexWeights, index)
		return nil
	}
	overlay, err := overlayOf(path, value)
	if err != nil {
		return usage("%s: %w", path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(overlay))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(row); err != nil {
		return usage("set %s to %q: %w", path, value, err)
	}
	return nil
}

// maximumPathParts is the depth of the deepest field; the last part may hold
// dots, as the names of indexes do.
const maximumPathParts = 3

// overlayOf nests a value under the parts of a path: {"wait":{"timeout":"60ms"}}.
func overlayOf(path, value string) (json.RawMessage, error) {
	overlay, err := jsonValue(value)
	if err != nil {
		return nil, err
	}
	parts := strings.SplitN(path, ".", maximumPathParts)
	for i := len(parts) - 1; i >= 0; i-- {
		overlay, err = json.Marshal(map[string]json.RawMessage{parts[i]: overlay})
		if err != nil {
			return nil, err
		}
	}
	return overlay, nil
}

// jsonValue takes numbers as they are and all else as text.
func jsonValue(value string) (json.RawMessage, error) {
	var number json.Number
	if json.Unmarshal([]byte(value), &number) == nil && !strings.HasPrefix(value, `"`) && value != "null" {
		return json.RawMessage(value), nil
	}
	return json.Marshal(value)
}
