package operator

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/doorpond/doorpond/internal/policy"
)

const indexWeightsField = "shards.index_weights."

// setField sets one field of a policy by its dotted JSON path, as in
// "wait.timeout=60ms". An empty value removes an index weight.
func setField(row *policy.Row, fieldAssignment string) error {
	path, value, found := strings.Cut(fieldAssignment, "=")
	if !found || path == "" {
		return usageError("invalid argument %q: must be FIELD=VALUE", fieldAssignment)
	}
	if path == "name" || path == "revision" {
		return usageError("%s cannot be set", path)
	}
	if index, isWeight := strings.CutPrefix(path, indexWeightsField); isWeight && value == "" {
		delete(row.Shards.IndexWeights, index)
		return nil
	}
	overlay, err := nestValue(path, value)
	if err != nil {
		return usageError("%s: %w", path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(overlay))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(row); err != nil {
		return usageError("set %s to %q: %w", path, value, err)
	}
	return nil
}

// maxPathParts is the depth of the deepest field. The last part is not split
// further because index names may contain dots.
const maxPathParts = 3

// nestValue returns the JSON object with a value at a dotted path, such as
// {"wait":{"timeout":"60ms"}}.
func nestValue(path, value string) (json.RawMessage, error) {
	overlay, err := jsonValue(value)
	if err != nil {
		return nil, err
	}
	parts := strings.SplitN(path, ".", maxPathParts)
	for i := len(parts) - 1; i >= 0; i-- {
		overlay, err = json.Marshal(map[string]json.RawMessage{parts[i]: overlay})
		if err != nil {
			return nil, err
		}
	}
	return overlay, nil
}

// jsonValue encodes numbers as JSON numbers and all other values as strings.
func jsonValue(value string) (json.RawMessage, error) {
	var number json.Number
	if json.Unmarshal([]byte(value), &number) == nil && !strings.HasPrefix(value, `"`) && value != "null" {
		return json.RawMessage(value), nil
	}
	return json.Marshal(value)
}
