package drain

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// drainPeriod is how long a draining listener accepts queued connections and those whose
// handshake is in progress.
const drainPeriod = 100 * time.Millisecond

// Listener is a TCP listener that can be closed without resetting the connections in the
// kernel's accept queue. A connection that is completed between the last check of the queue
// and the closing of the socket is still reset, as no system call does both.
type Listener struct {
	*net.TCPListener
	draining atomic.Bool
	closed   chan error
}

// Listen opens a TCP listener on an address of the form IP:port.
func Listen(address string) (*Listener, error) {
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return &Listener{TCPListener: opened.(*net.TCPListener), closed: make(chan error, 1)}, nil
}

// Accept implements net.Listener. When the listener is draining and its accept queue is
// empty, Accept closes the socket itself, so that no connection is queued in between.
func (l *Listener) Accept() (net.Conn, error) {
	connection, err := l.TCPListener.Accept()
	if err == nil || !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return connection, err
	}
	queued, acceptErr := acceptQueued(l.TCPListener)
	if queued != nil {
		return queued, nil // the deadline stays exceeded, so the next Accept checks the queue again
	}
	l.closed <- errors.Join(acceptErr, l.TCPListener.Close())
	return nil, net.ErrClosed
}

// Drain stops the listener. It returns once Accept has returned the queued connections and
// closed the socket. Another goroutine must be calling Accept, whose last error is
// net.ErrClosed. Drain must be called only once.
func (l *Listener) Drain() error {
	l.draining.Store(true)
	if err := l.SetDeadline(time.Now().Add(drainPeriod)); err != nil {
		return eris.Wrap(err, "drain the listener")
	}
	return eris.Wrap(<-l.closed, "drain the listener")
}
