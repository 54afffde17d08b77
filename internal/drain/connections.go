// Package drain ends an http.Server without cutting off a request.
//
// http.Server.Shutdown alone does: it closes idle kept-alive connections while
// a request may be on its way on them, and closing a listener resets the
// connections that the kernel has accepted and the program has not. So here
// the listener first hands over the connections that wait, and then all are
// given the time to end by themselves: a draining server answers with
// "Connection: close", and only a connection that has long been idle is
// closed.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Connections knows the open connections of one server. Its zero value is
// usable; it is safe for concurrent use.
type Connections struct {
	mutex sync.Mutex
	// idleSince is the zero time for a connection with a request in flight.
	idleSince map[net.Conn]time.Time
}

// Follow takes the connections of a server that was not started yet.
func (c *Connections) Follow(server *http.Server) { server.ConnState = c.changed }

// changed implements http.Server.ConnState.
func (c *Connections) changed(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idleSince == nil {
		c.idleSince = make(map[net.Conn]time.Time)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.idleSince[connection] = time.Now()
	case http.StateActive:
		c.idleSince[connection] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(c.idleSince, connection)
	}
}

// Count returns the number of open connections.
func (c *Connections) Count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.idleSince)
}

// quiet tells whether all connections have been idle for a time; it is true
// when there are none.
func (c *Connections) quiet(idle time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	latest := time.Now().Add(-idle)
	for _, since := range c.idleSince {
		if since.IsZero() || since.After(latest) {
			return false
		}
	}
	return true
}

// quietInterval is the pause between two looks at the connections.
const quietInterval = 20 * time.Millisecond

// AwaitQuiet waits until there is no connection, or all have been idle for a
// time, and returns ctx's error when it ends first. The server's handler must
// answer with "Connection: close" meanwhile.
func (c *Connections) AwaitQuiet(ctx context.Context, idle time.Duration) error {
	ticker := time.NewTicker(quietInterval)
	defer ticker.Stop()
	for !c.quiet(idle) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
