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
	// interval is how long an answer counts, failedInterval how long a failure.
	interval       = time.Second
	failedInterval = 250 * time.Millisecond
	// timeout bounds one attempt to connect.
	timeout = 300 * time.Millisecond
	// enoughFailures in a row, a node counts as gone: one packet may be lost.
	enoughFailures = 2
	// provenFor is how long after it was reached a node is named without being asked
	// anew. At hundreds of nodes each directory is asked seldom, so that what it knows
	// of a node is mostly older.
	provenFor = 3 * time.Second
	// firstTimeout is how long an answer waits for nodes that are not proven: some
	// times the way to another region and back, well under the second after which
	// callers ask another directory.
	firstTimeout = 150 * time.Millisecond
	// forgetAfter is how long after the last question a node is forgotten.
	forgetAfter = time.Minute
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
	nodes  map[netip.AddrPort]*state
}

type state struct {
	asked, checked time.Time
	// reached is when a check succeeded last.
	reached  time.Time
	failures int
	checking bool
	// ended is closed when the check that runs ends.
	ended chan struct{}
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
	return &Checker{config: config, nodes: make(map[netip.AddrPort]*state)}
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
	bounded, cancel := context.WithTimeout(ctx, firstTimeout)
	defer cancel()
	var unreachable []netip.AddrPort
	for _, node := range nodes {
		if !c.proven(bounded, node) {
			unreachable = append(unreachable, node)
		}
	}
	return unreachable
}

// proven tells whether a node that has been asked about can be reached; where nothing
// recent is known, it waits for the check that runs until ctx ends.
func (c *Checker) proven(ctx context.Context, node netip.AddrPort) bool {
	known, recent, ended := c.known(node)
	if recent || ended == nil {
		return known && recent
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
	known, recent, _ = c.known(node)
	return known && recent
}

// known tells whether a node counts as reachable, whether it was reached lately, and
// when the check that runs ends; nil when none does.
func (c *Checker) known(node netip.AddrPort) (reachable, recent bool, ended <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.nodes[node]
	if known == nil {
		return false, false, nil // forgotten since
	}
	recent = !known.reached.IsZero() && c.config.Now().Sub(known.reached) < provenFor
	if known.checking {
		ended = known.ended
	}
	return known.failures < enoughFailures, recent, ended
}

// Reachable tells what is known of a node, and has it checked when that is old. A
// node of which nothing is known counts as reachable.
func (c *Checker) Reachable(node netip.AddrPort) bool {
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.nodes[node]
	if known == nil {
		c.forget(now)
		known = &state{}
		c.nodes[node] = known
	}
	known.asked = now
	if !known.checking && now.Sub(known.checked) >= known.counts() {
		known.checking, known.ended = true, make(chan struct{})
		go c.check(node, known)
	}
	return known.failures < enoughFailures
}

// counts is how long what is known counts.
func (s *state) counts() time.Duration {
	if s.failures > 0 {
		return failedInterval
	}
	return interval
}

// forget must be called with the mutex held.
func (c *Checker) forget(now time.Time) {
	for node, known := range c.nodes {
		if now.Sub(known.asked) >= forgetAfter {
			delete(c.nodes, node)
		}
	}
}

func (c *Checker) check(node netip.AddrPort, known *state) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := c.config.Connect(ctx, node)
	c.mu.Lock()
	defer c.mu.Unlock()
	before := known.failures
	known.checking, known.checked = false, c.config.Now()
	close(known.ended)
	if err == nil {
		known.failures, known.reached = 0, known.checked
	} else {
		known.failures++
	}
	switch {
	case before >= enoughFailures && known.failures == 0:
		c.config.Logger.Info("node reached again", "address", node.String())
	case before < enoughFailures && known.failures >= enoughFailures:
		c.config.Logger.Warn("node not reached; callers are not led to it", "address", node.String(), "error", err.Error())
	}
}
