package operator

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/topology"
)

func systemCommand() *cli.Command {
	return &cli.Command{
		Name:  "system",
		Usage: "show the nodes on the users' platform, the routes in force, and which replicas leave",
		Description: `Asks one node, at the state address of its settings, which asks all others. A node
lags when an older configuration is in force on it. Routes are assignments of
callers, by host and path, to rows of waits and limits; compare takes their names.

   doorpond --admin 10.1.0.39:7740 system
   doorpond --admin 10.1.0.39:7740 compare search search-next --last 10m
   doorpond --admin 10.1.0.39:7740 --output json system | jq '.lagging'`,
		Action: showAction((*AdminClient).System, printSystem),
	}
}

func printSystem(w io.Writer, system *inspect.System) {
	fmt.Fprintf(w, "configuration %d; %d nodes answer, %d lag, %d do not answer; %d replicas serve, %d leave\n\n",
		system.Version, len(system.Nodes), len(system.Lagging), len(system.Unreachable), system.Replicas, len(system.Leaving))
	printNodes(w, system.Nodes)
	fmt.Fprintln(w)
	printRoutes(w, system.Routes)
	if len(system.Leaving) > 0 {
		fmt.Fprintln(w)
		printLeaving(w, system.Leaving)
	}
	if len(system.Budgets) > 0 {
		fmt.Fprintln(w)
		printBudgets(w, system.Budgets)
	}
	if len(system.Quarantined) > 0 {
		fmt.Fprintln(w)
		printQuarantined(w, system.Quarantined)
	}
	printTenants(w, system)
	if system.Cold > 0 {
		fmt.Fprintf(w, "cold: %d of the replicas that serve take no more than their rate\n", system.Cold)
	}
	for _, zone := range slices.Sorted(maps.Keys(system.Evacuated)) {
		fmt.Fprintf(w, "evacuated: %s, %d replicas\n", sanitizeLine(zone), system.Evacuated[zone])
	}
	for _, lagging := range system.Lagging {
		fmt.Fprintln(w, "lags:", sanitizeLine(lagging))
	}
	for _, unreachable := range system.Unreachable {
		fmt.Fprintln(w, "does not answer:", sanitizeLine(unreachable.Member.ID), sanitizeLine(unreachable.Reason))
	}
}

func printNodes(w io.Writer, nodes []inspect.Node) {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b inspect.Node) int {
		return cmp.Or(cmp.Compare(a.Node.Place.Region, b.Node.Place.Region), cmp.Compare(a.Node.Place.Zone, b.Node.Place.Zone),
			cmp.Compare(a.Node.ID, b.Node.ID))
	})
	table := newColumnWriter(w, "REGION", "ZONE", "NODE", "ADDRESS", "ROLE", "LOADED", "CONFIGURATION", "STORE", "ERA", "REVISION", "CONFIRMED")
	for _, node := range sorted {
		role := "standby"
		if node.Entry {
			role = "entry"
		}
		table.row(node.Node.Place.Region, node.Node.Place.Zone, node.Node.ID, node.Node.Address, role, node.Node.Overloaded,
			node.Version, formatStoreReachability(node), node.StoreEra, node.StoreRevision, formatConfirmed(node))
	}
	table.flush()
}

func formatStoreReachability(node inspect.Node) string {
	if node.StoreReachable {
		return "reachable"
	}
	return "away since " + node.StoreSince.Format("15:04:05")
}

// formatConfirmed formats the time since a node last confirmed its view of the
// store.
func formatConfirmed(node inspect.Node) string {
	if node.ConfirmedAgoMilliseconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", node.ConfirmedAgoMilliseconds)
}

func printRoutes(w io.Writer, routes []inspect.Route) {
	table := newColumnWriter(w, "ROUTE", "HOST", "PATH", "RANK", "REPEATABLE", "ATTEMPTS", "TIMEOUT", "OBJECTIVE", "REGIONS", "TO")
	for _, route := range routes {
		table.row(route.Name, route.Host, route.PathPrefix, route.Rank, route.Idempotent, route.Attempts,
			fmt.Sprintf("%d ms", route.TimeoutMilliseconds), fmt.Sprintf("%d ms", route.ObjectiveMilliseconds), formatRegions(route.Regions), formatTarget(&route))
	}
	table.flush()
}

func formatRegions(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	return strings.Join(regions, ",")
}

func formatTarget(route *inspect.Route) string {
	if route.Shards > 0 {
		return fmt.Sprintf("%d shards, at least %.2f, top %d", route.Shards, route.MinShardFraction, route.TopRecords)
	}
	parts := make([]string, 0, len(route.WeightedGroups))
	for _, share := range route.WeightedGroups {
		parts = append(parts, formatShare(share, len(route.WeightedGroups)))
	}
	return strings.Join(parts, ", ")
}

func formatShare(share routing.WeightedGroup, total int) string {
	if total == 1 {
		return share.Group
	}
	return fmt.Sprintf("%s=%g", share.Group, share.Weight)
}

// maxBudgetLines limits the number of budgets listed in text output.
const maxBudgetLines = 10

// printBudgets lists the usage of the retry budgets, most denials first. Counts
// are totals since each node started.
func printBudgets(w io.Writer, budgets []inspect.Budget) {
	table := newColumnWriter(w, "RETRY BUDGET", "LEFT", "OF", "FIRST ATTEMPTS", "RETRIES", "HEDGES", "DENIED RETRIES", "DENIED HEDGES")
	for _, budget := range budgets[:min(len(budgets), maxBudgetLines)] {
		table.row(budget.Group, fmt.Sprintf("%.1f", budget.Tokens), fmt.Sprintf("%.1f", budget.Burst), budget.FirstAttempts,
			budget.Retries, budget.Hedges, budget.DeniedRetries, budget.DeniedHedges)
	}
	table.flush()
}

func printLeaving(w io.Writer, replicas []topology.Replica) {
	table := newColumnWriter(w, "LEAVING", "GROUP", "ZONE", "ADDRESS")
	for _, replica := range replicas {
		state := "draining"
		if replica.State == topology.ReplicaVanished {
			state = "vanished"
		}
		table.row(state, replica.Group, replica.Place.Zone, replica.Address)
	}
	table.flush()
}
