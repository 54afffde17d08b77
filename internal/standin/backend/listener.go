package backend

import (
	"net"
	"sync"
)

// limitedListener closes connections beyond the replica's limit as soon as
// they are accepted, and counts them.
type limitedListener struct {
	net.Listener
	limit    int64
	counters *counters
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.counters.connectionsOpen.Add(1)
		if l.limit > 0 && open > l.limit {
			l.counters.connectionsOpen.Add(-1)
			l.counters.connectionsRefused.Add(1)
			_ = connection.Close()
			continue
		}
		l.counters.connectionsAccepted.Add(1)
		raise(l.counters, open)
		return &countedConnection{Conn: connection, counters: l.counters}, nil
	}
}

// raise keeps the peak of open connections. Only Accept calls it, which runs
// one at a time.
func raise(c *counters, open int64) {
	if open > c.connectionsPeak.Load() {
		c.connectionsPeak.Store(open)
	}
}

// countedConnection gives its place back once it is closed.
type countedConnection struct {
	net.Conn
	counters *counters
	once     sync.Once
}

// Close closes the connection.
func (c *countedConnection) Close() error {
	c.once.Do(func() { c.counters.connectionsOpen.Add(-1) })
	return c.Conn.Close()
}
