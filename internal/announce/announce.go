// Package announce lets nodes tell each other how far the store has come. One
// node that asks the store saves the others from asking: what it learned
// spreads in datagrams, each node passing it on to a few others. A datagram
// may be lost, late or repeated; whoever hears nothing asks the store itself. Notices of
// other kinds travel the same way.
package announce

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// The constants of spreading.
const (
	// fanout is the number of nodes that are told by each that has news.
	fanout = 8
	// maxDatagramBytes bounds a datagram that is read.
	maxDatagramBytes = 512
	// waiting is the number of announcements that may wait to be taken.
	waiting = 64
)

// Announcement says that the store was at a revision some time ago.
type Announcement struct {
	// Revision is the store's (store.RevisionIn).
	Revision int64
	// Age is the time since the store said so, in milliseconds.
	AgeMilliseconds int64
}

// datagram is an announcement as it is sent. A node of a version without eras reads the number
// alone, as it does of the store; one that it sends is of era 0.
type datagram struct {
	Number          int64 `msgpack:"r"`
	AgeMilliseconds int64 `msgpack:"a"`
	Era             int64 `msgpack:"e,omitempty"`
}

// errUnusable refuses a datagram that no node sends.
var errUnusable = eris.New("the announcement cannot be of a node")

// encode returns an announcement as it is sent.
func encode(news Announcement) ([]byte, error) {
	return msgpack.Marshal(&datagram{
		Number: store.SequenceOf(news.Revision), Era: store.EraOf(news.Revision), AgeMilliseconds: news.AgeMilliseconds,
	})
}

// decode reads an announcement as it was sent.
func decode(content []byte) (Announcement, error) {
	var read datagram
	if err := msgpack.Unmarshal(content, &read); err != nil {
		return Announcement{}, eris.Wrap(err, "decode an announcement")
	}
	if read.AgeMilliseconds < 0 || read.Number < 0 || read.Number > store.MaxSequence || read.Era < 0 || read.Era > store.MaxEra {
		return Announcement{}, errUnusable
	}
	return Announcement{Revision: store.MakeRevision(read.Era, read.Number), AgeMilliseconds: read.AgeMilliseconds}, nil
}

// Age returns the time since the store said so.
func (a Announcement) Age() time.Duration { return time.Duration(a.AgeMilliseconds) * time.Millisecond }

// Options are what an Announcer needs.
type Options struct {
	// Address is IP:port of this node's datagrams.
	Address string
	// Notice takes what other nodes spread with Spread; nil means that it is dropped. The
	// bytes are its own. It must not block.
	Notice func(content []byte)
	// Nodes returns the nodes known now; this one is left out by its address.
	Nodes  func() *topology.Nodes
	Logger *slog.Logger
}

// Announcer sends and receives announcements; Run receives.
type Announcer struct {
	options  Options
	socket   *net.UDPConn
	received chan Announcement
}

// New opens the socket.
func New(options Options) (*Announcer, error) {
	address, err := net.ResolveUDPAddr("udp4", options.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "read the address %s", options.Address)
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for announcements on %s", options.Address)
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Announcer{options: options, socket: socket, received: make(chan Announcement, waiting)}, nil
}

// Address returns IP:port of this node's datagrams.
func (a *Announcer) Address() string { return a.socket.LocalAddr().String() }

// Received gives the announcements of other nodes.
func (a *Announcer) Received() <-chan Announcement { return a.received }

// Run receives until ctx ends, and returns nil then.
func (a *Announcer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = a.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, _, err := a.socket.ReadFromUDP(buffer)
		switch {
		case ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			a.options.Logger.Debug("an announcement was not read", "error", err.Error())
			continue
		}
		if size > 1 && buffer[0] == noticeMark {
			a.notice(buffer[1:size])
			continue
		}
		heard, err := decode(buffer[:size])
		if err != nil {
			a.options.Logger.Debug("an announcement was not read", "error", err.Error())
			continue
		}
		select {
		case a.received <- heard:
		default: // the follower is busy; more will come
		}
	}
}

// noticeMark begins a datagram with a notice. No msgpack begins with it, so that it is not
// taken for an announcement.
const noticeMark = 0xc1

// notice hands a notice over.
func (a *Announcer) notice(content []byte) {
	if a.options.Notice != nil {
		a.options.Notice(bytes.Clone(content))
	}
}

// Spread sends a notice to some other nodes, chosen by chance. One that is longer than a
// datagram may be is refused.
func (a *Announcer) Spread(content []byte) error {
	if len(content) >= maxDatagramBytes {
		return eris.Errorf("a notice of %d bytes is too long", len(content))
	}
	a.send(append([]byte{noticeMark}, content...))
	return nil
}

// Send tells some other nodes, chosen by chance.
func (a *Announcer) Send(news Announcement) {
	encoded, err := encode(news)
	if err != nil {
		return // three numbers always encode
	}
	a.send(encoded)
}

// send sends a datagram to some other nodes, chosen by chance.
func (a *Announcer) send(content []byte) {
	nodes := a.options.Nodes()
	if nodes == nil {
		return
	}
	for _, address := range a.targets(nodes) {
		_, _ = a.socket.WriteToUDP(content, address) // may be lost as well on its way
	}
}

func (a *Announcer) targets(nodes *topology.Nodes) []*net.UDPAddr {
	own := a.Address()
	var targets []*net.UDPAddr
	for _, i := range rand.Perm(len(nodes.Nodes)) {
		node := nodes.Nodes[i]
		if node.PeerAddress == "" || node.PeerAddress == own {
			continue
		}
		if address, err := net.ResolveUDPAddr("udp4", node.PeerAddress); err == nil {
			targets = append(targets, address)
		}
		if len(targets) == fanout {
			break
		}
	}
	return targets
}

// Close closes the socket of an Announcer that was not run.
func (a *Announcer) Close() { _ = a.socket.Close() }
