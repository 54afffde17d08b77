// Package liveness checks whether other nodes accept connections. The records in the
// store also show which nodes are up, but with a delay of seconds, and not at all during
// an outage of the store. The directory must not send callers to a node that is down.
package liveness

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// checkInterval is how long a successful check is valid, failedCheckInterval how
	// long a failed one is.
	checkInterval       = time.Second
	failedCheckInterval = 250 * time.Millisecond
	// connectTimeout bounds one connection attempt.
	connectTimeout = 300 * time.Millisecond
	// failureThreshold is the number of consecutive failures after which a node counts
	// as down. It tolerates the loss of one packet.
	failureThreshold = 2
	// reachableTTL is how long after a successful check Unreachable relies on it. It is
	// longer than checkInterval because in large deployments each node is queried
	// rarely, so most of what it knows is older.
	reachableTTL = 3 * time.Second
	// initialCheckTimeout bounds the wait for nodes without a recent result. It allows
	// several round trips to another region, but is well below the second after which
	// callers query another directory.
	initialCheckTimeout = 150 * time.Millisecond
	// idleExpiry is how long a node is kept after it was last queried.
	idleExpiry = time.Minute
)

// Config configures a Checker. Zero values select defaults.
type Config struct {
	// Connect opens and closes a connection to a node; nil means TCP.
	Connect func(ctx context.Context, node netip.AddrPort) error
	Now     func() time.Time
	Logger  *slog.Logger
}

// Checker checks the nodes that it is queried about. It is safe for concurrent use.
type Checker struct {
	config Config
	mu     sync.Mutex
	nodes  map[netip.AddrPort]*nodeState
}

type nodeState struct {
	lastQueried, lastChecked time.Time
	// lastReached is the time of the last successful check.
	lastReached time.Time
	failures    int
	checking    bool
	// done is closed when the running check ends.
	done chan struct{}
}

// New returns a Checker.
func New(config Config) *Checker {
	if config.Connect == nil {
		config.Connect = connect
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Checker{config: config, nodes: make(map[netip.AddrPort]*nodeState)}
}

func connect(ctx context.Context, node netip.AddrPort) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", node.String())
	if err != nil {
		return err
	}
	return conn.Close()
}

// Unreachable returns the given nodes that cannot be reached. It waits for concurrent
// checks of nodes without a recent result, at most for initialCheckTimeout or until ctx
// ends.
func (c *Checker) Unreachable(ctx context.Context, nodes []netip.AddrPort) []netip.AddrPort {
	for _, node := range nodes {
		c.Reachable(node)
	}
	bounded, cancel := context.WithTimeout(ctx, initialCheckTimeout)
	defer cancel()
	var unreachable []netip.AddrPort
	for _, node := range nodes {
		if !c.awaitReachable(bounded, node) {
			unreachable = append(unreachable, node)
		}
	}
	return unreachable
}

// awaitReachable reports whether a node is reachable. Without a recent result it waits
// for the running check until ctx ends.
func (c *Checker) awaitReachable(ctx context.Context, node netip.AddrPort) bool {
	reachable, recent, done := c.status(node)
	if recent || done == nil {
		return reachable && recent
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	reachable, recent, _ = c.status(node)
	return reachable && recent
}

// status reports whether a node counts as reachable and whether it was reached recently.
// done is closed when the running check ends; it is nil if none is running.
func (c *Checker) status(node netip.AddrPort) (reachable, recent bool, done <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.nodes[node]
	if state == nil {
		return false, false, nil // evicted in the meantime
	}
	recent = !state.lastReached.IsZero() && c.config.Now().Sub(state.lastReached) < reachableTTL
	if state.checking {
		done = state.done
	}
	return state.failures < failureThreshold, recent, done
}

// Reachable returns the known state of a node, and starts a check if that is outdated. A
// node that was never checked counts as reachable.
func (c *Checker) Reachable(node netip.AddrPort) bool {
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.nodes[node]
	if state == nil {
		c.evictIdle(now)
		state = &nodeState{}
		c.nodes[node] = state
	}
	state.lastQueried = now
	if !state.checking && now.Sub(state.lastChecked) >= state.recheckInterval() {
		state.checking, state.done = true, make(chan struct{})
		go c.check(node, state)
	}
	return state.failures < failureThreshold
}

func (s *nodeState) recheckInterval() time.Duration {
	if s.failures > 0 {
		return failedCheckInterval
	}
	return checkInterval
}

// evictIdle must be called with c.mu held.
func (c *Checker) evictIdle(now time.Time) {
	for node, state := range c.nodes {
		if now.Sub(state.lastQueried) >= idleExpiry {
			delete(c.nodes, node)
		}
	}
}

func (c *Checker) check(node netip.AddrPort, state *nodeState) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	err := c.config.Connect(ctx, node)
	c.mu.Lock()
	defer c.mu.Unlock()
	failuresBefore := state.failures
	state.checking, state.lastChecked = false, c.config.Now()
	close(state.done)
	if err == nil {
		state.failures, state.lastReached = 0, state.lastChecked
	} else {
		state.failures++
	}
	switch {
	case failuresBefore >= failureThreshold && state.failures == 0:
		c.config.Logger.Info("node reachable again", "address", node.String())
	case failuresBefore < failureThreshold && state.failures >= failureThreshold:
		c.config.Logger.Warn("node unreachable; excluding it from directory answers", "address", node.String(), "error", err.Error())
	}
}
