// Package proxy is a loopback TCP proxy that injects network faults.
package proxy

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Mode is the fault that a Proxy injects.
type Mode uint8

const (
	// Pass forwards everything.
	Pass Mode = iota
	// Delay forwards each chunk after Config.Delay.
	Delay
	// Reset resets open and new connections.
	Reset
	// HoldRequests and HoldReplies hold back one direction.
	HoldRequests
	HoldReplies
	// Silence accepts connections and holds back both directions.
	Silence
)

var modeNames = [...]string{"pass", "delay", "reset", "hold_requests", "hold_replies", "silence"}

func (m Mode) String() string { return modeNames[m] }

// blocks reports whether the mode holds back a direction.
func (m Mode) blocks(up bool) bool {
	return m == Silence || (up && m == HoldRequests) || (!up && m == HoldReplies)
}

// Config configures a Proxy.
type Config struct {
	Target netip.AddrPort
	// Delay is the delay of each chunk in mode Delay.
	Delay time.Duration
}

// Proxy forwards connections to one target.
type Proxy struct {
	config   Config
	listener net.Listener

	mu     sync.Mutex
	mode   Mode
	change chan struct{} // closed when the mode changes
	open   map[*net.TCPConn]struct{}
	// silenced are the open connections that no longer forward anything.
	silenced map[*net.TCPConn]struct{}
	closed   bool
}

// New starts a proxy on a free loopback port.
func New(config Config) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "start proxy listener")
	}
	p := &Proxy{
		config: config, listener: listener,
		change: make(chan struct{}), open: make(map[*net.TCPConn]struct{}), silenced: make(map[*net.TCPConn]struct{}),
	}
	go p.accept()
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Set changes the mode of open and new connections.
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

// SilenceOpen drops all further data on the open connections. New connections
// follow the mode.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		p.silenced[conn] = struct{}{}
	}
}

// SetTarget changes the target of new connections.
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

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // there is no recovery from a failure
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	close(p.change)
	p.change = make(chan struct{})
	p.resetAll()
}

// resetAll resets the open connections. The caller holds p.mu.
func (p *Proxy) resetAll() {
	for conn := range p.open {
		reset(conn)
	}
	clear(p.open)
	clear(p.silenced)
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
	p.untrack(down, up)
	_ = down.Close()
	_ = up.Close()
}

// track registers connections; it returns false if they must be reset.
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

func (p *Proxy) untrack(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.open, conn)
		delete(p.silenced, conn)
	}
}

const bufferSize = 16 << 10

// copy forwards one direction until either side closes. It forwards a reset as a
// reset, so that it does not look like a clean close.
func (p *Proxy) copy(to, from *net.TCPConn, up bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if err == nil && p.isSilenced(from) {
			continue
		}
		if !p.awaitPass(up) {
			reset(to)
			return
		}
		if n > 0 {
			if _, failure := to.Write(buffer[:n]); failure != nil {
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

func (p *Proxy) isSilenced(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, found := p.silenced[conn]
	return found
}

// awaitPass waits until data may be forwarded; it returns false once the proxy is
// closed.
func (p *Proxy) awaitPass(up bool) bool {
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
		case !mode.blocks(up):
			return true
		}
		<-change
	}
}
