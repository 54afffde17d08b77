package document

import (
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

// Revision is the current revision of a document.
type Revision struct {
	Name     Name   `msgpack:"n" json:"name"`
	Revision uint64 `msgpack:"r" json:"revision"`
}

// Register holds the current version of each document. Revisions only increase.
// It is safe for concurrent use.
type Register struct {
	// offerMutex serializes offers, so that acceptors see revisions in order.
	offerMutex sync.Mutex

	mutex       sync.RWMutex
	current     map[Name]Document
	acceptors   map[Name][]func(Document) error
	subscribers []func(Document)
}

// NewRegister returns an empty Register.
func NewRegister() *Register {
	return &Register{
		current:   make(map[Name]Document),
		acceptors: make(map[Name][]func(Document) error),
	}
}

// AddAcceptor registers a function that checks and consumes new versions of a
// document, for example by publishing them on the blackboard. If it returns an
// error, the version is rejected. It must not call Offer.
func (r *Register) AddAcceptor(name Name, accept func(Document) error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.acceptors[name] = append(r.acceptors[name], accept)
}

// Subscribe registers a function that is called with each accepted version of any
// document. It must not call Offer.
func (r *Register) Subscribe(notify func(Document)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.subscribers = append(r.subscribers, notify)
}

// Offer makes a version current if its revision is higher than the current one and
// every acceptor accepts it. A version that is not higher is ignored without an
// error.
func (r *Register) Offer(document Document) (accepted bool, err error) {
	if !slices.Contains(Names, document.Name) {
		return false, eris.Errorf("accept document %q: unknown document", document.Name)
	}
	r.offerMutex.Lock()
	defer r.offerMutex.Unlock()
	current, _ := r.Current(document.Name)
	if document.Revision <= current.Revision {
		return false, nil
	}
	acceptors, subscribers := r.consumers(document.Name)
	for _, accept := range acceptors {
		if err := accept(document); err != nil {
			return false, eris.Wrapf(err, "accept document %q at revision %d", document.Name, document.Revision)
		}
	}
	r.mutex.Lock()
	r.current[document.Name] = document
	r.mutex.Unlock()
	for _, notify := range subscribers {
		notify(document)
	}
	return true, nil
}

func (r *Register) consumers(name Name) ([]func(Document) error, []func(Document)) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return slices.Clone(r.acceptors[name]), slices.Clone(r.subscribers)
}

// Current returns the current version; found is false if there is none yet.
func (r *Register) Current(name Name) (current Document, found bool) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	current, found = r.current[name]
	return current, found
}

// Revisions returns the current revisions in the order of Names, without documents
// that have no version yet.
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
