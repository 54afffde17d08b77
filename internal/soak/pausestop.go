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

// The moments of a planned stop at which it stands still, as shares of the grace time: about
// those when it answers what is left and ends its connections.
const (
	firstStill = 0.60
	lastStill  = 0.95
)

// The requests that are in flight at the end of such a stop.
const (
	// heldRequests is their number.
	heldRequests = 6
	// heldWait is how long their callers wait: beyond the stop and any pause in it.
	heldWait = 2 * grace
	// heldBefore is how long before the signal they are sent.
	heldBefore = 200 * time.Millisecond
	// heldPrefix begins their identifiers; a number, a dash and that of the request follow.
	heldPrefix = "h"
)

// pauseStop stops a node as planned while a service holds all that comes, and lets the node
// stand still towards the end, at a moment that the fault's target chooses. Requests that are
// held have an answer, whatever it is, before their connections end.
func (w *world) pauseStop(ctx context.Context, fault Fault, target *node) error {
	defer w.noted(fault.Kind, target)()
	held := w.serving(standin.PlainService)
	for _, replica := range held {
		replica.Hang(1)
	}
	var running sync.WaitGroup
	for number := range heldRequests {
		running.Go(func() { w.sendHeld(ctx, target, fmt.Sprintf("%s%d-%d", heldPrefix, fault.Target, number)) })
	}
	time.Sleep(heldBefore)
	running.Go(func() {
		share := firstStill + (lastStill-firstStill)*float64(fault.Target%100)/100
		time.Sleep(time.Duration(share * float64(grace)))
		pause(target, fault.For)
	})
	err := w.restartAfter(ctx, target, syscall.SIGTERM)
	running.Wait()
	for _, replica := range held {
		replica.Hang(0)
	}
	return err
}

// sendHeld sends a request that its replica holds to a node that is about to stop.
func (w *world) sendHeld(ctx context.Context, target *node, id string) {
	client := &standin.Client{HTTP: &http.Client{Transport: &http.Transport{}}, Method: http.MethodPost}
	client.Pin(target.settings.Callers)
	bounded, cancel := context.WithTimeout(ctx, heldWait)
	defer cancel()
	sent := time.Now()
	_, err := client.Send(bounded, id, standin.PlainPath+id, heldWait)
	gone := errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded)
	if err == nil || gone || w.met(sent.Add(-time.Second), time.Now(), endsConnections(target.settings.Callers)) {
		return
	}
	w.note(fmt.Sprintf("%s was held while its node stopped and stood still, and got no answer: %v", id, err))
}
