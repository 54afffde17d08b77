package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// dialTimeout limits the time to open a connection.
const dialTimeout = time.Second

// unacknowledgedTimeout is the time after which the kernel closes a connection whose
// peer acknowledges no data, such as a host that has lost power.
const unacknowledgedTimeout = 5 * time.Second

// tcpUserTimeout is the Linux option TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

// spareIdleTimeout is how long idle connections other than the most recently used one
// are kept.
const spareIdleTimeout = 2 * time.Second

// ErrConnectionLimit is returned when this node has reached its share of a replica's
// connection limit. Nothing was sent.
var ErrConnectionLimit = errors.New("share of the replica's connection limit exhausted")

// DialFunc opens a TCP connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a TCP connection that fails if its peer stops acknowledging data.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return DialContext(ctx, "tcp", address)
}

// DialContext is like Dial, with the signature that net/http expects.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout,
			int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// Pool manages the connections to one replica. It is safe for concurrent use.
type Pool struct {
	address string
	dial    DialFunc

	mutex sync.Mutex
	limit int
	// idleTimeout limits how long a connection may be idle; 0 means no limit.
	idleTimeout time.Duration
	open        int
	idle        []*connection // most recently used last
	closed      bool
	// responded is true once the replica has sent a response. Until then, and until
	// confirmUntil, new connections are confirmed before use.
	responded    bool
	confirmUntil time.Time
}

// NewPool returns a Pool that opens at most limit connections. If dial is nil, Dial is
// used.
func NewPool(address string, limit int, dial DialFunc) *Pool {
	if dial == nil {
		dial = Dial
	}
	return &Pool{address: address, dial: dial, limit: limit}
}

// SetLimit changes the maximum number of open connections.
func (p *Pool) SetLimit(limit int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.limit = limit
}

// SetIdleTimeout limits how long a connection may be idle; 0 means no limit other than
// the replica's.
func (p *Pool) SetIdleTimeout(timeout time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idleTimeout = timeout
}

// OpenConnections returns the number of connections that are open or being opened.
func (p *Pool) OpenConnections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// Close closes the idle connections immediately and the others after their responses.
func (p *Pool) Close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.open -= len(idle)
	p.mutex.Unlock()
	closeAll(idle)
}

// CloseExpired closes the idle connections whose timeout has passed.
func (p *Pool) CloseExpired(now time.Time) {
	p.mutex.Lock()
	expired := p.takeExpired(now)
	p.mutex.Unlock()
	closeAll(expired)
}

// takeExpired removes the idle connections whose timeout has passed. All but the most
// recently used one have a short timeout: they remain from a burst and count against
// the replica's connection limit, even for some time after this host has lost power.
// The caller must hold the mutex.
func (p *Pool) takeExpired(now time.Time) []*connection {
	var expired []*connection
	kept := p.idle[:0]
	for i, connection := range p.idle {
		idleFor := now.Sub(connection.idleSince)
		spare := i < len(p.idle)-1 && idleFor >= spareIdleTimeout
		isExpired := spare || (p.idleTimeout > 0 && idleFor >= p.idleTimeout) || !now.Before(connection.expiresAt)
		if isExpired {
			expired = append(expired, connection)
			continue
		}
		kept = append(kept, connection)
	}
	p.idle = kept
	p.open -= len(expired)
	return expired
}

func closeAll(connections []*connection) {
	for _, connection := range connections {
		_ = connection.Close() // no request is in flight
	}
}

// acquire returns a usable connection for a request with the given ID. It opens a new one
// if there is none.
func (p *Pool) acquire(ctx context.Context, id string) (*connection, error) {
	for {
		idle, mayOpen := p.takeIdle(id, time.Now())
		if idle == nil && !mayOpen {
			return nil, ErrConnectionLimit
		}
		if idle == nil {
			return p.connect(ctx)
		}
		if idle.usable() {
			idle.reused = true
			return idle, nil
		}
		p.discard(idle)
	}
}

// takeIdle returns the most recently used idle connection that has not carried a request
// with the given ID. If there is none, mayOpen reports whether a new one may be opened,
// which is then already counted. At the connection limit it replaces an idle one.
func (p *Pool) takeIdle(id string, now time.Time) (idle *connection, mayOpen bool) {
	p.mutex.Lock()
	closing := p.takeExpired(now)
	for i := len(p.idle) - 1; i >= 0 && idle == nil; i-- {
		if !p.idle[i].hasCarried(id) {
			idle = p.idle[i]
			p.idle = slices.Delete(p.idle, i, i+1)
		}
	}
	for idle == nil && p.open >= p.limit && len(p.idle) > 0 {
		closing = append(closing, p.idle[0])
		p.idle = slices.Delete(p.idle, 0, 1)
		p.open--
	}
	if idle == nil && p.open < p.limit {
		p.open++
		mayOpen = true
	}
	p.mutex.Unlock()
	closeAll(closing)
	return idle, mayOpen
}

func (p *Pool) connect(ctx context.Context) (*connection, error) {
	started := time.Now()
	conn, err := p.dial(ctx, p.address)
	if err != nil {
		p.mutex.Lock()
		p.open--
		p.mutex.Unlock()
		return nil, p.connectError(err)
	}
	c := newConnection(conn)
	if p.needsConfirm(time.Now()) {
		err = c.confirm(time.Since(started))
	}
	if err != nil {
		p.discard(c)
		return nil, p.connectError(err)
	}
	return c, nil
}

// refusalTimeout limits the check whether a process still accepts connections. A
// timeout does not count as a refusal.
const refusalTimeout = 100 * time.Millisecond

// refuses reports whether nothing listens at the address any more. A connection that is
// accepted is kept for a later request.
func (p *Pool) refuses(ctx context.Context) bool {
	return errors.Is(p.tryConnect(ctx), syscall.ECONNREFUSED)
}

// Accepts reports whether a process accepts connections at the address, as far as that can be
// tested within the connection limit. The connection is kept for a later request.
func (p *Pool) Accepts(ctx context.Context) bool { return p.tryConnect(ctx) == nil }

// tryConnect opens a connection, if the limit allows it, and returns the error of doing so.
func (p *Pool) tryConnect(ctx context.Context) error {
	if !p.reserve() {
		return nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	conn, err := p.dial(dialCtx, p.address)
	if err != nil {
		p.mutex.Lock()
		p.open--
		p.mutex.Unlock()
		return err
	}
	p.putIdle(newConnection(conn), defaultIdleTimeout)
	return nil
}

// reserve counts a connection that is about to be opened, if the limit allows it.
func (p *Pool) reserve() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

// connectError wraps an error from opening a connection and records a reset.
func (p *Pool) connectError(cause error) error {
	if !isReset(cause) {
		return cause
	}
	p.requireConfirm()
	return fmt.Errorf("%w: %w", ErrNotAccepted, cause)
}

// needsConfirm reports whether a new connection must be confirmed before use.
func (p *Pool) needsConfirm(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.responded || now.Before(p.confirmUntil)
}

func (p *Pool) requireConfirm() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.confirmUntil = time.Now().Add(confirmPeriod)
}

// release returns a connection to the pool after a response.
func (p *Pool) release(conn *connection, idleTimeout time.Duration) {
	p.mutex.Lock()
	p.responded = true
	p.mutex.Unlock()
	p.putIdle(conn, idleTimeout)
}

// putIdle adds a connection to the idle ones for at most the given timeout.
func (p *Pool) putIdle(conn *connection, timeout time.Duration) {
	p.mutex.Lock()
	if p.closed || p.open > p.limit {
		p.mutex.Unlock()
		p.discard(conn)
		return
	}
	conn.idleSince = time.Now()
	conn.expiresAt = conn.idleSince.Add(timeout)
	p.idle = append(p.idle, conn)
	p.mutex.Unlock()
}

func (p *Pool) discard(conn *connection) {
	_ = conn.Close() // the connection is not used again
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}
