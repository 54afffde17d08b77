package elapsed

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Listener is a net.Listener whose connections are of type Conn.
type Listener struct {
	net.Listener
	meter *Meter
}

// NewListener returns a Listener that accepts from another listener.
func NewListener(listener net.Listener, meter *Meter) *Listener {
	return &Listener{Listener: listener, meter: meter}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(accepted, l.meter), nil
}

// Conn is a net.Conn whose deadlines do not count time in which the process is paused. When a
// paused process resumes, its deadlines and the input that has arrived are due at once; with
// plain deadlines, requests that lie in the socket's buffer would be lost.
type Conn struct {
	net.Conn
	meter       *Meter
	read, write deadline
}

// NewConn returns a Conn. A nil meter leaves the deadlines as they are.
func NewConn(conn net.Conn, meter *Meter) *Conn { return &Conn{Conn: conn, meter: meter} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(content []byte) (int, error) {
	for {
		n, err := c.Conn.Read(content)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.read.extend(c.meter, c.Conn.SetReadDeadline) {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *Conn) Write(content []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(content[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.write.extend(c.meter, c.Conn.SetWriteDeadline) {
			return written, err
		}
	}
}

// CloseWrite closes the sending side. net/http does so before it closes a connection whose request
// it has not read whole, so that the response is not lost to a reset.
func (c *Conn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return closer.CloseWrite()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(at time.Time) error {
	return c.read.set(at, c.meter, c.Conn.SetReadDeadline)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(at time.Time) error {
	return c.write.set(at, c.meter, c.Conn.SetWriteDeadline)
}

// deadline is a deadline of one direction of a connection.
type deadline struct {
	mutex sync.Mutex
	// at is zero if there is none.
	at time.Time
	// paused is the process's total paused time that at takes into account.
	paused time.Duration
}

// set applies a deadline. Its caller may have computed it before a pause that has just ended, as
// net/http does, and a time does not tell from when its timeout counts. Recent pauses are
// therefore treated like later ones.
func (d *deadline) set(at time.Time, meter *Meter, apply func(time.Time) error) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.at, d.paused = at, meter.EarlierPausedTime()
	return apply(at)
}

// extend postpones an exceeded deadline by the time for which the process has been paused since
// it was set. It returns false if the deadline has passed all the same.
func (d *deadline) extend(meter *Meter, apply func(time.Time) error) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now() // read first: a pause after it only makes the extension longer
	paused := meter.PausedTime()
	extended := d.at.Add(paused - d.paused)
	if d.at.IsZero() || !extended.After(now) {
		return false
	}
	d.at, d.paused = extended, paused
	return apply(extended) == nil
}
