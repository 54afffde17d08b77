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

// localTransport is a Transport between nodes of one process.
type localTransport struct {
	mutex sync.Mutex
	nodes map[string]*Node
}

var errUnreachable = errors.New("unreachable")

func (l *localTransport) Exchange(_ context.Context, address string, message Message) (Message, error) {
	l.mutex.Lock()
	node := l.nodes[address]
	l.mutex.Unlock()
	if node == nil {
		return Message{}, errUnreachable
	}
	return node.Receive(message), nil
}

func (l *localTransport) set(address string, node *Node) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes[address] = node
}

// boardHas reports whether a board shows a number of live members, and a member in a
// state if it is among them.
func boardHas(board *blackboard.Board, live int, state topology.MemberState, id string) bool {
	members := board.Members.Load().Members
	for _, member := range members {
		if member.ID == id && member.State != state {
			return false
		}
	}
	return len(members) == live
}

func TestNodesJoinAnnounceAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const number = 5
		transport := &localTransport{nodes: map[string]*Node{}}
		boards := make([]*blackboard.Board, number)
		stops := make([]context.CancelFunc, number)
		done := make([]chan error, number)
		var mutex sync.Mutex
		received := map[string]int{}
		for i := range number {
			boards[i] = &blackboard.Board{}
			id := fmt.Sprintf("node-%d", i)
			node := NewNode(NodeOptions{Self: topology.Member{ID: id, PeerAddress: address(i)}, Transport: transport, Board: boards[i],
				Seeds: func() []string { return []string{address(0)} }, RandomSeed: uint64(i), Registerer: prometheus.NewRegistry()})
			node.OnRecord(func(record Record, from string) {
				node.Announce(record) // as if its document had been fetched
				mutex.Lock()
				defer mutex.Unlock()
				if from != "" && record.Version == 9 {
					received[id]++
				}
			})
			transport.set(address(i), node)
			ctx, stop := context.WithCancel(t.Context())
			stops[i], done[i] = stop, make(chan error, 1)
			go func() { done[i] <- node.Run(ctx) }()
		}
		time.Sleep(15 * time.Second)
		for i := range number {
			if !boardHas(boards[i], number, topology.MemberAlive, "") {
				t.Errorf("node %d sees %+v", i, boards[i].Members.Load().Members)
			}
		}
		transport.nodes[address(1)].Announce(Record{Kind: RecordDocument, Key: "table", Version: 9})
		time.Sleep(3 * time.Second)
		mutex.Lock()
		if len(received) != number-1 || received["node-0"] != 1 {
			t.Errorf("received %v", received)
		}
		mutex.Unlock()

		leaving := transport.nodes[address(4)]
		if err := leaving.Leave(t.Context()); err != nil {
			t.Error(err)
		}
		if !boardHas(boards[0], number, topology.MemberLeaving, "node-4") {
			t.Errorf("leaving state not published: %+v", boards[0].Members.Load().Members)
		}
		stops[4]()
		if err := <-done[4]; err != nil {
			t.Error(err)
		}
		transport.set(address(4), nil)
		time.Sleep(3 * time.Second)
		for i := range number - 1 {
			if !boardHas(boards[i], number-1, topology.MemberAlive, "") {
				t.Errorf("node %d sees %+v after the leave", i, boards[i].Members.Load().Members)
			}
			stops[i]()
			<-done[i]
		}
	})
}

func TestNodeBatchesPublications(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members = 50
		board := &blackboard.Board{}
		node := NewNode(NodeOptions{Self: topology.Member{ID: "self", PeerAddress: "self:1"}, Board: board})
		time.Sleep(time.Second)
		publications, last := 0, board.Members.Load()
		gossip := func(i int) {
			from := topology.Member{ID: fmt.Sprint("node-", i), PeerAddress: address(i)}
			node.Receive(Message{Kind: MessageGossip, From: from})
			if now := board.Members.Load(); now != last {
				publications, last = publications+1, now
			}
		}
		for i := range members {
			gossip(i)
		}
		if publications != 1 {
			t.Errorf("%d publications of %d simultaneous changes, want one", publications, members)
		}
		time.Sleep(publishInterval)
		gossip(members)
		if known := len(last.Members); known != members+2 {
			t.Errorf("%d members published, want %d", known, members+2)
		}
	})
}
