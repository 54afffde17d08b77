package liveness

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var address = netip.MustParseAddrPort("10.0.0.1:1")

// fakeNode is a node and a clock.
type fakeNode struct {
	mu       sync.Mutex
	down     bool
	now      time.Time
	attempts chan struct{}
}

func (f *fakeNode) connect(context.Context, netip.AddrPort) error {
	f.mu.Lock()
	down := f.down
	f.mu.Unlock()
	defer func() { f.attempts <- struct{}{} }()
	if down {
		return errors.New("connection refused")
	}
	return nil
}

func (f *fakeNode) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fakeNode) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeNode) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// query calls Reachable and waits for the check that it starts.
func (f *fakeNode) query(t *testing.T, c *Checker) bool {
	t.Helper()
	reachable := c.Reachable(address)
	<-f.attempts
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		checking := c.nodes[address].checking
		c.mu.Unlock()
		if !checking {
			return reachable
		}
		if time.Now().After(deadline) {
			t.Fatal("check still running after 10 s")
		}
	}
}

func TestReachable(t *testing.T) {
	f := &fakeNode{now: time.Unix(1000, 0), attempts: make(chan struct{}, 1)}
	c := New(Config{Connect: f.connect, Now: f.clock})
	if !f.query(t, c) {
		t.Error("a node that was never checked counts as unreachable")
	}
	f.setDown(true)
	for i, want := range []bool{true, true, false, false} {
		f.advance(checkInterval)
		if got := f.query(t, c); got != want {
			t.Errorf("query %d after the node went down: reachable %v, want %v", i, got, want)
		}
	}
	f.setDown(false)
	f.advance(failedCheckInterval)
	f.query(t, c)
	if !c.Reachable(address) {
		t.Error("a node that is up again counts as unreachable")
	}
}

func TestReachableCachesResults(t *testing.T) {
	f := &fakeNode{now: time.Unix(1000, 0), attempts: make(chan struct{}, 1)}
	c := New(Config{Connect: f.connect, Now: f.clock})
	f.query(t, c)
	f.advance(checkInterval - time.Millisecond)
	for range 10 {
		c.Reachable(address)
	}
	select {
	case <-f.attempts:
		t.Error("node checked again within the check interval")
	case <-time.After(20 * time.Millisecond):
	}
	f.advance(2 * idleExpiry)
	c.Reachable(netip.MustParseAddrPort("10.0.0.2:1"))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.nodes) != 1 {
		t.Errorf("%d nodes kept, want 1", len(c.nodes))
	}
}

func TestConnect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	up := listener.Addr().(*net.TCPAddr).AddrPort()
	if err := connect(t.Context(), up); err != nil {
		t.Error(err)
	}
	_ = listener.Close()
	if err := connect(t.Context(), up); err == nil {
		t.Error("connected to a closed listener")
	}
}

// The first query must not report a node as reachable before it was checked.
func TestUnreachableChecksUnknownNodes(t *testing.T) {
	up, down, unresponsive := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	c := New(Config{Connect: func(ctx context.Context, node netip.AddrPort) error {
		switch node {
		case up:
			return nil
		case down:
			return errors.New("refused")
		default:
			<-ctx.Done()
			return ctx.Err()
		}
	}})
	for range 2 {
		got := c.Unreachable(t.Context(), []netip.AddrPort{unresponsive, up, down})
		if !slices.Equal(got, []netip.AddrPort{unresponsive, down}) {
			t.Errorf("unreachable nodes %v, want %v", got, []netip.AddrPort{unresponsive, down})
		}
	}
}

// One failure, for example a lost packet, must not make a recently reached node
// unreachable.
func TestUnreachableToleratesOneFailure(t *testing.T) {
	f := &fakeNode{now: time.Unix(1000, 0), attempts: make(chan struct{}, 1)}
	c := New(Config{Connect: f.connect, Now: f.clock})
	f.query(t, c)
	f.setDown(true)
	f.advance(checkInterval)
	f.query(t, c) // fails
	nodes := []netip.AddrPort{address}
	if got := c.Unreachable(t.Context(), nodes); len(got) != 0 {
		t.Error("node unreachable after one failure")
	}
	f.advance(reachableTTL - checkInterval)
	if got := c.Unreachable(t.Context(), nodes); len(got) != 1 {
		t.Error("node still reachable after the result expired")
	}
}

// Unresponsive nodes must be checked concurrently, within a single timeout.
func TestUnreachableSharedTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Config{Connect: func(ctx context.Context, _ netip.AddrPort) error {
			<-ctx.Done()
			return ctx.Err()
		}})
		unresponsive := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")}
		started := time.Now()
		got := c.Unreachable(t.Context(), unresponsive)
		if took := time.Since(started); len(got) != len(unresponsive) || took != initialCheckTimeout {
			t.Errorf("%d nodes unreachable after %v, want %d after %v", len(got), took, len(unresponsive), initialCheckTimeout)
		}
		time.Sleep(connectTimeout) // let the checks end
	})
}
