package once

import (
	"sync"
	"time"
)

// flights counts the calls under way, so that a stop can wait for them.
type flights struct {
	mutex   sync.Mutex
	count   int
	closing bool
	idle    chan struct{}
}

func newFlights() *flights {
	return &flights{idle: make(chan struct{})}
}

// open counts a new call; it is false after close.
func (f *flights) open() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closing {
		return false
	}
	f.count++
	return true
}

func (f *flights) done() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.count--
	if f.closing && f.count == 0 {
		close(f.idle)
	}
}

func (f *flights) closed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.closing
}

// close refuses new calls and waits for those under way, at most for limit.
func (f *flights) close(limit time.Duration) {
	f.mutex.Lock()
	f.closing = true
	waiting := f.count > 0
	f.mutex.Unlock()
	if !waiting {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-f.idle:
	case <-timer.C:
	}
}
