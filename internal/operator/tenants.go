package operator

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/internal/quota"
)

// printTenants prints what is known of tenants: their number, those at their limit, the age of the
// reports that the limits depend on, and the refused requests.
func printTenants(w io.Writer, system *inspect.System) {
	printTenantCounts(w, system)
	if len(system.TenantsAtLimit) > 0 {
		fmt.Fprintln(w)
		printTenantsAtLimit(w, system.TenantsAtLimit)
	}
	if slices.ContainsFunc(system.Nodes, func(n inspect.Node) bool { return n.Quota != nil && n.Tenants > 0 }) {
		fmt.Fprintln(w)
		printQuotaReports(w, system.Nodes)
	}
	if len(system.Refusals) > 0 {
		fmt.Fprintln(w)
		printRefusals(w, system.Refusals)
	}
}

// printTenantCounts prints one line for all nodes whose configuration has the same tenants, keys and
// conflicts.
func printTenantCounts(w io.Writer, system *inspect.System) {
	type counts struct{ tenants, keys, conflicts int }
	nodes, order := make(map[counts][]string), []counts(nil)
	any := false
	for i := range system.Nodes {
		node := &system.Nodes[i]
		c := counts{node.Tenants, node.TenantKeys, node.TenantConflicts}
		if nodes[c] == nil {
			order = append(order, c)
		}
		nodes[c] = append(nodes[c], node.Node.ID)
		any = any || c != counts{}
	}
	if !any {
		return
	}
	fmt.Fprintln(w)
	table := newColumnWriter(w, "TENANTS", "KEYS", "CONFLICTS", "NODES")
	for _, c := range order {
		names := fmt.Sprintf("all %d", len(system.Nodes))
		if len(order) > 1 {
			names = strings.Join(nodes[c], ",")
		}
		table.row(c.tenants, c.keys, c.conflicts, names)
	}
	table.flush()
}

// maxTenantLines limits the number of tenants at their limit listed in text output.
const maxTenantLines = 20

// printTenantsAtLimit lists tenants with a limit of whose requests nodes refused any. Counts are
// totals since each node started to keep the account.
func printTenantsAtLimit(w io.Writer, tenants []inspect.NodeTenant) {
	table := newColumnWriter(w, "LIMITED", "AT LIMIT", "NODE", "RATE", "BURST", "BALANCE", "RESERVED", "DEMAND", "ADMITTED", "REFUSED", "BECAUSE")
	for i := range tenants[:min(len(tenants), maxTenantLines)] {
		tenant := &tenants[i]
		table.row(tenant.Tenant, tenant.AtLimit, tenant.Node, fmt.Sprintf("%g/s", tenant.Rate), fmt.Sprintf("%g", tenant.Burst),
			fmt.Sprintf("%.1f", tenant.Balance), fmt.Sprintf("%.1f", tenant.Reserved), fmt.Sprintf("%.1f/s", tenant.Demand),
			tenant.Admitted, tenant.Refused, formatReasons(tenant.Reasons))
	}
	table.flush()
}

// formatReasons formats the number of refusals by reason.
func formatReasons(reasons map[quota.Reason]uint64) string {
	parts := make([]string, 0, len(reasons))
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		if reasons[reason] > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", reason, reasons[reason]))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ",")
}

// printQuotaReports lists for each node how old the oldest report is that its accounts depend on. A
// node that was never heard counts as the oldest.
func printQuotaReports(w io.Writer, nodes []inspect.Node) {
	table := newColumnWriter(w, "QUOTA ON", "ACCOUNTS", "OLDEST REPORT", "OF", "SILENT")
	sorted := slices.SortedFunc(slices.Values(nodes), func(a, b inspect.Node) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	for i := range sorted {
		node := &sorted[i]
		if node.Quota == nil {
			table.row(node.Node.ID, "-", "-", "-", "-")
			continue
		}
		age, of := "-", "-"
		if oldest := inspect.OldestReport(node.Quota.Peers); oldest != nil {
			age, of = formatAge(oldest.AgeMilliseconds), cmp.Or(oldest.Node, "(unknown)")
		}
		table.row(node.Node.ID, node.Quota.Accounts, age, of, cmp.Or(strings.Join(silentPeers(node.Quota.Peers), ","), "-"))
	}
	table.flush()
}

// silentPeers returns the nodes whose share of the limits is reserved.
func silentPeers(peers []quota.PeerState) []string {
	var silent []string
	for _, peer := range peers {
		if peer.Silent {
			silent = append(silent, cmp.Or(peer.Node, "(unknown)"))
		}
	}
	return silent
}

// formatAge formats the age of a report; a negative one means that there was none.
func formatAge(milliseconds int64) string {
	if milliseconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", milliseconds)
}

// maxRefusalLines limits the number of refusals listed in text output.
const maxRefusalLines = 20

// printRefusals lists the requests that nodes refused since their start.
func printRefusals(w io.Writer, refusals []inspect.NodeRefusal) {
	table := newColumnWriter(w, "REFUSED", "TENANT", "REASON", "NODE", "LAST")
	for _, refusal := range refusals[:min(len(refusals), maxRefusalLines)] {
		last := (time.Duration(refusal.LastAgoMilliseconds) * time.Millisecond).Round(100 * time.Millisecond)
		table.row(refusal.Count, cmp.Or(refusal.Tenant, "(none)"), refusal.Kind, refusal.Node, last.String()+" ago")
	}
	table.flush()
}
