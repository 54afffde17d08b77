package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// The range of the pause within a graceful stop, as shares of the grace period:
// about when a node answers pending requests and closes its connections.
const (
	earliestPauseShare = 0.60
	latestPauseShare   = 0.95
)

// Parameters of the requests in flight during such a stop.
const (
	heldRequests = 6
	// heldWait is the callers' timeout, longer than the stop with any pause.
	heldWait = 2 * gracePeriod
	// heldBefore is how long before the signal the requests are sent.
	heldBefore = 200 * time.Millisecond
	// heldPrefix starts the request IDs, followed by the fault's target, a dash and
	// the request's number.
	heldPrefix = "h"
)

// pauseStop stops a node gracefully while a service hangs, and pauses the node
// late in its stop. Each held request must get a response, of any status, before
// its connection closes.
func (c *cluster) pauseStop(ctx context.Context, fault Fault, target *node) error {
	defer c.recordFault(fault.Kind, target)()
	held := c.serving(standin.PlainService)
	for _, replica := range held {
		replica.Hang(1)
	}
	var running sync.WaitGroup
	for number := range heldRequests {
		running.Go(func() { c.sendHeld(ctx, target, fmt.Sprintf("%s%d-%d", heldPrefix, fault.Target, number)) })
	}
	time.Sleep(heldBefore)
	running.Go(func() {
		share := earliestPauseShare + (latestPauseShare-earliestPauseShare)*float64(fault.Target%100)/100
		time.Sleep(time.Duration(share * float64(gracePeriod)))
		pause(target, fault.For)
	})
	err := c.restartAfter(ctx, target, syscall.SIGTERM)
	running.Wait()
	for _, replica := range held {
		replica.Hang(0)
	}
	return err
}

// sendHeld sends a request that a replica holds to a node about to stop.
func (c *cluster) sendHeld(ctx context.Context, target *node, id string) {
	client := &standin.Client{HTTP: &http.Client{Transport: &http.Transport{}}, Method: http.MethodPost}
	client.Key = c.steadyKey()
	client.Pin(target.settings.Callers)
	bounded, cancel := context.WithTimeout(ctx, heldWait)
	defer cancel()
	sent := time.Now()
	_, err := client.Send(bounded, id, standin.PlainPath+id, heldWait)
	gone := errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded)
	if err == nil || gone || c.overlapsFault(sent.Add(-time.Second), time.Now(), breaksConnections(target.settings.Callers)) {
		return
	}
	c.addNote(fmt.Sprintf("%s was held while its node stopped and stood still, and got no answer: %v", id, err))
}
