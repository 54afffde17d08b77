package elapsed

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// moduleRoot is the directory of the module, from that of this package.
const moduleRoot = "../.."

// untimedDirectories hold tools, stand-ins and tests, which are not paused under callers' requests.
var untimedDirectories = []string{
	"cmd", "experiments", "internal/elapsed", "internal/endtoend", "internal/lab", "internal/proofs", "internal/simulation", "internal/soak",
	"internal/standin", "platform/standin", "internal/certificates/certificatestest",
}

// wallClockTimeouts are the functions that bound something by context.WithTimeout or
// context.WithDeadline, which count pauses of the process, with the reason why they may.
var wallClockTimeouts = map[string]string{
	"internal/admin/status.go awaitRevision":         "the operator has set the time",
	"internal/edge/resolve.go resolve":               "nodes that were not checked in time are included",
	"internal/edge/shutdown.go deregister":           "the entry's lease ends in any case",
	"internal/follower/initial_sync.go waitForPeers": "the watch that follows brings the peers",
	"internal/follower/peers.go backOff":             "a delay between calls of the store",
	"internal/follower/peers.go readPeerSnapshot":    "the store is listed next",
	"internal/inspect/inspect.go queryNode":          "an operator's view of one moment",
	"internal/liveness/liveness.go Unreachable":      "nodes that were not checked in time are included",
	"internal/liveness/liveness.go check":            "one late check counts as one of two failures",
	"internal/membership/node.go completeLeave":      "leaving the membership is best effort",
	"internal/membership/node.go exchange":           "a member is suspected after several failures, and the core notices pauses",
	"internal/operator/complete.go completeNames":    "completion of names in a shell",
	"internal/registry/registry.go waitReady":        "the node is registered as not ready then",
	"internal/replica/probe.go Run":                  "probes are repeated",
	"internal/replica/tracker.go Refresh":            "the list is read again",
	"internal/upstream/pool.go tryConnect":           "only a refused connection counts, and a lost replica is tested again",
	"platform/call.go read":                          "a call that fails across a pause is repeated at once",
	"platform/call.go write":                         "the lease's renewal and conditions decide, and the call is repeated",
	"platform/store.go watchOnce":                    "the watch is opened again",
}

// TestWallClockTimeoutsAreListed guards against new waits for something from outside whose limit a
// pause of the process uses up, before what has arrived meanwhile is read.
func TestWallClockTimeoutsAreListed(t *testing.T) {
	var found []string
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			return err
		}
		name = filepath.ToSlash(name)
		if entry.IsDir() {
			if slices.Contains(untimedDirectories, name) || strings.HasPrefix(entry.Name(), ".") && name != "." {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		functions, err := functionsWithTimeout(path)
		for _, function := range functions {
			found = append(found, name+" "+function)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	listed := make([]string, 0, len(wallClockTimeouts))
	for name := range wallClockTimeouts {
		listed = append(listed, name)
	}
	slices.Sort(listed)
	slices.Sort(found)
	if diff := cmp.Diff(listed, slices.Compact(found)); diff != "" {
		t.Errorf("functions with timeouts of the wall clock (-listed +found); use Meter.WithTimeout or list the reason:\n%s", diff)
	}
}

// functionsWithTimeout returns the names of the functions of a file that call
// context.WithTimeout or context.WithDeadline.
func functionsWithTimeout(path string) ([]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, fmt.Errorf("parse %s: %w", path, err)
	}
	var names []string
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		ast.Inspect(function, func(node ast.Node) bool {
			if isContextTimeout(node) {
				names = append(names, function.Name.Name)
			}
			return true
		})
	}
	return names, nil
}

// isContextTimeout reports whether a node calls context.WithTimeout or context.WithDeadline.
func isContextTimeout(node ast.Node) bool {
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return false
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	pkg, ok := selector.X.(*ast.Ident)
	name := selector.Sel.Name
	return ok && pkg.Name == "context" && (strings.HasPrefix(name, "WithTimeout") || strings.HasPrefix(name, "WithDeadline"))
}
