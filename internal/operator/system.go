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
		Action: showing((*API).System, printSystem),
	}
}

func printSystem(to io.Writer, system *inspect.System) {
	fmt.Fprintf(to, "configuration %d; %d nodes answer, %d lag, %d do not answer; %d replicas serve, %d leave\n\n",
		system.Version, len(system.Nodes), len(system.Lagging), len(system.Unreachable), system.Replicas, len(system.Leaving))
	printNodes(to, system.Nodes)
	fmt.Fprintln(to)
	printRoutes(to, system.Routes)
	if len(system.Leaving) > 0 {
		fmt.Fprintln(to)
		printLeaving(to, system.Leaving)
	}
	if len(system.Budgets) > 0 {
		fmt.Fprintln(to)
		printBudgets(to, system.Budgets)
	}
	if len(system.Quarantined) > 0 {
		fmt.Fprintln(to)
		printQuarantined(to, system.Quarantined)
	}
	if system.Cold > 0 {
		fmt.Fprintf(to, "cold: %d of the replicas that serve take no more than their rate\n", system.Cold)
	}
	for _, zone := range slices.Sorted(maps.Keys(system.Evacuated)) {
		fmt.Fprintf(to, "evacuated: %s, %d replicas\n", oneLine(zone), system.Evacuated[zone])
	}
	for _, lagging := range system.Lagging {
		fmt.Fprintln(to, "lags:", oneLine(lagging))
	}
	for _, gone := range system.Unreachable {
		fmt.Fprintln(to, "does not answer:", oneLine(gone.Member.ID), oneLine(gone.Reason))
	}
}

func printNodes(to io.Writer, nodes []inspect.Node) {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b inspect.Node) int {
		return cmp.Or(cmp.Compare(a.Node.Place.Region, b.Node.Place.Region), cmp.Compare(a.Node.Place.Zone, b.Node.Place.Zone),
			cmp.Compare(a.Node.ID, b.Node.ID))
	})
	lines := newGrid(to, "REGION", "ZONE", "NODE", "ADDRESS", "ROLE", "LOADED", "CONFIGURATION", "STORE", "ERA", "REVISION", "CONFIRMED")
	for _, one := range sorted {
		role := "standby"
		if one.Entry {
			role = "entry"
		}
		lines.row(one.Node.Place.Region, one.Node.Place.Zone, one.Node.ID, one.Node.Address, role, one.Node.Overloaded,
			one.Version, reachableText(one), one.StoreEra, one.StoreRevision, confirmedText(one))
	}
	lines.end()
}

func reachableText(node inspect.Node) string {
	if node.StoreReachable {
		return "reachable"
	}
	return "away since " + node.StoreSince.Format("15:04:05")
}

// confirmedText says how old what a node knows of the store may be.
func confirmedText(node inspect.Node) string {
	if node.ConfirmedAgo < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", node.ConfirmedAgo)
}

func printRoutes(to io.Writer, routes []inspect.Route) {
	lines := newGrid(to, "ROUTE", "HOST", "PATH", "RANK", "REPEATABLE", "ATTEMPTS", "TIMEOUT", "OBJECTIVE", "REGIONS", "TO")
	for _, one := range routes {
		lines.row(one.Name, one.Host, one.PathPrefix, one.Rank, one.Repeatable, one.Attempts,
			fmt.Sprintf("%d ms", one.Timeout), fmt.Sprintf("%d ms", one.Objective), regionsText(one.Regions), targetText(&one))
	}
	lines.end()
}

func regionsText(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	return strings.Join(regions, ",")
}

func targetText(route *inspect.Route) string {
	if route.Shards > 0 {
		return fmt.Sprintf("%d shards, at least %.2f, top %d", route.Shards, route.LeastShare, route.TopRecords)
	}
	parts := make([]string, 0, len(route.Shares))
	for _, share := range route.Shares {
		parts = append(parts, splitText(share, len(route.Shares)))
	}
	return strings.Join(parts, ", ")
}

func splitText(share routing.WeightedGroup, of int) string {
	if of == 1 {
		return share.Group
	}
	return fmt.Sprintf("%s=%g", share.Group, share.Weight)
}

// mostBudgetLines bounds the budgets that are printed; the JSON output has all that the
// nodes list.
const mostBudgetLines = 10

// printBudgets shows how far the retry budgets are used, those first of which most was
// denied. The counts run from each node's start.
func printBudgets(to io.Writer, budgets []inspect.Budget) {
	lines := newGrid(to, "RETRY BUDGET", "LEFT", "OF", "FIRST ATTEMPTS", "RETRIES", "HEDGES", "DENIED RETRIES", "DENIED HEDGES")
	for _, one := range budgets[:min(len(budgets), mostBudgetLines)] {
		lines.row(one.Group, fmt.Sprintf("%.1f", one.Tokens), fmt.Sprintf("%.1f", one.Burst), one.FirstAttempts,
			one.Retries, one.Hedges, one.DeniedRetries, one.DeniedHedges)
	}
	lines.end()
}

func printLeaving(to io.Writer, replicas []topology.Replica) {
	lines := newGrid(to, "LEAVING", "GROUP", "ZONE", "ADDRESS")
	for _, one := range replicas {
		state := "draining"
		if one.State == topology.ReplicaVanished {
			state = "vanished"
		}
		lines.row(state, one.Group, one.Place.Zone, one.Address)
	}
	lines.end()
}
