// Package inspect serves the operators' API of the nodes: their state and
// statistics. Any node can answer for the whole system; it queries the other nodes
// that are registered in the store.
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
	"github.com/doorpond/doorpond/internal/ingress"
	"github.com/doorpond/doorpond/internal/quarantine"
	"github.com/doorpond/doorpond/internal/quota"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/statistics"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// Config configures the handler.
type Config struct {
	Board *blackboard.Board
	Node  topology.Node
	// Statistics returns this node's statistics of each route over the most recent
	// period of the given length.
	Statistics func(last time.Duration) []statistics.PolicyStatistics
	Overloaded func() bool
	// Budgets returns this node's most used retry budgets, ordered by CompareBudgets.
	Budgets func() []Budget
	// Quarantined returns the requests that are suspected or quarantined on this node. It
	// is optional.
	Quarantined func() []quarantine.Record
	// Release ends the quarantine of a request on all nodes. Its errors are *failure.Error.
	Release func(ctx context.Context, identity quarantine.Identity) error
	// StoreProgress returns the store revision up to which this node has applied all
	// changes, and when that was last confirmed. It is nil if the node does not follow a
	// store.
	StoreProgress func() (revision int64, confirmedAt time.Time)
	// Refusals returns the requests that this node refused, by tenant and kind. It is optional.
	Refusals func() []ingress.Refusal
	// Quota returns this node's state of the shared quota, and false if it has none. It is
	// optional.
	Quota  func() (quota.State, bool)
	Client *http.Client
}

// Node is the state of one node, as reported by itself.
type Node struct {
	Node topology.Node `json:"node"`
	// Entry is true while clients are directed to the node.
	Entry bool `json:"entry"`
	// Version is the version of the active configuration, or 0 if there is none.
	Version uint64 `json:"version"`
	// Tenants and TenantKeys count the tenants of that configuration and their API keys,
	// TenantConflicts the names and keys that are not used because they occur twice or are
	// invalid.
	Tenants         int `json:"tenants"`
	TenantKeys      int `json:"tenant_keys"`
	TenantConflicts int `json:"tenant_conflicts"`
	// StoreReachable reports whether the store answers; it last changed at StoreSince.
	StoreReachable bool      `json:"store_reachable"`
	StoreSince     time.Time `json:"store_since"`
	// StoreEra and StoreRevision identify the last store revision that the node has fully
	// applied. Restoring the store from a backup increments the era and may lower the
	// revision.
	StoreEra      int64 `json:"store_era"`
	StoreRevision int64 `json:"store_revision"`
	// ConfirmedAgoMilliseconds is the time since the revision was last confirmed, or -1 if
	// it never was.
	ConfirmedAgoMilliseconds int64 `json:"confirmed_ago_ms"`
	// Budgets are the node's most used retry budgets.
	Budgets []Budget `json:"budgets"`
	// Quarantined are the requests that are suspected or quarantined on the node.
	Quarantined []QuarantinedRequest `json:"quarantined"`
	// Refusals are the requests that the node refused since its start. Nodes of older versions
	// report none.
	Refusals []ingress.Refusal `json:"refusals"`
	// Quota is nil if the node does not limit tenants, and on nodes of older versions.
	Quota *quota.State `json:"quota,omitempty"`
}

// Route is a configured route and the main settings of its policy.
type Route struct {
	Name                  string  `json:"name"`
	Host                  string  `json:"host"`
	PathPrefix            string  `json:"path_prefix"`
	Rank                  int     `json:"rank"`
	Idempotent            bool    `json:"repeatable"`
	Attempts              int     `json:"attempts"`
	MinShardFraction      float64 `json:"least_share"`
	TopRecords            int     `json:"top_records"`
	TimeoutMilliseconds   int64   `json:"timeout_ms"`
	ObjectiveMilliseconds int64   `json:"objective_ms"`
	// Shards is the number of shards of a scatter-gather route. WeightedGroups are the
	// replica groups of any other route.
	Shards         int                     `json:"shards"`
	WeightedGroups []routing.WeightedGroup `json:"shares"`
	// Regions are the regions whose replicas may serve a request; empty means all.
	Regions []string `json:"regions"`
}

// System is the state of all nodes, and the routes and replicas known to the queried
// node.
type System struct {
	// Version is the highest configuration version that is active on any node.
	Version uint64 `json:"version"`
	Nodes   []Node `json:"nodes"`
	// Lagging lists the IDs of the nodes on which an older version is active.
	Lagging     []string                 `json:"lagging"`
	Unreachable []comparison.Unreachable `json:"unreachable"`
	Routes      []Route                  `json:"routes"`
	// Replicas is the number of serving replicas. Leaving are the replicas that are
	// leaving or missing.
	Replicas int                `json:"replicas"`
	Leaving  []topology.Replica `json:"leaving"`
	// Cold is the number of serving replicas that are limited to their cold rate.
	Cold int `json:"cold"`
	// Evacuated is the number of evacuated replicas by zone.
	Evacuated map[string]int `json:"evacuated"`
	// Quarantined are the requests that are suspected or quarantined on any node.
	Quarantined []QuarantinedRequest `json:"quarantined"`
	// Budgets are the sums of the budgets that the nodes report, by group.
	Budgets []Budget `json:"budgets"`
	// Tenants is the number of tenants in the queried node's configuration.
	Tenants int `json:"tenants"`
	// Refusals are the requests refused since each node's start, by tenant, kind and node, the
	// most frequent first.
	Refusals []NodeRefusal `json:"refusals"`
	// TenantsAtLimit are the tenants with a limit of whose requests a node refused any, first
	// those that are at their limit.
	TenantsAtLimit []NodeTenant `json:"tenants_at_limit"`
}

// URL paths of the API.
const (
	pathNode       = "/v1/node"
	pathSystem     = "/v1/system"
	pathStatistics = "/v1/statistics"
	pathCompare    = "/v1/compare"
	pathRelease    = "/v1/release"
)

const (
	// queryTimeout bounds the request to one node.
	queryTimeout = time.Second
	// queryConcurrency bounds the number of nodes queried concurrently.
	queryConcurrency = 16
)

type handler struct{ config Config }

// New returns the handler of the operators' API.
func New(config Config) http.Handler {
	if config.Quarantined == nil {
		config.Quarantined = func() []quarantine.Record { return nil }
	}
	if config.Refusals == nil {
		config.Refusals = func() []ingress.Refusal { return nil }
	}
	if config.Quota == nil {
		config.Quota = func() (quota.State, bool) { return quota.State{}, false }
	}
	h := &handler{config: config}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathNode, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.node()) })
	mux.HandleFunc("GET "+pathSystem, func(w http.ResponseWriter, r *http.Request) { writeJSON(w, h.system(r.Context())) })
	mux.HandleFunc("GET "+pathStatistics, h.statistics)
	mux.HandleFunc("GET "+pathCompare, h.compare)
	mux.HandleFunc("POST "+pathRelease, h.release)
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client disconnected
}

func (h *handler) node() Node {
	state := Node{
		Node: h.config.Node, Budgets: h.config.Budgets(), Quarantined: describeRequests(h.config.Quarantined()),
		Refusals: h.config.Refusals(),
	}
	state.Node.Overloaded = h.config.Overloaded()
	if nodes := h.config.Board.Nodes.Load(); nodes != nil {
		state.Entry = nodes.SelfIsEntry()
	}
	if table := h.config.Board.Routes.Load(); table != nil {
		state.Version = table.Version
		state.Tenants, state.TenantKeys, state.TenantConflicts = table.TenantCount(), table.KeyCount(), len(table.TenantConflicts())
	}
	if status := h.config.Board.Store.Load(); status != nil {
		state.StoreReachable, state.StoreSince = status.Reachable, status.Since
	}
	h.addStoreProgress(&state)
	if shared, exists := h.config.Quota(); exists {
		state.Quota = &shared
	}
	return state
}

// addStoreProgress sets the store revision that the node has applied, and its age.
func (h *handler) addStoreProgress(state *Node) {
	state.ConfirmedAgoMilliseconds = -1
	if h.config.StoreProgress == nil {
		return
	}
	revision, confirmedAt := h.config.StoreProgress()
	state.StoreEra, state.StoreRevision = store.EraOf(revision), store.SequenceOf(revision)
	if !confirmedAt.IsZero() {
		state.ConfirmedAgoMilliseconds = max(0, elapsed.Time().Sub(confirmedAt).Milliseconds())
	}
}

func (h *handler) system(ctx context.Context) System {
	system := System{Lagging: []string{}, Routes: []Route{}, Leaving: []topology.Replica{}, Evacuated: map[string]int{}}
	system.Nodes, system.Unreachable = gather(ctx, h, pathNode, h.node())
	for _, node := range system.Nodes {
		system.Version = max(system.Version, node.Version)
	}
	for _, node := range system.Nodes {
		if node.Version < system.Version {
			system.Lagging = append(system.Lagging, node.Node.ID)
		}
	}
	if table := h.config.Board.Routes.Load(); table != nil {
		for i := range table.Routes {
			system.Routes = append(system.Routes, describeRoute(&table.Routes[i]))
		}
	}
	h.countReplicas(&system)
	system.Budgets = mergeBudgets(system.Nodes)
	system.Quarantined = mergeRequests(system.Nodes)
	system.Tenants, system.Refusals = system.Nodes[0].Tenants, listRefusals(system.Nodes)
	system.TenantsAtLimit = listTenantsAtLimit(system.Nodes)
	return system
}

func (h *handler) countReplicas(system *System) {
	replicas := h.config.Board.Replicas.Load()
	if replicas == nil {
		return
	}
	for _, group := range replicas.Groups {
		for _, replica := range group {
			switch replica.State {
			case topology.ReplicaLeaving, topology.ReplicaVanished:
				system.Leaving = append(system.Leaving, replica)
			case topology.ReplicaEvacuated:
				system.Evacuated[replica.Place.Zone]++
			default:
				system.Replicas++
				if replica.ColdRate > 0 {
					system.Cold++
				}
			}
		}
	}
}

func describeRoute(route *routing.Route) Route {
	return Route{
		Name: route.Name, Host: route.Host, PathPrefix: route.PathPrefix, Rank: route.Rank, Idempotent: route.Idempotent,
		Attempts: route.Policy.Retry.Attempts, MinShardFraction: route.Policy.Completeness.Min, TopRecords: route.TopRecords,
		TimeoutMilliseconds: time.Duration(route.Policy.Wait.Timeout).Milliseconds(), ObjectiveMilliseconds: route.Objective.Milliseconds(),
		Shards: len(route.Shards), WeightedGroups: route.WeightedGroups, Regions: route.Regions,
	}
}

func (h *handler) statistics(w http.ResponseWriter, r *http.Request) {
	last, err := comparison.ParseLast(r.URL.Query())
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	writeJSON(w, h.config.Statistics(last))
}

func (h *handler) compare(w http.ResponseWriter, r *http.Request) {
	query, err := comparison.ParseQuery(r.URL.Query())
	if err != nil {
		failure.WriteProblem(w, err)
		return
	}
	path := pathStatistics + "?last=" + query.Last.String()
	collected, unreachable := gather(r.Context(), h, path, h.config.Statistics(query.Last))
	for _, name := range []string{query.A, query.B} {
		if !h.routeKnown(collected, name) {
			failure.WriteProblem(w, failure.New(failure.NotFound, "no such route: "+name))
			return
		}
	}
	writeJSON(w, comparison.NewClusterReport(query, collected, unreachable))
}

// routeKnown reports whether a route is configured or has statistics.
func (h *handler) routeKnown(collected [][]statistics.PolicyStatistics, name string) bool {
	if table := h.config.Board.Routes.Load(); table != nil {
		if slices.ContainsFunc(table.Routes, func(route routing.Route) bool { return route.Name == name }) {
			return true
		}
	}
	return slices.ContainsFunc(collected, func(entries []statistics.PolicyStatistics) bool {
		return slices.ContainsFunc(entries, func(entry statistics.PolicyStatistics) bool { return entry.Policy == name })
	})
}

// gather queries all other nodes. It returns own, followed by the answers of the other
// nodes, and the nodes that did not answer.
func gather[T any](ctx context.Context, h *handler, path string, own T) ([]T, []comparison.Unreachable) {
	var others []topology.Node
	if nodes := h.config.Board.Nodes.Load(); nodes != nil {
		for _, node := range nodes.Nodes {
			if node.ID != h.config.Node.ID {
				others = append(others, node)
			}
		}
	}
	answers, errs := make([]T, len(others)), make([]error, len(others))
	var group errgroup.Group
	group.SetLimit(queryConcurrency)
	for i, node := range others {
		group.Go(func() error {
			errs[i] = h.queryNode(ctx, node, path, &answers[i])
			return nil
		})
	}
	_ = group.Wait() // errors are collected in errs
	answered, unreachable := []T{own}, []comparison.Unreachable{}
	for i, node := range others {
		if errs[i] != nil {
			member := topology.Member{ID: node.ID, PeerAddress: node.PeerAddress, Place: node.Place}
			unreachable = append(unreachable, comparison.Unreachable{Member: member, Reason: errs[i].Error()})
			continue
		}
		answered = append(answered, answers[i])
	}
	return answered, unreachable
}

func (h *handler) queryNode(ctx context.Context, node topology.Node, path string, result any) error {
	address, err := netip.ParseAddrPort(node.StateAddress)
	if err != nil {
		return eris.Wrapf(err, "parse address of node %s", node.ID)
	}
	queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(queryCtx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return eris.Wrapf(err, "query node %s", node.ID)
	}
	response, err := h.config.Client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "query node %s", node.ID)
	}
	defer func() { _ = response.Body.Close() }() // the response was read
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("query node %s: unexpected status %d", node.ID, response.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(result), "decode response of node %s", node.ID)
}
