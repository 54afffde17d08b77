// Package announce exchanges the latest known store revision between nodes by
// UDP, so that not every node has to poll the store. Each node forwards an
// announcement to a few random peers. Delivery is unreliable and unordered; a
// node that receives nothing polls the store itself. Opaque notices, and direct
// datagrams to single nodes, are sent over the same socket.
package announce

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

const (
	// fanout is the number of peers that a node sends each datagram to.
	fanout = 8
	// maxDatagramBytes is the maximum size of a received announcement or notice.
	maxDatagramBytes = 512
	// MaxDirectBytes is the maximum size of a direct datagram. It fits into an Ethernet frame.
	MaxDirectBytes = 1400
	// receiveQueueSize is the capacity of the channel of received announcements.
	receiveQueueSize = 64
)

// Announcement reports the revision of the store at a moment in the past.
type Announcement struct {
	// Revision combines the store's era and revision number (store.MakeRevision).
	Revision int64
	// AgeMilliseconds is the time since the store reported the revision.
	AgeMilliseconds int64
}

// datagram is the wire format of an Announcement. Versions without eras read and write only the
// number, which implies era 0.
type datagram struct {
	Number          int64 `msgpack:"r"`
	AgeMilliseconds int64 `msgpack:"a"`
	Era             int64 `msgpack:"e,omitempty"`
}

// errOutOfRange is returned for a datagram with a negative or too large field.
var errOutOfRange = eris.New("announcement has a field out of range")

func encode(announcement Announcement) ([]byte, error) {
	return msgpack.Marshal(&datagram{
		Number: store.SequenceOf(announcement.Revision), Era: store.EraOf(announcement.Revision), AgeMilliseconds: announcement.AgeMilliseconds,
	})
}

func decode(content []byte) (Announcement, error) {
	var decoded datagram
	if err := msgpack.Unmarshal(content, &decoded); err != nil {
		return Announcement{}, eris.Wrap(err, "decode announcement")
	}
	if decoded.AgeMilliseconds < 0 || decoded.Number < 0 || decoded.Number > store.MaxSequence || decoded.Era < 0 || decoded.Era > store.MaxEra {
		return Announcement{}, errOutOfRange
	}
	return Announcement{Revision: store.MakeRevision(decoded.Era, decoded.Number), AgeMilliseconds: decoded.AgeMilliseconds}, nil
}

// Age returns the time since the store reported the revision.
func (a Announcement) Age() time.Duration { return time.Duration(a.AgeMilliseconds) * time.Millisecond }

// Options configure an Announcer.
type Options struct {
	// Address is the IP:port to listen on.
	Address string
	// OnNotice is called with each notice received from another node. It owns the slice and
	// must not block. If nil, notices are dropped.
	OnNotice func(content []byte)
	// OnDirect is called with each direct datagram received from another node. It owns the
	// slice and must not block. If nil, direct datagrams are dropped.
	OnDirect func(from netip.AddrPort, content []byte)
	// Nodes returns the currently known nodes. The node with the Announcer's own address is
	// skipped when sending.
	Nodes  func() *topology.Nodes
	Logger *slog.Logger
}

// Announcer sends announcements and notices, and receives them while Run is running.
type Announcer struct {
	options  Options
	socket   *net.UDPConn
	received chan Announcement
}

// New returns an Announcer listening on options.Address.
func New(options Options) (*Announcer, error) {
	address, err := net.ResolveUDPAddr("udp4", options.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "resolve address %q", options.Address)
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for announcements on %s", options.Address)
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Announcer{options: options, socket: socket, received: make(chan Announcement, receiveQueueSize)}, nil
}

// Address returns the IP:port that the Announcer listens on.
func (a *Announcer) Address() string { return a.socket.LocalAddr().String() }

// Received returns the channel of announcements from other nodes.
func (a *Announcer) Received() <-chan Announcement { return a.received }

// Run receives datagrams until ctx is done, then closes the socket and returns nil.
func (a *Announcer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = a.socket.Close() })
	defer stop()
	buffer := make([]byte, 1+MaxDirectBytes+1) // one byte more shows that a datagram is too long
	for {
		size, from, err := a.socket.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			a.options.Logger.Debug("receive announcement failed", "error", err.Error())
			continue
		}
		if size > 1 && buffer[0] == directPrefix {
			a.deliverDirect(from, buffer[1:size])
			continue
		}
		size = min(size, maxDatagramBytes)
		if size > 1 && buffer[0] == noticePrefix {
			a.deliverNotice(buffer[1:size])
			continue
		}
		announcement, err := decode(buffer[:size])
		if err != nil {
			a.options.Logger.Debug("dropped invalid announcement", "error", err.Error())
			continue
		}
		select {
		case a.received <- announcement:
		default: // queue full: drop it, later announcements supersede it
		}
	}
}

// noticePrefix is the first byte of a notice datagram. It is never used in msgpack, so a
// notice cannot be mistaken for an announcement.
const noticePrefix = 0xc1

// directPrefix is the first byte of a direct datagram. In msgpack it begins an extension of
// undefined type, which is no announcement.
const directPrefix = 0xc7

func (a *Announcer) deliverDirect(from netip.AddrPort, content []byte) {
	if a.options.OnDirect != nil && len(content) <= MaxDirectBytes {
		a.options.OnDirect(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), bytes.Clone(content))
	}
}

// SendDirect sends a datagram to one node. Delivery is best effort; an error means that the
// content does not fit into a datagram.
func (a *Announcer) SendDirect(to netip.AddrPort, content []byte) error {
	if len(content) > MaxDirectBytes {
		return eris.Errorf("%d bytes do not fit into a direct datagram", len(content))
	}
	_, _ = a.socket.WriteToUDPAddrPort(append([]byte{directPrefix}, content...), to)
	return nil
}

func (a *Announcer) deliverNotice(content []byte) {
	if a.options.OnNotice != nil {
		a.options.OnNotice(bytes.Clone(content))
	}
}

// SendNotice sends a notice to some random nodes. It returns an error if the notice does not
// fit into a datagram.
func (a *Announcer) SendNotice(content []byte) error {
	if len(content) >= maxDatagramBytes {
		return eris.Errorf("notice of %d bytes does not fit into a datagram", len(content))
	}
	a.send(append([]byte{noticePrefix}, content...))
	return nil
}

// Send sends an announcement to some random nodes.
func (a *Announcer) Send(announcement Announcement) {
	encoded, err := encode(announcement)
	if err != nil {
		return // cannot happen: a struct of integers always encodes
	}
	a.send(encoded)
}

func (a *Announcer) send(content []byte) {
	nodes := a.options.Nodes()
	if nodes == nil {
		return
	}
	for _, address := range a.targets(nodes) {
		_, _ = a.socket.WriteToUDP(content, address) // delivery is best effort
	}
}

// targets returns the addresses of up to fanout random nodes other than this one.
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

// Close closes the socket. It is only needed if Run was not called.
func (a *Announcer) Close() { _ = a.socket.Close() }
