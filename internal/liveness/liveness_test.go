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

// fake is a node and a clock.
type fake struct {
	mu       sync.Mutex
	gone     bool
	now      time.Time
	attempts chan struct{}
}

func (f *fake) connect(context.Context, netip.AddrPort) error {
	f.mu.Lock()
	gone := f.gone
	f.mu.Unlock()
	defer func() { f.attempts <- struct{}{} }()
	if gone {
		return errors.New("no answer")
	}
	return nil
}

func (f *fake) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fake) set(gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone = gone
}

func (f *fake) pass(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// ask asks, and waits for the check that this gives rise to.
func (f *fake) ask(t *testing.T, c *Checker) bool {
	t.Helper()
	known := c.Reachable(address)
	<-f.attempts
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		checking := c.nodes[address].checking
		c.mu.Unlock()
		if !checking {
			return known
		}
		if time.Now().After(deadline) {
			t.Fatal("the check does not end")
		}
	}
}

func TestReachable(t *testing.T) {
	f := &fake{now: time.Unix(1000, 0), attempts: make(chan struct{}, 1)}
	c := New(Config{Connect: f.connect, Now: f.clock})
	if !f.ask(t, c) {
		t.Error("a node of which nothing is known counts as gone")
	}
	f.set(true)
	for i, want := range []bool{true, true, false, false} {
		f.pass(checkInterval)
		if got := f.ask(t, c); got != want {
			t.Errorf("question %d after the node's end: %v, want %v", i, got, want)
		}
	}
	f.set(false)
	f.pass(failedCheckInterval)
	f.ask(t, c)
	if !c.Reachable(address) {
		t.Error("a node that is back counts as gone")
	}
}

func TestANodeIsNotCheckedAtEachQuestion(t *testing.T) {
	f := &fake{now: time.Unix(1000, 0), attempts: make(chan struct{}, 1)}
	c := New(Config{Connect: f.connect, Now: f.clock})
	f.ask(t, c)
	f.pass(checkInterval - time.Millisecond)
	for range 10 {
		c.Reachable(address)
	}
	select {
	case <-f.attempts:
		t.Error("checked again too soon")
	case <-time.After(20 * time.Millisecond):
	}
	f.pass(2 * idleExpiry)
	c.Reachable(netip.MustParseAddrPort("10.0.0.2:1"))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.nodes) != 1 {
		t.Errorf("%d nodes are kept", len(c.nodes))
	}
}

func TestConnect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	there := listener.Addr().(*net.TCPAddr).AddrPort()
	if err := connect(t.Context(), there); err != nil {
		t.Error(err)
	}
	_ = listener.Close()
	if err := connect(t.Context(), there); err == nil {
		t.Error("a node that is gone was reached")
	}
}

// TestANodeOfWhichNothingIsKnownIsAskedFirst: a directory that is asked for the first
// time names no node that is gone, and does not wait long for it.
func TestANodeOfWhichNothingIsKnownIsAskedFirst(t *testing.T) {
	there, gone, dark := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	c := New(Config{Connect: func(ctx context.Context, node netip.AddrPort) error {
		switch node {
		case there:
			return nil
		case gone:
			return errors.New("refused")
		default:
			<-ctx.Done()
			return ctx.Err()
		}
	}})
	for range 2 {
		found := c.Unreachable(t.Context(), []netip.AddrPort{dark, there, gone})
		if !slices.Equal(found, []netip.AddrPort{dark, gone}) {
			t.Errorf("not reached: %v", found)
		}
	}
}

// TestOneFailureIsForgiven for a node that was reached lately: one packet may be lost.
func TestOneFailureIsForgiven(t *testing.T) {
	f := &fake{now: time.Unix(1000, 0), attempts: make(chan struct{}, 1)}
	c := New(Config{Connect: f.connect, Now: f.clock})
	f.ask(t, c)
	f.set(true)
	f.pass(checkInterval)
	f.ask(t, c) // fails
	nodes := []netip.AddrPort{address}
	if found := c.Unreachable(t.Context(), nodes); len(found) != 0 {
		t.Error("gone after one failure")
	}
	f.pass(reachableTTL - checkInterval)
	if found := c.Unreachable(t.Context(), nodes); len(found) != 1 {
		t.Error("not reached for a long time, and counts as there")
	}
}

// TestTheWaitIsOneForAllNodes: several that say nothing take no longer than one.
func TestTheWaitIsOneForAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Config{Connect: func(ctx context.Context, _ netip.AddrPort) error {
			<-ctx.Done()
			return ctx.Err()
		}})
		dark := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")}
		asked := time.Now()
		found := c.Unreachable(t.Context(), dark)
		if took := time.Since(asked); len(found) != len(dark) || took != initialCheckTimeout {
			t.Errorf("%d not reached, after %v", len(found), took)
		}
		time.Sleep(connectTimeout) // the checks end
	})
}
