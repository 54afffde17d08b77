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
	failures       int
	checking       bool
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
		known.checking = true
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
	if err == nil {
		known.failures = 0
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
