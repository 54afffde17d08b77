package scale

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/document"
	"github.com/doorpond/doorpond/internal/membership"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/topology"
)

// RealOptions describe a run over loopback connections.
type RealOptions struct {
	Daemons int
	// StartWindow is the time over which the daemons start.
	StartWindow time.Duration
	// Calm is waited for after the joining, until its news is spent.
	Calm time.Duration
	// Duration of the measured phase at rest.
	Duration time.Duration
}

// RealResult is what a run over loopback measured.
type RealResult struct {
	Daemons int `json:"daemons"`
	// Join is from the last start until each daemon knew all.
	Join time.Duration `json:"join"`
	// Rest is the traffic at rest: bytes on the wire without IP and TCP headers,
	// and the processor time of the whole process.
	Rest Phase `json:"rest"`
	// ConnectionsPerSecond are opened by a daemon at rest.
	ConnectionsPerSecond float64 `json:"connections_per_second"`
	// OpenConnections are open at a time, a daemon, both ends counted.
	OpenConnections float64 `json:"open_connections"`
	// Table is how long a table revision took to the last daemon.
	Table         time.Duration `json:"table"`
	HeapPerDaemon uint64        `json:"heap_per_daemon_bytes"`
	Elapsed       time.Duration `json:"elapsed"`
}

// wire counts what goes over the connections of all daemons.
type wire struct {
	bytes, accepted, open, exchanges atomic.Int64
}

type countingListener struct {
	net.Listener
	wire *wire
}

func (l countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.wire.accepted.Add(1)
	l.wire.open.Add(1)
	return &countingConnection{Conn: connection, wire: l.wire}, nil
}

type countingConnection struct {
	net.Conn
	wire   *wire
	closed atomic.Bool
}

func (c *countingConnection) Read(p []byte) (int, error) {
	read, err := c.Conn.Read(p)
	c.wire.bytes.Add(int64(read))
	return read, err
}

func (c *countingConnection) Write(p []byte) (int, error) {
	written, err := c.Conn.Write(p)
	c.wire.bytes.Add(int64(written))
	return written, err
}

func (c *countingConnection) Close() error {
	if !c.closed.Swap(true) {
		c.wire.open.Add(-1)
	}
	return c.Conn.Close()
}

// realDaemon is a daemon with real connections to its peers.
type realDaemon struct {
	address  string
	node     *membership.Node
	board    *blackboard.Board
	register *document.Register
	fetcher  *document.Fetcher
	client   *peer.Client
	server   *http.Server
	listener net.Listener
}

// realFleet is all of them.
type realFleet struct {
	wire    wire
	daemons []*realDaemon
}

func (f *realFleet) add(index int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	d := &realDaemon{
		address: listener.Addr().String(), board: &blackboard.Board{}, register: document.NewRegister(),
		client: peer.NewClient(peer.ClientOptions{}), listener: countingListener{listener, &f.wire},
	}
	seeds := f.seeds()
	d.node = membership.NewNode(membership.NodeOptions{
		Self:  topology.Member{ID: memberID(index, 1), PeerAddress: d.address, Place: place(index)},
		Seeds: func() []string { return seeds }, Transport: d.client, Board: d.board, RandomSeed: uint64(index),
	})
	d.fetcher = document.NewFetcher(document.FetcherOptions{
		Source: d.client, Register: d.register, Peers: func() []string { return seeds },
	})
	d.connect()
	handler := peer.NewServer(peer.ServerOptions{
		Exchange: d.node.Receive, Document: d.register.Current, State: func() peer.NodeState { return peer.NodeState{} },
	})
	d.server = &http.Server{Handler: f.counted(handler), Protocols: peer.ServerProtocols()}
	f.daemons = append(f.daemons, d)
	return nil
}

func (f *realFleet) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.wire.exchanges.Add(1)
		handler.ServeHTTP(w, r)
	})
}

func (f *realFleet) seeds() []string {
	var addresses []string
	for i := range min(seedCount, len(f.daemons)) {
		addresses = append(addresses, f.daemons[(len(f.daemons)*i)/seedCount].address)
	}
	return addresses
}

// connect passes documents between the membership and the register.
func (d *realDaemon) connect() {
	d.register.OnAccepted(func(accepted document.Document) {
		d.node.Announce(membership.Record{Kind: membership.RecordDocument, Key: string(accepted.Name), Version: accepted.Revision})
	})
	d.node.OnRecord(func(record membership.Record, from string) {
		d.fetcher.Announced(document.Name(record.Key), record.Version, from)
	})
}

func (d *realDaemon) run(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error {
		_ = d.server.Serve(d.listener) // ends by Close
		return nil
	})
	group.Go(func() error { return d.node.Run(ctx) })
	group.Go(func() error { return d.fetcher.Run(ctx) })
}

func (d *realDaemon) close() {
	_ = d.server.Close() // the run is over
	d.client.Close()
}

// RunReal runs the daemons in this process over loopback connections.
func RunReal(ctx context.Context, options RealOptions, progress func(string)) (RealResult, error) {
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &realFleet{}
	var group errgroup.Group
	result := RealResult{Daemons: options.Daemons}
	progress("start")
	for i := range options.Daemons {
		if err := f.add(i); err != nil {
			return result, err
		}
		f.daemons[i].run(ctx, &group)
		pause(ctx, options.StartWindow/time.Duration(options.Daemons))
	}
	err := f.measure(ctx, options, &result, progress)
	cancel()
	for _, d := range f.daemons {
		d.close()
	}
	_ = group.Wait() // only the end of ctx ends them
	result.Elapsed = time.Since(started)
	return result, err
}

func (f *realFleet) measure(ctx context.Context, options RealOptions, result *RealResult, progress func(string)) error {
	progress("join")
	begun := time.Now()
	if err := f.until(ctx, "know all others", f.allKnow(options.Daemons)); err != nil {
		return err
	}
	result.Join = time.Since(begun)
	pause(ctx, options.Calm)
	progress("rest")
	f.measureRest(ctx, options, result)
	result.HeapPerDaemon = heapBytes() / uint64(options.Daemons)
	progress("table")
	begun = time.Now()
	if _, err := f.daemons[0].register.Offer(document.Document{Name: document.Table, Revision: 1, Body: make([]byte, tableBytes)}); err != nil {
		return err
	}
	err := f.until(ctx, "have the table", f.allHaveTable)
	result.Table = time.Since(begun)
	return err
}

// tableBytes is about the size of a table of a few dozen policies.
const tableBytes = 16 << 10

func (f *realFleet) measureRest(ctx context.Context, options RealOptions, result *RealResult) {
	bytes, accepted, exchanges := f.wire.bytes.Load(), f.wire.accepted.Load(), f.wire.exchanges.Load()
	processor, begun := processorTime(), time.Now()
	pause(ctx, options.Duration)
	took := time.Since(begun)
	shares := took.Seconds() * float64(options.Daemons)
	result.Rest = Phase{
		Took: took, Completed: true,
		ExchangesPerSecond: float64(f.wire.exchanges.Load()-exchanges) / shares,
		// each byte is sent by one daemon and received by another
		BytesPerSecond: 2 * float64(f.wire.bytes.Load()-bytes) / shares,
		ProcessorShare: (processorTime() - processor).Seconds() / shares,
	}
	result.ConnectionsPerSecond = float64(f.wire.accepted.Load()-accepted) / shares
	result.OpenConnections = 2 * float64(f.wire.open.Load()) / float64(options.Daemons)
}

func (f *realFleet) allKnow(live int) func() bool {
	return func() bool {
		for _, d := range f.daemons {
			if members := d.board.Members.Load(); members == nil || len(members.Members) != live {
				return false
			}
		}
		return true
	}
}

func (f *realFleet) allHaveTable() bool {
	for _, d := range f.daemons {
		if _, found := d.register.Current(document.Table); !found {
			return false
		}
	}
	return true
}

func (f *realFleet) until(ctx context.Context, what string, holds func() bool) error {
	bounded, cancel := context.WithTimeout(ctx, longestPhase)
	defer cancel()
	for !holds() {
		if !pause(bounded, pollInterval) {
			return eris.Errorf("the daemons do not all %s", what)
		}
	}
	return nil
}

// pause waits, and tells whether ctx is still on.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
