package membership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/topology"
)

// switchboard is a Transport between nodes of one process.
type switchboard struct {
	mutex sync.Mutex
	nodes map[string]*Node
}

var errUnreachable = errors.New("unreachable")

func (s *switchboard) Exchange(_ context.Context, address string, message Message) (Message, error) {
	s.mutex.Lock()
	node := s.nodes[address]
	s.mutex.Unlock()
	if node == nil {
		return Message{}, errUnreachable
	}
	return node.Receive(message), nil
}

func (s *switchboard) set(address string, node *Node) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nodes[address] = node
}

func boardShows(board *blackboard.Board, live int, state topology.MemberState, id string) bool {
	members := board.Members.Load().Members
	for _, member := range members {
		if member.ID == id && member.State != state {
			return false
		}
	}
	return len(members) == live
}

func TestNodesJoinTellAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const number = 5
		wires := &switchboard{nodes: map[string]*Node{}}
		boards := make([]*blackboard.Board, number)
		stops := make([]context.CancelFunc, number)
		ended := make([]chan error, number)
		var mutex sync.Mutex
		heard := map[string]int{}
		for i := range number {
			boards[i] = &blackboard.Board{}
			id := fmt.Sprintf("node-%d", i)
			node := NewNode(NodeOptions{Self: topology.Member{ID: id, PeerAddress: address(i)}, Transport: wires, Board: boards[i],
				Seeds: func() []string { return []string{address(0)} }, RandomSeed: uint64(i), Registerer: prometheus.NewRegistry()})
			node.OnRecord(func(record Record, from string) {
				node.Announce(record) // as if its document was fetched
				mutex.Lock()
				defer mutex.Unlock()
				if from != "" && record.Version == 9 {
					heard[id]++
				}
			})
			wires.set(address(i), node)
			ctx, stop := context.WithCancel(t.Context())
			stops[i], ended[i] = stop, make(chan error, 1)
			go func() { ended[i] <- node.Run(ctx) }()
		}
		time.Sleep(15 * time.Second)
		for i := range number {
			if !boardShows(boards[i], number, topology.MemberAlive, "") {
				t.Errorf("node %d sees %+v", i, boards[i].Members.Load().Members)
			}
		}
		wires.nodes[address(1)].Announce(Record{Kind: RecordDocument, Key: "table", Version: 9})
		time.Sleep(3 * time.Second)
		mutex.Lock()
		if len(heard) != number-1 || heard["node-0"] != 1 {
			t.Errorf("heard %v", heard)
		}
		mutex.Unlock()

		leaving := wires.nodes[address(4)]
		if err := leaving.Leave(t.Context()); err != nil {
			t.Error(err)
		}
		if !boardShows(boards[0], number, topology.MemberLeaving, "node-4") {
			t.Errorf("leaving is not known: %+v", boards[0].Members.Load().Members)
		}
		stops[4]()
		if err := <-ended[4]; err != nil {
			t.Error(err)
		}
		wires.set(address(4), nil)
		time.Sleep(3 * time.Second)
		for i := range number - 1 {
			if !boardShows(boards[i], number-1, topology.MemberAlive, "") {
				t.Errorf("node %d sees %+v after the leave", i, boards[i].Members.Load().Members)
			}
			stops[i]()
			<-ended[i]
		}
	})
}

func TestNodePublishesAStormOfChangesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members = 50
		board := &blackboard.Board{}
		node := NewNode(NodeOptions{Self: topology.Member{ID: "self", PeerAddress: "self:1"}, Board: board})
		time.Sleep(time.Second)
		publications, last := 0, board.Members.Load()
		tell := func(i int) {
			from := topology.Member{ID: fmt.Sprint("node-", i), PeerAddress: address(i)}
			node.Receive(Message{Kind: MessageGossip, From: from})
			if now := board.Members.Load(); now != last {
				publications, last = publications+1, now
			}
		}
		for i := range members {
			tell(i)
		}
		if publications != 1 {
			t.Errorf("%d publications of %d changes at one moment, want one", publications, members)
		}
		time.Sleep(publishInterval)
		tell(members)
		if known := len(last.Members); known != members+2 {
			t.Errorf("%d members are published, want %d", known, members+2)
		}
	})
}
