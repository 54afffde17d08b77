package platform

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/corpus"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/standin/kv"
)

// holding is one shard of one snapshot.
type holding struct {
	snapshot uint64
	index    string
	shard    int
	shards   int
	content  *corpus.Shard
}

func (h *holding) load(replica *backend.Replica) {
	replica.Hold(h.snapshot, h.index, h.shard, h.shards, h.content)
}

// Publish indexes a corpus anew into a number of shards per index, loads the
// shards into their groups, and then publishes the snapshot in the catalogue.
// It returns the snapshot's ID.
func (p *Platform) Publish(corpusName string, shardsPerIndex int) (uint64, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	deployment := p.deploymentOf(corpusName)
	if deployment == nil || shardsPerIndex < 1 {
		return 0, eris.Errorf("cannot publish corpus %q in %d shards", corpusName, shardsPerIndex)
	}
	entry := p.corpusLocked(corpusName)
	snapshot := catalogue.Snapshot{ID: nextSnapshot(entry)}
	for _, name := range p.indexesOf(deployment) {
		index := p.loadIndexLocked(deployment, snapshot.ID, name, shardsPerIndex)
		snapshot.Indexes = append(snapshot.Indexes, index)
	}
	entry.Snapshots = append(slices.Clone(entry.Snapshots), snapshot)
	return snapshot.ID, p.writeCatalogueLocked()
}

// Retire takes a snapshot out of the catalogue and drops it at the replicas.
func (p *Platform) Retire(corpusName string, snapshot uint64) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.corpusLocked(corpusName)
	position := slices.IndexFunc(entry.Snapshots, func(s catalogue.Snapshot) bool { return s.ID == snapshot })
	if position < 0 {
		return eris.Errorf("corpus %q has no snapshot %d", corpusName, snapshot)
	}
	indexes := entry.Snapshots[position].Indexes
	entry.Snapshots = slices.Delete(slices.Clone(entry.Snapshots), position, position+1)
	if err := p.writeCatalogueLocked(); err != nil {
		return err
	}
	for _, index := range indexes {
		p.dropLocked(index.Name, snapshot)
	}
	return nil
}

// Catalogue returns the catalogue as it was last published.
func (p *Platform) Catalogue() catalogue.Catalogue {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	published := p.catalogue
	published.Corpora = slices.Clone(published.Corpora)
	return published
}

func (p *Platform) deploymentOf(corpusName string) *Deployment {
	for i := range p.config.Deployments {
		if p.config.Deployments[i].Corpus == corpusName {
			return &p.config.Deployments[i]
		}
	}
	return nil
}

// corpusLocked returns the catalogue's entry of a corpus, made where missing.
func (p *Platform) corpusLocked(name string) *catalogue.Corpus {
	if entry := p.catalogue.Corpus(name); entry != nil {
		return entry
	}
	p.catalogue.Corpora = append(p.catalogue.Corpora, catalogue.Corpus{Name: name})
	return p.catalogue.Corpus(name)
}

func nextSnapshot(entry *catalogue.Corpus) uint64 {
	if newest := entry.Newest(); newest != nil {
		return newest.ID + 1
	}
	return 1
}

// loadIndexLocked splits an index over its groups, shard after shard in turn.
func (p *Platform) loadIndexLocked(deployment *Deployment, snapshot uint64, name string, shards int) catalogue.Index {
	index := catalogue.Index{Name: name}
	for shard, records := range corpus.Partition(p.Records, name, shards) {
		group := p.groups[searchGroup(name, shard%deployment.GroupsPerIndex)]
		held := holding{snapshot: snapshot, index: name, shard: shard, shards: shards, content: corpus.NewShard(records)}
		group.holdings = append(group.holdings, held)
		for _, server := range group.servers {
			held.load(server.Replica)
		}
		index.Groups = append(index.Groups, group.Name)
	}
	return index
}

func (p *Platform) dropLocked(index string, snapshot uint64) {
	for _, group := range p.groups {
		group.holdings = slices.DeleteFunc(group.holdings, func(h holding) bool {
			return h.index == index && h.snapshot == snapshot
		})
		for _, server := range group.servers {
			server.Replica.Retire(snapshot, index)
		}
	}
}

// writeCatalogueLocked publishes the next revision of the catalogue in the
// store, past the faults of its gateway.
func (p *Platform) writeCatalogueLocked() error {
	p.catalogue.Revision++
	body, err := json.Marshal(&p.catalogue)
	if err != nil {
		return eris.Wrap(err, "encode the catalogue")
	}
	key := []byte(document.Catalogue.Key())
	if _, err := p.Store.Store.Put(kv.PutRequest{Key: key, Value: body}); err != nil {
		return eris.Wrap(err, "write the catalogue")
	}
	return nil
}
