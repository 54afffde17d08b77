package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/elapsed"
)

// Connections knows the open connections of one server. Its zero value is
// usable; it is safe for concurrent use.
type Connections struct {
	// Meter measures for how long connections are idle; nil takes all time. A request
	// that arrives while the process is paused lies unread on a connection that has been
	// idle for as long, by the clock.
	Meter *elapsed.Meter

	mutex sync.Mutex
	open  map[net.Conn]use
}

// use is what a connection is used for.
type use struct {
	// busy is true while a request is in flight.
	busy bool
	// since is for how long the process had run when that began.
	since time.Duration
}

// Follow takes the connections of a server that was not started yet.
func (c *Connections) Follow(server *http.Server) { server.ConnState = c.changed }

// changed implements http.Server.ConnState.
func (c *Connections) changed(connection net.Conn, state http.ConnState) {
	ran := c.Meter.ActiveTime()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open == nil {
		c.open = make(map[net.Conn]use)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.open[connection] = use{since: ran}
	case http.StateActive:
		c.open[connection] = use{busy: true, since: ran}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, connection)
	}
}

// Count returns the number of open connections.
func (c *Connections) Count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.open)
}

// Busy returns the number of connections with a request in flight: its answer has not been
// written whole.
func (c *Connections) Busy() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	busy := 0
	for _, connection := range c.open {
		if connection.busy {
			busy++
		}
	}
	return busy
}

// quiet tells whether all connections have been idle for a time; it is true
// when there are none.
func (c *Connections) quiet(idle time.Duration) bool {
	latest := c.Meter.ActiveTime() - idle
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, connection := range c.open {
		if connection.busy || connection.since > latest {
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
	return await(ctx, func() bool { return c.quiet(idle) })
}

// AwaitAnswers waits until no request is in flight, and returns ctx's error when it ends
// first.
func (c *Connections) AwaitAnswers(ctx context.Context) error {
	return await(ctx, func() bool { return c.Busy() == 0 })
}

func await(ctx context.Context, holds func() bool) error {
	ticker := time.NewTicker(quietInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
