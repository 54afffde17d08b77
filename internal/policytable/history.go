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

// HistoryPrefix is the prefix of the keys that hold the changes. There is one key per
// revision, with the JSON encoding of a policy.Change.
const HistoryPrefix = "/doorpond/history/"

const (
	// revisionDigits is the number of digits of a revision in a history key.
	revisionDigits = 16
	// blockDigits is the number of trailing digits that differ between the keys
	// of a block. A block of blockSize changes is read at once.
	blockDigits = 2
	blockSize   = 100
	// maxSearchBlocks bounds the search for a change by its ID to between 100 and
	// 200 of the latest changes.
	maxSearchBlocks = 2
	// maxHistory is the maximum number of changes that History returns.
	maxHistory = 1000
)

func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%0*d", HistoryPrefix, revisionDigits, revision)
}

// listChanges returns the changes at and before a revision, newest first. It ends
// with the first change for which stop returns true, or after the given number of
// blocks.
func listChanges(ctx context.Context, reader store.Reader, from uint64, blocks int, stop func(policy.Change) bool) ([]policy.Change, error) {
	var changes []policy.Change
	for block := from / blockSize; blocks > 0; blocks-- {
		blockChanges, err := readBlock(ctx, reader, block)
		if err != nil {
			return nil, err
		}
		for _, change := range blockChanges {
			if change.Revision > from {
				continue
			}
			changes = append(changes, change)
			if stop(change) {
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

// readBlock returns the changes of a block, newest first. Invalid values are skipped,
// because they were not written by an Editor.
func readBlock(ctx context.Context, reader store.Reader, block uint64) ([]policy.Change, error) {
	key := historyKey(block * blockSize)
	values, _, err := reader.List(ctx, key[:len(key)-blockDigits], 0)
	if err != nil {
		return nil, eris.Wrap(err, "read policy history")
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

// findChange searches the latest changes for an ID.
func findChange(ctx context.Context, reader store.Reader, table *policy.Table, id string) (policy.Change, bool, error) {
	if table.LastChange.ID == id {
		return table.LastChange, true, nil
	}
	if table.Revision == 0 {
		return policy.Change{}, false, nil
	}
	hasID := func(change policy.Change) bool { return change.ID == id }
	changes, err := listChanges(ctx, reader, table.Revision, maxSearchBlocks, hasID)
	if err != nil {
		return policy.Change{}, false, err
	}
	if len(changes) == 0 || !hasID(changes[len(changes)-1]) {
		return policy.Change{}, false, nil
	}
	return changes[len(changes)-1], true, nil
}
