// Package policytable edits the operators' shared policy table in the store
// by compare-and-swap, keeps its history, and publishes accepted versions on
// the blackboard.
package policytable

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/policy"
)

// TableAcceptor returns the acceptor of the policy table: it decodes and checks a
// version, and publishes it on the blackboard.
func TableAcceptor(board *blackboard.Board) func(document.Document) error {
	return func(version document.Document) error {
		table, err := decodeTable(version.Body)
		if err != nil {
			return err
		}
		if table.Revision != version.Revision {
			return eris.Errorf("the table says revision %d, its document %d", table.Revision, version.Revision)
		}
		board.PolicyTable.Publish(policy.NewIndex(table))
		return nil
	}
}

func decodeTable(body []byte) (*policy.Table, error) {
	table := &policy.Table{}
	if err := json.Unmarshal(body, table); err != nil {
		return nil, eris.Wrap(err, "decode the policy table")
	}
	if err := policy.Validate(table); err != nil {
		return nil, err
	}
	return table, nil
}

// CatalogueAcceptor returns the acceptor of the catalogue, as Publish does for
// the table.
func CatalogueAcceptor(board *blackboard.Board) func(document.Document) error {
	return func(version document.Document) error {
		published := &catalogue.Catalogue{}
		if err := json.Unmarshal(version.Body, published); err != nil {
			return eris.Wrap(err, "decode the catalogue")
		}
		if published.Revision != version.Revision {
			return eris.Errorf("the catalogue says revision %d, its document %d", published.Revision, version.Revision)
		}
		if err := validateCatalogue(published); err != nil {
			return err
		}
		board.Catalogue.Publish(published)
		return nil
	}
}

func validateCatalogue(published *catalogue.Catalogue) error {
	names := make(map[string]bool, len(published.Corpora))
	for i := range published.Corpora {
		corpus := &published.Corpora[i]
		if corpus.Name == "" || names[corpus.Name] {
			return eris.Errorf("corpus %q: the name is empty or taken", corpus.Name)
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
			return eris.Errorf("index %q: the name is empty or taken", index.Name)
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
