// Package bench measures the path of a query against hollow back ends that
// run in another process, so that the processor time of this process is the
// daemon's: a sub-request beside its floor (a bare net/http exchange), a query
// to many shards at rising rates, HTTP/1.1 beside HTTP/2 without TLS under
// hedging, and the time that a daemon adds to a query of one shard.
package bench

import (
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/query"
	"github.com/doorpond/doorpond/internal/replica"
	"github.com/doorpond/doorpond/internal/standin/platform"
	"github.com/doorpond/doorpond/internal/topology"
)

// hollowSnapshot is the only snapshot of the hollow corpus.
const hollowSnapshot = 1

// Environment is a daemon's query path in this process, with the hollow back
// ends of a platform that runs elsewhere.
type Environment struct {
	Board   *blackboard.Board
	Pool    *replica.Pool
	Service *query.Service
	Shards  int
	// addresses has the replicas of each shard.
	addresses [][]string
	registry  gatherer
}

// NewEnvironment makes the query path for the first shards of the platform.
func NewEnvironment(description platform.Description, shards int, protocol replica.Protocol, row policy.Row) (*Environment, error) {
	e := &Environment{Board: &blackboard.Board{}, Shards: shards, addresses: make([][]string, shards), registry: newGatherer()}
	groups := make(map[string][]topology.Replica)
	for _, backend := range description.Backends {
		number, isHollow := hollowNumber(backend.Group)
		if !isHollow || number >= shards {
			continue
		}
		listed := topology.Replica{
			Address: backend.Address, Incarnation: backend.Incarnation, Group: backend.Group, Place: backend.Place, Slots: hollowSlots,
		}
		groups[backend.Group] = append(groups[backend.Group], listed)
		e.addresses[number] = append(e.addresses[number], listed.Address)
	}
	if len(groups) != shards {
		return nil, eris.Errorf("the platform has %d hollow shards, %d are needed", len(groups), shards)
	}
	e.publish(groups, row)
	e.Pool = replica.NewPool(replica.PoolOptions{Board: e.Board, Protocol: protocol, Registerer: e.registry})
	e.Service = query.NewService(query.Options{Board: e.Board, Pool: e.Pool})
	return e, nil
}

// hollowSlots is the number of slots that hollow replicas state.
const hollowSlots = 1000

// hollowNumber is the shard in the name of a hollow group.
func hollowNumber(group string) (number int, isHollow bool) {
	text, isHollow := strings.CutPrefix(group, platform.HollowName+"-")
	number, err := strconv.Atoi(text)
	return number, isHollow && err == nil
}

func (e *Environment) publish(groups map[string][]topology.Replica, row policy.Row) {
	index := catalogue.Index{Name: platform.HollowName}
	for number := range e.Shards {
		index.Groups = append(index.Groups, platform.HollowName+"-"+strconv.Itoa(number))
	}
	snapshot := catalogue.Snapshot{ID: hollowSnapshot, Indexes: []catalogue.Index{index}}
	corpus := catalogue.Corpus{Name: platform.HollowName, Snapshots: []catalogue.Snapshot{snapshot}}
	e.Board.Catalogue.Publish(&catalogue.Catalogue{Revision: 1, Corpora: []catalogue.Corpus{corpus}})
	serving := blackboard.PhaseServing
	e.Board.Phase.Publish(&serving)
	e.Board.Replicas.Publish(&topology.Replicas{Groups: groups})
	e.Board.PolicyTable.Publish(policy.NewIndex(&policy.Table{
		Revision: 1, Policies: []policy.Row{row},
		Assignments: []policy.Assignment{{Group: policy.DefaultGroup, Shares: []policy.Share{{Policy: row.Name, Weight: 1}}}},
	}))
}

// Close ends the connections.
func (e *Environment) Close() { e.Pool.Close() }

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
