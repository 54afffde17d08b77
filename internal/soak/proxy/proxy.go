// Package proxy is a loopback TCP proxy that misbehaves when it is told to. It
// stands between two processes and harms what passes, without either's help.
package proxy

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Mode is what a Proxy does with connections.
type Mode uint8

// The modes.
const (
	// Pass passes everything on.
	Pass Mode = iota
	// Delay passes each piece on after Config.Delay.
	Delay
	// Reset resets all connections, also new ones.
	Reset
	// HoldRequests and HoldReplies pass nothing on in one direction.
	HoldRequests
	HoldReplies
	// Silence takes connections and passes nothing on.
	Silence
)

var modeNames = [...]string{"pass", "delay", "reset", "hold_requests", "hold_replies", "silence"}

// String returns the name of a mode.
func (m Mode) String() string { return modeNames[m] }

// holds tells whether a mode passes nothing on in a direction.
func (m Mode) holds(up bool) bool {
	return m == Silence || (up && m == HoldRequests) || (!up && m == HoldReplies)
}

// Config is what a Proxy is made of.
type Config struct {
	Target netip.AddrPort
	// Delay is for how long mode Delay holds each piece.
	Delay time.Duration
}

// Proxy passes connections on to one target.
type Proxy struct {
	config   Config
	listener net.Listener

	mu     sync.Mutex
	mode   Mode
	change chan struct{} // closed when the mode changes
	open   map[*net.TCPConn]struct{}
	// deadened are those of open that pass nothing on any more.
	deadened map[*net.TCPConn]struct{}
	closed   bool
}

// New starts a proxy on a free port of the loopback.
func New(config Config) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for a proxy")
	}
	p := &Proxy{
		config: config, listener: listener,
		change: make(chan struct{}), open: make(map[*net.TCPConn]struct{}), deadened: make(map[*net.TCPConn]struct{}),
	}
	go p.accept()
	return p, nil
}

// Addr returns where the proxy listens.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Set changes the mode, also of the connections that are open.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.change)
	p.change = make(chan struct{})
	if mode == Reset {
		p.resetAll()
	}
}

// SilenceOpen lets the connections that are open fall silent until they end; new ones are as
// the mode says.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		p.deadened[conn] = struct{}{}
	}
}

// SetTarget changes where new connections are passed on to, as when an address is given to
// another process.
func (p *Proxy) SetTarget(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config.Target = target
}

func (p *Proxy) target() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config.Target
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // nothing can be done about a failure
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	close(p.change)
	p.change = make(chan struct{})
	p.resetAll()
}

// resetAll must be called with the mutex held.
func (p *Proxy) resetAll() {
	for conn := range p.open {
		reset(conn)
	}
	clear(p.open)
	clear(p.deadened)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // a close then resets
	_ = conn.Close()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *Proxy) serve(down *net.TCPConn) {
	up, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(p.target()))
	if err != nil {
		reset(down)
		return
	}
	if !p.track(down, up) {
		reset(down)
		reset(up)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(up, down, true) })
	both.Go(func() { p.copy(down, up, false) })
	both.Wait()
	p.forget(down, up)
	_ = down.Close()
	_ = up.Close()
}

// track returns false when connections are to be reset.
func (p *Proxy) track(conns ...*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Reset {
		return false
	}
	for _, conn := range conns {
		p.open[conn] = struct{}{}
	}
	return true
}

func (p *Proxy) forget(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.open, conn)
		delete(p.deadened, conn)
	}
}

// pieceBytes bounds what is passed on at once.
const pieceBytes = 16 << 10

// copy passes one direction on until either end is over. A reset is passed on
// as a reset, so that it does not look like a clean end.
func (p *Proxy) copy(to, from *net.TCPConn, up bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if err == nil && p.isDeadened(from) {
			continue
		}
		if !p.await(up) {
			reset(to)
			return
		}
		if n > 0 {
			if _, failure := to.Write(piece[:n]); failure != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

func (p *Proxy) isDeadened(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, found := p.deadened[conn]
	return found
}

// await waits until a piece may be passed on; it returns false once the proxy
// is closed.
func (p *Proxy) await(up bool) bool {
	for {
		p.mu.Lock()
		mode, change, closed := p.mode, p.change, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case mode == Delay:
			time.Sleep(p.config.Delay)
			return true
		case !mode.holds(up):
			return true
		}
		<-change
	}
}
