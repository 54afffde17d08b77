// Package policytable edits the policy table in the store by compare-and-swap, keeps
// its history, and publishes accepted versions on the blackboard.
package policytable

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/policy"
)

// TableAcceptor returns an acceptor for document.Register that decodes and validates
// the policy table and publishes it on the blackboard.
func TableAcceptor(board *blackboard.Board) func(document.Document) error {
	return func(version document.Document) error {
		table, err := decodeTable(version.Body)
		if err != nil {
			return err
		}
		if table.Revision != version.Revision {
			return eris.Errorf("revision %d in the policy table differs from document revision %d", table.Revision, version.Revision)
		}
		board.PolicyTable.Publish(policy.NewIndex(table))
		return nil
	}
}

func decodeTable(body []byte) (*policy.Table, error) {
	table := &policy.Table{}
	if err := json.Unmarshal(body, table); err != nil {
		return nil, eris.Wrap(err, "decode policy table")
	}
	if err := policy.Validate(table); err != nil {
		return nil, err
	}
	return table, nil
}

// CatalogueAcceptor returns an acceptor for document.Register that decodes and
// validates the catalogue and publishes it on the blackboard.
func CatalogueAcceptor(board *blackboard.Board) func(document.Document) error {
	return func(version document.Document) error {
		decoded := &catalogue.Catalogue{}
		if err := json.Unmarshal(version.Body, decoded); err != nil {
			return eris.Wrap(err, "decode catalogue")
		}
		if decoded.Revision != version.Revision {
			return eris.Errorf("revision %d in the catalogue differs from document revision %d", decoded.Revision, version.Revision)
		}
		if err := validateCatalogue(decoded); err != nil {
			return err
		}
		board.Catalogue.Publish(decoded)
		return nil
	}
}

func validateCatalogue(decoded *catalogue.Catalogue) error {
	names := make(map[string]bool, len(decoded.Corpora))
	for i := range decoded.Corpora {
		corpus := &decoded.Corpora[i]
		if corpus.Name == "" || names[corpus.Name] {
			return eris.Errorf("corpus %q: empty or duplicate name", corpus.Name)
		}
		names[corpus.Name] = true
		if err := validateCorpus(corpus); err != nil {
			return err
		}
	}
	return nil
}

func validateCorpus(corpus *catalogue.Corpus) error {
	var previous uint64
	for i := range corpus.Snapshots {
		snapshot := &corpus.Snapshots[i]
		if snapshot.ID <= previous {
			return eris.Errorf("corpus %q: snapshot %d does not follow %d", corpus.Name, snapshot.ID, previous)
		}
		previous = snapshot.ID
		if err := validateSnapshot(snapshot); err != nil {
			return eris.Wrapf(err, "corpus %q: snapshot %d", corpus.Name, snapshot.ID)
		}
	}
	return nil
}

func validateSnapshot(snapshot *catalogue.Snapshot) error {
	names := make(map[string]bool, len(snapshot.Indexes))
	for _, index := range snapshot.Indexes {
		if index.Name == "" || names[index.Name] {
			return eris.Errorf("index %q: empty or duplicate name", index.Name)
		}
		names[index.Name] = true
		if len(index.Groups) == 0 {
			return eris.Errorf("index %q has no shards", index.Name)
		}
		for shard, group := range index.Groups {
			if group == "" {
				return eris.Errorf("index %q: shard %d has no replica group", index.Name, shard)
			}
		}
	}
	return nil
}
