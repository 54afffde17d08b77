package drain

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// handoverTime is how long a listener that is turned off still hands over the
// connections that wait for the program, and those that are being opened.
const handoverTime = 100 * time.Millisecond

// Listener is a TCP listener that can be turned off without resetting the
// connections that wait in the kernel. Only a connection that comes in the few
// microseconds between the last look at the queue and the closing of the port
// is still reset: the kernel has no call that does both.
type Listener struct {
	*net.TCPListener
	turningOff atomic.Bool
	closed     chan error
}

// Listen opens a TCP listener on IP:port.
func Listen(address string) (*Listener, error) {
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return &Listener{TCPListener: opened.(*net.TCPListener), closed: make(chan error, 1)}, nil
}

// Accept implements net.Listener. It closes the port itself once it has waited
// in vain, so that no time is lost in between.
func (l *Listener) Accept() (net.Conn, error) {
	connection, err := l.TCPListener.Accept()
	if err == nil || !l.turningOff.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return connection, err
	}
	waiting, sweepFailure := acceptWaiting(l.TCPListener)
	if waiting != nil {
		return waiting, nil // the deadline has passed, so Accept comes here again
	}
	l.closed <- errors.Join(sweepFailure, l.TCPListener.Close())
	return nil, net.ErrClosed
}

// Drain waits until Accept has handed over the connections that were already
// there, and has closed the port. The program must be calling Accept, whose
// last error is net.ErrClosed. It is called once.
func (l *Listener) Drain() error {
	l.turningOff.Store(true)
	if err := l.SetDeadline(time.Now().Add(handoverTime)); err != nil {
		return eris.Wrap(err, "turn the listener off")
	}
	return eris.Wrap(<-l.closed, "turn the listener off")
}
