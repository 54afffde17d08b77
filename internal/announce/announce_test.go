package announce

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// network is a set of running announcers that know each other's addresses.
type network struct {
	mutex      sync.Mutex
	nodes      topology.Nodes
	announcers []*Announcer
	notices    chan string
	directs    chan direct
}

// direct is a received direct datagram.
type direct struct{ from, to, content string }

func (n *network) onNotice(content []byte) { n.notices <- string(content) }

func newNetwork(t *testing.T, size int) *network {
	t.Helper()
	n := &network{notices: make(chan string, 8), directs: make(chan direct, 8)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for range size {
		var announcer *Announcer
		var err error
		announcer, err = New(Options{
			Address: "127.0.0.1:0", Nodes: n.currentNodes, OnNotice: n.onNotice,
			OnDirect: func(from netip.AddrPort, content []byte) {
				n.directs <- direct{from.String(), announcer.Address(), string(content)}
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		n.mutex.Lock()
		n.announcers = append(n.announcers, announcer)
		n.nodes.Nodes = append(n.nodes.Nodes, topology.Node{ID: announcer.Address(), PeerAddress: announcer.Address()})
		n.mutex.Unlock()
		done := make(chan error, 1)
		go func() { done <- announcer.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
	return n
}

func (n *network) currentNodes() *topology.Nodes {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	copied := n.nodes
	return &copied
}

// TestEncodingWithEra checks the round trip and the compatibility with versions without eras:
// they read the number alone, and what they send decodes as era 0.
func TestEncodingWithEra(t *testing.T) {
	announcement := Announcement{Revision: store.MakeRevision(3, 42), AgeMilliseconds: 7}
	sent, err := encode(announcement)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decode(sent); got != announcement || err != nil {
		t.Errorf("decoded %+v, error %v", got, err)
	}
	type withoutEra struct {
		Revision        int64 `msgpack:"r"`
		AgeMilliseconds int64 `msgpack:"a"`
	}
	var old withoutEra
	if err := msgpack.Unmarshal(sent, &old); err != nil || old.Revision != 42 || old.AgeMilliseconds != 7 {
		t.Errorf("version without eras decoded %+v, error %v", old, err)
	}
	sent, err = msgpack.Marshal(&withoutEra{Revision: 90})
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decode(sent); got.Revision != 90 || err != nil {
		t.Errorf("decoded %+v, error %v", got, err)
	}
}

// FuzzDecode checks that no datagram causes a panic or decodes to a negative revision or age.
func FuzzDecode(f *testing.F) {
	for _, announcement := range []Announcement{{}, {Revision: 42, AgeMilliseconds: 7}, {Revision: store.MakeRevision(store.MaxEra, store.MaxSequence)}} {
		sent, err := encode(announcement)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(sent)
	}
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, content []byte) {
		if decoded, err := decode(content); err == nil && (decoded.Revision < 0 || decoded.AgeMilliseconds < 0) {
			t.Errorf("%x decoded to %+v", content, decoded)
		}
	})
}

func TestSendReachesOtherNodes(t *testing.T) {
	n := newNetwork(t, 4)
	n.announcers[0].Send(Announcement{Revision: 42, AgeMilliseconds: 7})
	for i, announcer := range n.announcers[1:] {
		select {
		case got := <-announcer.Received():
			if got.Revision != 42 || got.Age() != 7*time.Millisecond {
				t.Errorf("node %d received %+v", i+1, got)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("node %d received nothing", i+1)
		}
	}
	select {
	case got := <-n.announcers[0].Received():
		t.Errorf("node received its own announcement %+v", got)
	case <-time.After(20 * time.Millisecond):
	}
}

// TestSendNoticeReachesOtherNodes checks delivery, and that a notice is not taken for an announcement.
func TestSendNoticeReachesOtherNodes(t *testing.T) {
	n := newNetwork(t, 2)
	if err := n.announcers[0].SendNotice([]byte("notice")); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-n.notices:
		if got != "notice" {
			t.Errorf("received %q", got)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("received nothing")
	}
	if queued := len(n.announcers[1].Received()); queued != 0 {
		t.Errorf("notice was received as %d announcements", queued)
	}
	if err := n.announcers[0].SendNotice(make([]byte, maxDatagramBytes)); err == nil {
		t.Error("no error for an oversized notice")
	}
}

// Guards against direct datagrams that are lost, cut off or taken for announcements or notices, and
// against senders that the receiver cannot answer.
func TestSendDirectReachesOneNode(t *testing.T) {
	n := newNetwork(t, 3)
	content := strings.Repeat("x", MaxDirectBytes)
	to := netip.MustParseAddrPort(n.announcers[1].Address())
	if err := n.announcers[0].SendDirect(to, []byte(content+"x")); err == nil {
		t.Error("no error for an oversized datagram")
	}
	if err := n.announcers[0].SendDirect(to, []byte(content)); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-n.directs:
		if want := (direct{n.announcers[0].Address(), to.String(), content}); got != want {
			t.Errorf("%s received %d bytes from %s", got.to, len(got.content), got.from)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("received nothing")
	}
	if len(n.directs) != 0 || len(n.notices) != 0 || len(n.announcers[1].Received()) != 0 {
		t.Error("a direct datagram was received as something else")
	}
}

func TestTargetsLimitedToFanout(t *testing.T) {
	n := newNetwork(t, 3)
	for range 50 {
		n.nodes.Nodes = append(n.nodes.Nodes, topology.Node{PeerAddress: "127.0.0.1:9"})
	}
	if got := len(n.announcers[0].targets(n.currentNodes())); got != fanout {
		t.Errorf("%d targets, want %d", got, fanout)
	}
}

func TestRunIgnoresInvalidDatagrams(t *testing.T) {
	n := newNetwork(t, 2)
	sender, err := net.Dial("udp4", n.announcers[1].Address())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	for _, datagram := range [][]byte{{}, []byte("GET / HTTP/1.1\r\n\r\n"), {0xc1}, make([]byte, 2*maxDatagramBytes)} {
		if _, err := sender.Write(datagram); err != nil {
			t.Fatal(err)
		}
	}
	n.announcers[0].Send(Announcement{Revision: 1})
	select {
	case got := <-n.announcers[1].Received():
		if got.Revision != 1 {
			t.Errorf("received %+v", got)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("received nothing")
	}
}

// TestRunDropsWhenQueueFull checks that Run does not block when announcements are not consumed.
func TestRunDropsWhenQueueFull(t *testing.T) {
	n := newNetwork(t, 2)
	for revision := range int64(3 * receiveQueueSize) {
		n.announcers[0].Send(Announcement{Revision: revision})
	}
	deadline := time.Now().Add(10 * time.Second)
	for len(n.announcers[1].received) < receiveQueueSize/2 {
		if time.Now().After(deadline) {
			t.Fatalf("%d announcements queued", len(n.announcers[1].received))
		}
		time.Sleep(time.Millisecond)
	}
}

func TestNewRejectsInvalidAddress(t *testing.T) {
	if _, err := New(Options{Address: "nowhere"}); err == nil {
		t.Error("no error")
	}
}
