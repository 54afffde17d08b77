package operator

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/admin"
	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/membership"
	"github.com/doorpond/doorpond/internal/peer"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show every daemon, the table in force on it, and who lags",
		Description: `Asks one daemon, which asks all others. A daemon lags when an older table is in
force on it; replicas that are leaving, cold or ejected are named below.

   doorpond status
   doorpond --output json status | jq '.lagging'`,
		Action: showAction((*AdminClient).Status, printStatus),
	}
}

func printStatus(w io.Writer, status *admin.Status) {
	fmt.Fprintf(w, "table revision %d; %d daemons answer, %d lag, %d do not answer\n",
		status.Revision, len(status.Nodes), len(status.Lagging), len(status.Unreachable))
	if status.StoreUnreachableSince != nil {
		fmt.Fprintln(w, "the store has been out of reach since", status.StoreUnreachableSince.Format(time.RFC3339))
	}
	fmt.Fprintln(w)
	nodes := slices.Clone(status.Nodes)
	slices.SortStableFunc(nodes, compareByPlace)
	table := newColumnWriter(w, "REGION", "ZONE", "DAEMON", "ADDRESS", "MEMBER", "PHASE", "TABLE", "CATALOGUE", "STORE", "LEAVING", "COLD", "EJECTED")
	for _, node := range nodes {
		table.row(node.Member.Place.Region, node.Member.Place.Zone, node.Member.ID, node.Member.PeerAddress,
			membership.StateName(node.Member.State), phaseName(node.Phase), node.TableRevision, node.CatalogueRevision,
			formatStore(node.Store), node.ReplicasLeaving, node.ReplicasCold, node.ReplicasEjected)
	}
	table.flush()
	printReplicas(w, status)
	if len(status.Lagging)+len(status.Unreachable) > 0 {
		fmt.Fprintln(w)
	}
	printLagging(w, status.Lagging, status.Unreachable)
}

// printReplicas lists the replicas that do not receive their full share of
// requests.
func printReplicas(w io.Writer, status *admin.Status) {
	if len(status.Replicas) == 0 {
		return
	}
	fmt.Fprintln(w)
	table := newColumnWriter(w, "REPLICA", "GROUP", "REGION", "ZONE", "STATE", "SEEN BY")
	for _, replica := range status.Replicas {
		table.row(replica.Address, replica.Group, replica.Place.Region, replica.Place.Zone, replica.Reason,
			fmt.Sprintf("%d of %d", replica.ReportedBy, len(status.Nodes)))
	}
	table.flush()
}

func compareByPlace(a, b peer.NodeState) int {
	return cmp.Or(
		strings.Compare(a.Member.Place.Region, b.Member.Place.Region),
		strings.Compare(a.Member.Place.Zone, b.Member.Place.Zone),
		strings.Compare(a.Member.ID, b.Member.ID),
	)
}

func phaseName(phase blackboard.Phase) string {
	switch phase {
	case blackboard.PhaseStarting:
		return "starting"
	case blackboard.PhaseServing:
		return "serving"
	case blackboard.PhaseDraining:
		return "draining"
	case blackboard.PhaseClosing:
		return "closing"
	case blackboard.PhaseStopped:
		return "stopped"
	default:
		return "unknown"
	}
}

func formatStore(store blackboard.StoreStatus) string {
	switch {
	case store.Regressed:
		return "regressed"
	case store.Since.IsZero():
		return "unknown"
	case store.Reachable:
		return "reachable"
	default:
		return "out since " + store.Since.Format(time.RFC3339)
	}
}
