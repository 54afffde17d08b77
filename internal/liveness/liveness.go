// Package liveness tells which other nodes can be reached. A node's record in the
// store says so as well, but not while the store is away, and seconds late
// otherwise; callers who are led to a node that is gone have nowhere to go.
package liveness

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"
)

// The constants of a Checker.
const (
	// checkInterval is how long an answer counts, failedInterval how long a failure.
	checkInterval       = time.Second
	failedCheckInterval = 250 * time.Millisecond
	// connectTimeout bounds one attempt to connect.
	connectTimeout = 300 * time.Millisecond
	// failureThreshold in a row, a node counts as gone: one packet may be lost.
	failureThreshold = 2
	// reachableTTL is how long after it was reached a node is named without being asked
	// anew. At hundreds of nodes each directory is asked seldom, so that what it knows
	// of a node is mostly older.
	reachableTTL = 3 * time.Second
	// initialCheckTimeout is how long an answer waits for nodes that are not proven: some
	// times the way to another region and back, well under the second after which
	// callers ask another directory.
	initialCheckTimeout = 150 * time.Millisecond
	// idleExpiry is how long after the last question a node is forgotten.
	idleExpiry = time.Minute
)

// Config is what a Checker is made of. Zero values take defaults.
type Config struct {
	// Connect opens a connection to a node and closes it; nil means TCP.
	Connect func(ctx context.Context, node netip.AddrPort) error
	Now     func() time.Time
	Logger  *slog.Logger
}

// Checker checks the nodes that it is asked about. It is safe for concurrent use.
type Checker struct {
	config Config
	mu     sync.Mutex
	nodes  map[netip.AddrPort]*nodeState
}

type nodeState struct {
	lastQueried, lastChecked time.Time
	// lastReached is when a check succeeded last.
	lastReached time.Time
	failures    int
	checking    bool
	// done is closed when the check that runs ends.
	done chan struct{}
}

// New makes a Checker.
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

// Unreachable returns those of some nodes that cannot be reached. Nodes of which
// nothing recent is known are connected to first, all at once, which takes no longer
// than firstTimeout, and ends with ctx.
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

// awaitReachable tells whether a node that has been asked about can be reached; where nothing
// recent is known, it waits for the check that runs until ctx ends.
func (c *Checker) awaitReachable(ctx context.Context, node netip.AddrPort) bool {
	known, recent, ended := c.status(node)
	if recent || ended == nil {
		return known && recent
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
	known, recent, _ = c.status(node)
	return known && recent
}

// status tells whether a node counts as reachable, whether it was reached lately, and
// when the check that runs ends; nil when none does.
func (c *Checker) status(node netip.AddrPort) (reachable, recent bool, ended <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.nodes[node]
	if known == nil {
		return false, false, nil // forgotten since
	}
	recent = !known.lastReached.IsZero() && c.config.Now().Sub(known.lastReached) < reachableTTL
	if known.checking {
		ended = known.done
	}
	return known.failures < failureThreshold, recent, ended
}

// Reachable tells what is known of a node, and has it checked when that is old. A
// node of which nothing is known counts as reachable.
func (c *Checker) Reachable(node netip.AddrPort) bool {
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.nodes[node]
	if known == nil {
		c.evictIdle(now)
		known = &nodeState{}
		c.nodes[node] = known
	}
	known.lastQueried = now
	if !known.checking && now.Sub(known.lastChecked) >= known.recheckInterval() {
		known.checking, known.done = true, make(chan struct{})
		go c.check(node, known)
	}
	return known.failures < failureThreshold
}

// recheckInterval is how long what is known recheckInterval.
func (s *nodeState) recheckInterval() time.Duration {
	if s.failures > 0 {
		return failedCheckInterval
	}
	return checkInterval
}

// evictIdle must be called with the mutex held.
func (c *Checker) evictIdle(now time.Time) {
	for node, known := range c.nodes {
		if now.Sub(known.lastQueried) >= idleExpiry {
			delete(c.nodes, node)
		}
	}
}

func (c *Checker) check(node netip.AddrPort, known *nodeState) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	err := c.config.Connect(ctx, node)
	c.mu.Lock()
	defer c.mu.Unlock()
	before := known.failures
	known.checking, known.lastChecked = false, c.config.Now()
	close(known.done)
	if err == nil {
		known.failures, known.lastReached = 0, known.lastChecked
	} else {
		known.failures++
	}
	switch {
	case before >= failureThreshold && known.failures == 0:
		c.config.Logger.Info("node reached again", "address", node.String())
	case before < failureThreshold && known.failures >= failureThreshold:
		c.config.Logger.Warn("node not reached; callers are not led to it", "address", node.String(), "error", err.Error())
	}
}
