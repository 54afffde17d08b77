// Package drain shuts down HTTP servers without resetting connections.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/doorpond/doorpond/internal/elapsed"
)

// Connections tracks the open connections of one server. The zero value is ready to use.
// It is safe for concurrent use.
type Connections struct {
	// Meter measures idle time; nil counts all time. With a Meter, time in which the
	// process is paused does not count, as a request that arrives then is not yet read.
	Meter *elapsed.Meter

	mutex sync.Mutex
	open  map[net.Conn]connectionState
}

type connectionState struct {
	// active is true while a request is in flight.
	active bool
	// since is the Meter's time of the last state change.
	since time.Duration
}

// Track starts tracking the connections of a server. It must be called before the server
// is started.
func (c *Connections) Track(server *http.Server) { server.ConnState = c.setState }

// setState is the server's http.Server.ConnState hook.
func (c *Connections) setState(connection net.Conn, state http.ConnState) {
	now := c.Meter.ActiveTime()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open == nil {
		c.open = make(map[net.Conn]connectionState)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.open[connection] = connectionState{since: now}
	case http.StateActive:
		c.open[connection] = connectionState{active: true, since: now}
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

// ActiveCount returns the number of connections with a request in flight, that is, one
// whose response has not been written completely.
func (c *Connections) ActiveCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	active := 0
	for _, connection := range c.open {
		if connection.active {
			active++
		}
	}
	return active
}

// allIdle reports whether every open connection has been idle for at least the given time.
func (c *Connections) allIdle(idle time.Duration) bool {
	latest := c.Meter.ActiveTime() - idle
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, connection := range c.open {
		if connection.active || connection.since > latest {
			return false
		}
	}
	return true
}

const pollInterval = 20 * time.Millisecond

// WaitIdle waits until every open connection has been idle for at least the given time.
// It returns ctx's error if ctx ends first. Meanwhile, the server's handler must set
// "Connection: close" on responses.
func (c *Connections) WaitIdle(ctx context.Context, idle time.Duration) error {
	return poll(ctx, func() bool { return c.allIdle(idle) })
}

// WaitInactive waits until no request is in flight. It returns ctx's error if ctx ends
// first.
func (c *Connections) WaitInactive(ctx context.Context) error {
	return poll(ctx, func() bool { return c.ActiveCount() == 0 })
}

func poll(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
