package announce

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// network is a number of announcers that know each other.
type network struct {
	mutex      sync.Mutex
	nodes      topology.Nodes
	announcers []*Announcer
	notices    chan string
}

func (n *network) notice(content []byte) { n.notices <- string(content) }

func newNetwork(t *testing.T, size int) *network {
	t.Helper()
	made := &network{notices: make(chan string, 8)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for range size {
		one, err := New(Options{Address: "127.0.0.1:0", Nodes: made.known, Notice: made.notice})
		if err != nil {
			t.Fatal(err)
		}
		made.mutex.Lock()
		made.announcers = append(made.announcers, one)
		made.nodes.Nodes = append(made.nodes.Nodes, topology.Node{ID: one.Address(), PeerAddress: one.Address()})
		made.mutex.Unlock()
		ended := make(chan error, 1)
		go func() { ended <- one.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
	return made
}

func (n *network) known() *topology.Nodes {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	copied := n.nodes
	return &copied
}

// TestAnAnnouncementNamesTheEra: a node of a version without eras reads the store's own number, and
// what it sends is of era 0.
func TestAnAnnouncementNamesTheEra(t *testing.T) {
	news := Announcement{Revision: store.MakeRevision(3, 42), AgeMilliseconds: 7}
	sent, err := encode(news)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decode(sent); got != news || err != nil {
		t.Errorf("%+v, error %v", got, err)
	}
	type withoutEra struct {
		Revision        int64 `msgpack:"r"`
		AgeMilliseconds int64 `msgpack:"a"`
	}
	var before withoutEra
	if err := msgpack.Unmarshal(sent, &before); err != nil || before.Revision != 42 || before.AgeMilliseconds != 7 {
		t.Errorf("read as %+v, error %v", before, err)
	}
	sent, err = msgpack.Marshal(&withoutEra{Revision: 90})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decode(sent); got.Revision != 90 || err != nil {
		t.Errorf("%+v, error %v", got, err)
	}
}

// FuzzDecode: no datagram makes a node panic, or brings a revision that no store has.
func FuzzDecode(f *testing.F) {
	for _, news := range []Announcement{{}, {Revision: 42, AgeMilliseconds: 7}, {Revision: store.MakeRevision(store.MaxEra, store.MaxSequence)}} {
		sent, err := encode(news)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(sent)
	}
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, content []byte) {
		if read, err := decode(content); err == nil && (read.Revision < 0 || read.AgeMilliseconds < 0) {
			t.Errorf("%x is %+v", content, read)
		}
	})
}

func TestAnAnnouncementReachesTheOthers(t *testing.T) {
	made := newNetwork(t, 4)
	made.announcers[0].Send(Announcement{Revision: 42, AgeMilliseconds: 7})
	for i, one := range made.announcers[1:] {
		select {
		case got := <-one.Received():
			if got.Revision != 42 || got.Age() != 7*time.Millisecond {
				t.Errorf("node %d heard %+v", i+1, got)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("node %d heard nothing", i+1)
		}
	}
	select {
	case got := <-made.announcers[0].Received():
		t.Errorf("a node told itself %+v", got)
	case <-time.After(20 * time.Millisecond):
	}
}

// TestANoticeReachesTheOthers: and is no announcement.
func TestANoticeReachesTheOthers(t *testing.T) {
	made := newNetwork(t, 2)
	if err := made.announcers[0].Spread([]byte("notice")); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-made.notices:
		if got != "notice" {
			t.Errorf("heard %q", got)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("heard nothing")
	}
	if waiting := len(made.announcers[1].Received()); waiting != 0 {
		t.Errorf("%d announcements", waiting)
	}
	if err := made.announcers[0].Spread(make([]byte, maxDatagramBytes)); err == nil {
		t.Error("a notice that is too long is sent")
	}
}

func TestNoMoreThanAFewAreTold(t *testing.T) {
	made := newNetwork(t, 3)
	for range 50 {
		made.nodes.Nodes = append(made.nodes.Nodes, topology.Node{PeerAddress: "127.0.0.1:9"})
	}
	if got := len(made.announcers[0].targets(made.known())); got != fanout {
		t.Errorf("%d nodes are told, want %d", got, fanout)
	}
}

func TestForeignDatagramsAreIgnored(t *testing.T) {
	made := newNetwork(t, 2)
	sender, err := net.Dial("udp4", made.announcers[1].Address())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	for _, datagram := range [][]byte{{}, []byte("GET / HTTP/1.1\r\n\r\n"), {0xc1}, make([]byte, 2*maxDatagramBytes)} {
		if _, err := sender.Write(datagram); err != nil {
			t.Fatal(err)
		}
	}
	made.announcers[0].Send(Announcement{Revision: 1})
	select {
	case got := <-made.announcers[1].Received():
		if got.Revision != 1 {
			t.Errorf("heard %+v", got)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("heard nothing")
	}
}

// TestAFullQueueDoesNotBlock: nobody takes the announcements.
func TestAFullQueueDoesNotBlock(t *testing.T) {
	made := newNetwork(t, 2)
	for revision := range int64(3 * waiting) {
		made.announcers[0].Send(Announcement{Revision: revision})
	}
	deadline := time.Now().Add(10 * time.Second)
	for len(made.announcers[1].received) < waiting/2 {
		if time.Now().After(deadline) {
			t.Fatalf("%d announcements wait", len(made.announcers[1].received))
		}
		time.Sleep(time.Millisecond)
	}
}

func TestABadAddressIsRefused(t *testing.T) {
	if _, err := New(Options{Address: "nowhere"}); err == nil {
		t.Error("no error")
	}
}
