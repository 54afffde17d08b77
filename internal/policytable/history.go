package policytable

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/store"
)

// HistoryPrefix is the prefix of the keys that hold the changes, one a
// revision, as the JSON of policy.Change.
const HistoryPrefix = "/doorpond/history/"

const (
	// revisionDigits is the length of a revision in a history key.
	revisionDigits = 16
	// blockDigits are the digits that differ inside a block of history keys
	// read at once: 100 changes.
	blockDigits = 2
	blockSize   = 100
	// rememberedBlocks bounds the search for a change by its ID: at least the
	// last 100 changes, at most 200.
	rememberedBlocks = 2
	// maxHistory is the greatest number of changes that History returns.
	maxHistory = 1000
)

func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%0*d", HistoryPrefix, revisionDigits, revision)
}

// changesDown returns changes from a revision downwards, newest first, until
// enough returns true for one (which is included) or blocks are used up.
func changesDown(ctx context.Context, reader store.Reader, from uint64, blocks int, enough func(policy.Change) bool) ([]policy.Change, error) {
	var changes []policy.Change
	for block := from / blockSize; blocks > 0; blocks-- {
		inBlock, err := readBlock(ctx, reader, block)
		if err != nil {
			return nil, err
		}
		for _, change := range inBlock {
			if change.Revision > from {
				continue
			}
			changes = append(changes, change)
			if enough(change) {
				return changes, nil
			}
		}
		if block == 0 {
			break
		}
		block--
	}
	return changes, nil
}

// readBlock returns the changes whose keys share all digits but the last two,
// newest first. A value that cannot be read is passed over: it was not
// written by doorpond.
func readBlock(ctx context.Context, reader store.Reader, block uint64) ([]policy.Change, error) {
	key := historyKey(block * blockSize)
	values, _, err := reader.List(ctx, key[:len(key)-blockDigits], 0)
	if err != nil {
		return nil, eris.Wrap(err, "read the history")
	}
	changes := make([]policy.Change, 0, len(values))
	for _, value := range values {
		if change, ok := decodeChange(value); ok {
			changes = append(changes, change)
		}
	}
	slices.Reverse(changes)
	return changes, nil
}

func decodeChange(value store.KeyValue) (change policy.Change, ok bool) {
	if !strings.HasPrefix(value.Key, HistoryPrefix) {
		return policy.Change{}, false
	}
	if err := json.Unmarshal(value.Value, &change); err != nil {
		return policy.Change{}, false
	}
	return change, historyKey(change.Revision) == value.Key
}

// findChange looks for a change by its ID among the last ones.
func findChange(ctx context.Context, reader store.Reader, table *policy.Table, id string) (policy.Change, bool, error) {
	if table.LastChange.ID == id {
		return table.LastChange, true, nil
	}
	if table.Revision == 0 {
		return policy.Change{}, false, nil
	}
	same := func(change policy.Change) bool { return change.ID == id }
	changes, err := changesDown(ctx, reader, table.Revision, rememberedBlocks, same)
	if err != nil {
		return policy.Change{}, false, err
	}
	if len(changes) == 0 || !same(changes[len(changes)-1]) {
		return policy.Change{}, false, nil
	}
	return changes[len(changes)-1], true, nil
}
