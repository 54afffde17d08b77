package once

import (
	"context"
	"sync"
)

// activeCalls counts active calls, so that shutdown can wait for them.
type activeCalls struct {
	mutex    sync.Mutex
	count    int
	draining bool
	idle     chan struct{}
}

func newActiveCalls() *activeCalls {
	return &activeCalls{idle: make(chan struct{})}
}

// begin adds a call. It returns false once drain was called.
func (a *activeCalls) begin() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.draining {
		return false
	}
	a.count++
	return true
}

func (a *activeCalls) done() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.count--
	if a.draining && a.count == 0 {
		close(a.idle)
	}
}

func (a *activeCalls) isDraining() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.draining
}

// drain rejects new calls and waits for active ones until ctx is done.
func (a *activeCalls) drain(ctx context.Context) {
	a.mutex.Lock()
	a.draining = true
	hasCalls := a.count > 0
	a.mutex.Unlock()
	if !hasCalls {
		return
	}
	select {
	case <-a.idle:
	case <-ctx.Done():
	}
}
