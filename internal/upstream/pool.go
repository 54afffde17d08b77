package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second

// unacknowledgedTimeout is after how long the kernel gives up a connection
// whose peer acknowledges nothing; a peer without power never answers.
const unacknowledgedTimeout = 5 * time.Second

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// spareRest is for how long a connection that is not needed now is kept, beside
// the one used last.
const spareRest = 2 * time.Second

// ErrConnectionLimit is returned when this node's share of a replica's
// connections is used up; nothing was sent.
var ErrConnectionLimit = errors.New("the share of the replica's connections is used up")

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a TCP connection that notices a peer that has gone silent.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return DialContext(ctx, "tcp", address)
}

// DialContext is Dial as net/http wants it.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout,
			int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// Pool keeps the connections to one replica. It is safe for concurrent use.
type Pool struct {
	address string
	dial    DialFunc

	mutex sync.Mutex
	limit int
	// rest bounds the time for which any connection rests; 0 means no bound.
	rest  time.Duration
	open  int
	idle  []*connection // the latest used last
	ended bool
	// answered is true once the replica has answered. Until then, and until confirmUntil,
	// new connections are confirmed.
	answered     bool
	confirmUntil time.Time
}

// NewPool makes a Pool that opens no more than limit connections.
func NewPool(address string, limit int, dial DialFunc) *Pool {
	if dial == nil {
		dial = Dial
	}
	return &Pool{address: address, dial: dial, limit: limit}
}

// SetLimit changes how many connections may be open.
func (p *Pool) SetLimit(limit int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.limit = limit
}

// SetIdleTimeout bounds the time for which a connection rests; 0 means no bound but the
// replica's.
func (p *Pool) SetIdleTimeout(rest time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rest = rest
}

// OpenConnections returns the number of connections that are open or being opened.
func (p *Pool) OpenConnections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// Close ends the idle connections now and the others after their answers.
func (p *Pool) Close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle, p.ended = nil, true
	p.open -= len(idle)
	p.mutex.Unlock()
	closeAll(idle)
}

// CloseExpired closes the idle connections whose time is over.
func (p *Pool) CloseExpired(now time.Time) {
	p.mutex.Lock()
	expired := p.takeExpired(now)
	p.mutex.Unlock()
	closeAll(expired)
}

// takeExpired removes the idle connections whose time is over. Of those that
// were not used last, that is soon: they are left from a burst, and count against
// the replica's limit, also for a while after this machine has lost power. It must
// be called with the mutex held.
func (p *Pool) takeExpired(now time.Time) []*connection {
	var expired []*connection
	kept := p.idle[:0]
	for i, connection := range p.idle {
		rested := now.Sub(connection.restsSince)
		spare := i < len(p.idle)-1 && rested >= spareRest
		over := spare || (p.rest > 0 && rested >= p.rest) || !now.Before(connection.expires)
		if over {
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
		_ = connection.Close() // nothing is in flight on it
	}
}

// acquire returns an idle connection that is still sound, or opens one.
func (p *Pool) acquire(ctx context.Context) (*connection, error) {
	for {
		idle, mayOpen := p.takeIdle(time.Now())
		if idle == nil && !mayOpen {
			return nil, ErrConnectionLimit
		}
		if idle == nil {
			return p.openOne(ctx)
		}
		if idle.quiet() {
			idle.used = true
			return idle, nil
		}
		p.discard(idle)
	}
}

// takeIdle returns the idle connection used last. When there is none, mayOpen
// tells whether one may be opened, which is counted already.
func (p *Pool) takeIdle(now time.Time) (idle *connection, mayOpen bool) {
	p.mutex.Lock()
	expired := p.takeExpired(now)
	if last := len(p.idle) - 1; last >= 0 {
		idle = p.idle[last]
		p.idle = p.idle[:last]
	} else if p.open < p.limit {
		p.open++
		mayOpen = true
	}
	p.mutex.Unlock()
	closeAll(expired)
	return idle, mayOpen
}

func (p *Pool) openOne(ctx context.Context) (*connection, error) {
	begun := time.Now()
	opened, err := p.dial(ctx, p.address)
	if err != nil {
		p.mutex.Lock()
		p.open--
		p.mutex.Unlock()
		return nil, p.describeRefusal(err)
	}
	created := newConnection(opened)
	if p.confirms(time.Now()) {
		err = created.confirm(time.Since(begun))
	}
	if err != nil {
		p.discard(created)
		return nil, p.describeRefusal(err)
	}
	return created, nil
}

// refusalTimeout bounds the look whether a process still accepts connections: four times the
// longest way between regions. Silence says nothing.
const refusalTimeout = 100 * time.Millisecond

// refuses tells whether the process accepts no connection any more: nothing listens at its
// address. Otherwise the connection is kept for the next request.
func (p *Pool) refuses(ctx context.Context) bool {
	if !p.mayOpen() {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	opened, err := p.dial(bounded, p.address)
	if err != nil {
		p.mutex.Lock()
		p.open--
		p.mutex.Unlock()
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(newConnection(opened), defaultIdle)
	return false
}

// mayOpen counts a connection that is about to be opened, if the limit allows it.
func (p *Pool) mayOpen() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended || p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

// describeRefusal describes why no connection came up, and notes a reset.
func (p *Pool) describeRefusal(cause error) error {
	if !isReset(cause) {
		return cause
	}
	p.confirmFromNowOn()
	return fmt.Errorf("%w: %w", ErrNotAccepted, cause)
}

// confirms tells whether a connection that has been opened now is confirmed before it
// is used.
func (p *Pool) confirms(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.answered || now.Before(p.confirmUntil)
}

func (p *Pool) confirmFromNowOn() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.confirmUntil = time.Now().Add(confirmFor)
}

// keep gives a connection back on which the replica has answered.
func (p *Pool) keep(used *connection, rest time.Duration) {
	p.mutex.Lock()
	p.answered = true
	p.mutex.Unlock()
	p.put(used, rest)
}

// put lets a connection rest for a time.
func (p *Pool) put(sound *connection, rest time.Duration) {
	p.mutex.Lock()
	if p.ended || p.open > p.limit {
		p.mutex.Unlock()
		p.discard(sound)
		return
	}
	sound.restsSince = time.Now()
	sound.expires = sound.restsSince.Add(rest)
	p.idle = append(p.idle, sound)
	p.mutex.Unlock()
}

func (p *Pool) discard(broken *connection) {
	_ = broken.Close() // it is of no use any more
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}
