// Package inspect lets operators read what the nodes on the users' platform
// know and measure. Any node answers for all: it asks the others that it knows
// from the store.
package inspect

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/comparison"
	"github.com/doorpond/doorpond/internal/elapsed"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/quarantine"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/statistics"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// Config is what a handler is made of.
type Config struct {
	Board *blackboard.Board
	Node  topology.Node
	// Measured returns what this node has measured of each route for some time
	// back.
	Measured func(last time.Duration) []statistics.PolicyStatistics
	// Loaded tells whether this node is loaded.
	Loaded func() bool
	// Budgets returns the retry budgets of this node that are used most, in the order of
	// CompareBudgets.
	Budgets func() []Budget
	// Quarantined returns the requests that are suspected or quarantined on this node; nil
	// means none.
	Quarantined func() []quarantine.Record
	// Release ends the quarantine of a request on all nodes. Its errors are *failure.Error.
	Release func(ctx context.Context, identity quarantine.Identity) error
	// Known returns the store's revision up to which this node knows all, and when that was
	// confirmed; nil when the node does not follow a store.
	Known  func() (revision int64, confirmedAt time.Time)
	Client *http.Client
}

// Node is what one node says of itself.
type Node struct {
	Node topology.Node `json:"node"`
	// Entry is true while callers are led to the node.
	Entry bool `json:"entry"`
	// Version is that of the configuration in force, 0 for none.
	Version uint64 `json:"version"`
	// StoreReachable is false since StoreSince while the store does not answer.
	StoreReachable bool      `json:"store_reachable"`
	StoreSince     time.Time `json:"store_since"`
	// StoreEra and StoreRevision are what of the store the node knows all of; the era
	// rises when the store comes back from a copy, and its revisions begin lower then.
	StoreEra      int64 `json:"store_era"`
	StoreRevision int64 `json:"store_revision"`
	// ConfirmedAgo is the time since that was last confirmed, in milliseconds; -1 when it
	// never was.
	ConfirmedAgo int64 `json:"confirmed_ago_ms"`
	// Budgets are the node's retry budgets that are used most.
	Budgets []Budget `json:"budgets"`
	// Quarantined are the requests that are suspected or quarantined on the node.
	Quarantined []Request `json:"quarantined"`
}

// Route is a route as an assignment of callers to a policy row.
type Route struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"path_prefix"`
	Rank       int     `json:"rank"`
	Repeatable bool    `json:"repeatable"`
	Attempts   int     `json:"attempts"`
	LeastShare float64 `json:"least_share"`
	TopRecords int     `json:"top_records"`
	// Timeout and Objective are in milliseconds.
	Timeout   int64 `json:"timeout_ms"`
	Objective int64 `json:"objective_ms"`
	// Shards counts those of a scattered route, Shares divide a plain one's
	// requests.
	Shards int                     `json:"shards"`
	Shares []routing.WeightedGroup `json:"shares"`
	// Regions are those whose replicas may take a request; empty means all.
	Regions []string `json:"regions"`
}

// System is all nodes, and what the one that was asked knows.
type System struct {
	// Version is the highest in force on any node.
	Version uint64 `json:"version"`
	Nodes   []Node `json:"nodes"`
	// Lagging names the nodes on which an older version is in force.
	Lagging     []string                 `json:"lagging"`
	Unreachable []comparison.Unreachable `json:"unreachable"`
	Routes      []Route                  `json:"routes"`
	// Replicas counts those that serve, Leaving are the others.
	Replicas int                `json:"replicas"`
	Leaving  []topology.Replica `json:"leaving"`
	// Cold counts the replicas that take no more than their rate.
	Cold int `json:"cold"`
	// Evacuated counts the replicas of each evacuated zone that has any.
	Evacuated map[string]int `json:"evacuated"`
	// Quarantined are the requests that are suspected or quarantined on any node.
	Quarantined []Request `json:"quarantined"`
	// Budgets adds up those that the nodes list, group by group.
	Budgets []Budget `json:"budgets"`
}

// The paths of the calls.
const (
	pathNode       = "/v1/node"
	pathSystem     = "/v1/system"
	pathStatistics = "/v1/statistics"
	pathCompare    = "/v1/compare"
	pathRelease    = "/v1/release"
)

const (
	// askTimeout bounds the question to one node.
	askTimeout = time.Second
	// askAtOnce bounds the nodes that are asked at the same time.
	askAtOnce = 16
)

// handler answers operators.
type handler struct{ config Config }

// New makes a handler of the operators' calls.
func New(config Config) http.Handler {
	if config.Quarantined == nil {
		config.Quarantined = func() []quarantine.Record { return nil }
	}
	h := &handler{config: config}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathNode, func(w http.ResponseWriter, _ *http.Request) { write(w, h.node()) })
	mux.HandleFunc("GET "+pathSystem, func(w http.ResponseWriter, r *http.Request) { write(w, h.system(r.Context())) })
	mux.HandleFunc("GET "+pathStatistics, h.statistics)
	mux.HandleFunc("GET "+pathCompare, h.compare)
	mux.HandleFunc("POST "+pathRelease, h.release)
	return mux
}

func write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the operator is gone if this fails
}

func (h *handler) node() Node {
	described := Node{Node: h.config.Node, Budgets: h.config.Budgets(), Quarantined: requestsOf(h.config.Quarantined())}
	described.Node.Overloaded = h.config.Loaded()
	if nodes := h.config.Board.Nodes.Load(); nodes != nil {
		described.Entry = nodes.SelfIsEntry()
	}
	if table := h.config.Board.Routes.Load(); table != nil {
		described.Version = table.Version
	}
	if status := h.config.Board.Store.Load(); status != nil {
		described.StoreReachable, described.StoreSince = status.Reachable, status.Since
	}
	h.describeKnown(&described)
	return described
}

// describeKnown adds what the node knows of the store.
func (h *handler) describeKnown(described *Node) {
	described.ConfirmedAgo = -1
	if h.config.Known == nil {
		return
	}
	revision, confirmedAt := h.config.Known()
	described.StoreEra, described.StoreRevision = store.EraOf(revision), store.SequenceOf(revision)
	if !confirmedAt.IsZero() {
		described.ConfirmedAgo = max(0, elapsed.Time().Sub(confirmedAt).Milliseconds())
	}
}

func (h *handler) system(ctx context.Context) System {
	known := System{Lagging: []string{}, Routes: []Route{}, Leaving: []topology.Replica{}, Evacuated: map[string]int{}}
	known.Nodes, known.Unreachable = gather(ctx, h, pathNode, h.node())
	for _, node := range known.Nodes {
		known.Version = max(known.Version, node.Version)
	}
	for _, node := range known.Nodes {
		if node.Version < known.Version {
			known.Lagging = append(known.Lagging, node.Node.ID)
		}
	}
	if table := h.config.Board.Routes.Load(); table != nil {
		for i := range table.Routes {
			known.Routes = append(known.Routes, describe(&table.Routes[i]))
		}
	}
	h.countReplicas(&known)
	known.Budgets = addBudgets(known.Nodes)
	known.Quarantined = addRequests(known.Nodes)
	return known
}

func (h *handler) countReplicas(known *System) {
	replicas := h.config.Board.Replicas.Load()
	if replicas == nil {
		return
	}
	for _, group := range replicas.Groups {
		for _, replica := range group {
			switch replica.State {
			case topology.ReplicaLeaving, topology.ReplicaVanished:
				known.Leaving = append(known.Leaving, replica)
			case topology.ReplicaEvacuated:
				known.Evacuated[replica.Place.Zone]++
			default:
				known.Replicas++
				if replica.ColdRate > 0 {
					known.Cold++
				}
			}
		}
	}
}

func describe(route *routing.Route) Route {
	return Route{
		Name: route.Name, Host: route.Host, PathPrefix: route.PathPrefix, Rank: route.Rank, Repeatable: route.Idempotent,
		Attempts: route.Policy.Retry.Attempts, LeastShare: route.Policy.Completeness.Min, TopRecords: route.TopRecords,
		Timeout: time.Duration(route.Policy.Wait.Timeout).Milliseconds(), Objective: route.Objective.Milliseconds(),
		Shards: len(route.Shards), Shares: route.WeightedGroups, Regions: route.Regions,
	}
}

func (h *handler) statistics(w http.ResponseWriter, r *http.Request) {
	last, err := comparison.ReadLast(r.URL.Query())
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	write(w, h.config.Measured(last))
}

func (h *handler) compare(w http.ResponseWriter, r *http.Request) {
	query, err := comparison.ReadQuery(r.URL.Query())
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	path := pathStatistics + "?last=" + query.Last.String()
	measured, unreachable := gather(r.Context(), h, path, h.config.Measured(query.Last))
	for _, name := range []string{query.A, query.B} {
		if !h.known(measured, name) {
			failure.WriteProblem(w, failure.New(failure.NotFound, "there is no route "+name))
			return
		}
	}
	write(w, comparison.NewLive(query, measured, unreachable))
}

// known tells whether a route is there or was measured.
func (h *handler) known(measured [][]statistics.PolicyStatistics, name string) bool {
	if table := h.config.Board.Routes.Load(); table != nil {
		if slices.ContainsFunc(table.Routes, func(route routing.Route) bool { return route.Name == name }) {
			return true
		}
	}
	return slices.ContainsFunc(measured, func(part []statistics.PolicyStatistics) bool {
		return slices.ContainsFunc(part, func(one statistics.PolicyStatistics) bool { return one.Policy == name })
	})
}

// gather asks all other nodes, and returns their answers behind this node's own.
func gather[T any](ctx context.Context, h *handler, path string, own T) ([]T, []comparison.Unreachable) {
	var others []topology.Node
	if nodes := h.config.Board.Nodes.Load(); nodes != nil {
		for _, node := range nodes.Nodes {
			if node.ID != h.config.Node.ID {
				others = append(others, node)
			}
		}
	}
	answers, problems := make([]T, len(others)), make([]error, len(others))
	var group errgroup.Group
	group.SetLimit(askAtOnce)
	for i, node := range others {
		group.Go(func() error {
			problems[i] = h.ask(ctx, node, path, &answers[i])
			return nil
		})
	}
	_ = group.Wait() // each error is kept in problems
	answered, unreachable := []T{own}, []comparison.Unreachable{}
	for i, node := range others {
		if problems[i] != nil {
			member := topology.Member{ID: node.ID, PeerAddress: node.PeerAddress, Place: node.Place}
			unreachable = append(unreachable, comparison.Unreachable{Member: member, Reason: problems[i].Error()})
			continue
		}
		answered = append(answered, answers[i])
	}
	return answered, unreachable
}

func (h *handler) ask(ctx context.Context, node topology.Node, path string, into any) error {
	address, err := netip.ParseAddrPort(node.StateAddress)
	if err != nil {
		return eris.Wrapf(err, "read the address of %s", node.ID)
	}
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return eris.Wrapf(err, "ask %s", node.ID)
	}
	response, err := h.config.Client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "ask %s", node.ID)
	}
	defer func() { _ = response.Body.Close() }() // what matters was read
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s answered %d", node.ID, response.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(into), "decode the answer of %s", node.ID)
}
