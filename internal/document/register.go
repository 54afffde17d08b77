package document

import (
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// Revision is the revision in force of one document.
type Revision struct {
	Name     Name   `msgpack:"n" json:"name"`
	Revision uint64 `msgpack:"r" json:"revision"`
}

// Register holds the version in force of each document. It only ever moves
// to a higher revision. It is safe for concurrent use.
type Register struct {
	// offering makes acceptances follow each other, so that an acceptor never
	// sees revisions out of order.
	offering sync.Mutex

	mutex     sync.RWMutex
	current   map[Name]Document
	acceptors map[Name][]func(Document) error
	notify    []func(Document)
}

// NewRegister returns an empty Register.
func NewRegister() *Register {
	return &Register{
		current:   make(map[Name]Document),
		acceptors: make(map[Name][]func(Document) error),
	}
}

// AddAcceptor adds a check and consumer of a document's new versions, such as
// one that decodes it and publishes it on the blackboard. Its error rejects
// the version. It must not call Offer.
func (r *Register) AddAcceptor(name Name, accept func(Document) error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.acceptors[name] = append(r.acceptors[name], accept)
}

// Subscribe adds a consumer that is told of each version after it came into
// force. It must not call Offer.
func (r *Register) Subscribe(notify func(Document)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.notify = append(r.notify, notify)
}

// Offer brings a version into force if its revision is higher than the one in
// force and every acceptor agrees. A version that is not higher is not an
// error.
func (r *Register) Offer(document Document) (accepted bool, err error) {
	if !slices.Contains(Names, document.Name) {
		return false, eris.Errorf("accept document %q: no such document", document.Name)
	}
	r.offering.Lock()
	defer r.offering.Unlock()
	current, _ := r.Current(document.Name)
	if document.Revision <= current.Revision {
		return false, nil
	}
	acceptors, notify := r.consumers(document.Name)
	for _, accept := range acceptors {
		if err := accept(document); err != nil {
			return false, eris.Wrapf(err, "accept document %q at revision %d", document.Name, document.Revision)
		}
	}
	r.mutex.Lock()
	r.current[document.Name] = document
	r.mutex.Unlock()
	for _, tell := range notify {
		tell(document)
	}
	return true, nil
}

func (r *Register) consumers(name Name) ([]func(Document) error, []func(Document)) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return slices.Clone(r.acceptors[name]), slices.Clone(r.notify)
}

// Current returns the version in force; found is false before the first.
func (r *Register) Current(name Name) (current Document, found bool) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	current, found = r.current[name]
	return current, found
}

// Revisions returns the revisions in force in the order of Names; documents
// not yet known are left out.
func (r *Register) Revisions() []Revision {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	revisions := make([]Revision, 0, len(Names))
	for _, name := range Names {
		if current, found := r.current[name]; found {
			revisions = append(revisions, Revision{Name: name, Revision: current.Revision})
		}
	}
	return revisions
}
