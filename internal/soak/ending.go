package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/doorpond/doorpond/internal/inspect"
	"github.com/doorpond/doorpond/platform/standin"
)

// A request that ends replicas.
const (
	// endingTries of it come, one each endingInterval: some of them later than knownWithin
	// after three replicas can have ended.
	endingTries    = 14
	endingInterval = 700 * time.Millisecond
	// endedFor is how long a replica is away that has ended.
	endedFor = 2 * time.Second
	// lateTries is the number of tries that may reach replicas later than knownWithin after
	// the third has ended: the time after which nodes that are in touch know what others do.
	lateTries   = 3
	knownWithin = 5 * time.Second
	// endingPrefix begins the identifiers of its tries; its number, a dash and that of the
	// try follow.
	endingPrefix = "e"
)

// sendEnding sends a request that ends replicas, and returns when all are replaced.
func (w *world) sendEnding(ctx context.Context, fault Fault) {
	defer w.noted(fault.Kind, nil)()
	path := fmt.Sprintf("%s%s%d%s", standin.ScatteredPath, endingPrefix, fault.Target, standin.CrashSuffix)
	for try := range endingTries {
		client := &standin.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Method: http.MethodPost}
		client.Pin(w.nodes[rand.IntN(len(w.nodes))].settings.Callers)
		bounded, cancel := context.WithTimeout(ctx, callerWait)
		_, _ = client.Send(bounded, fmt.Sprintf("%s%d-%d", endingPrefix, fault.Target, try), path, callerWait) // it earns nothing
		cancel()
		time.Sleep(endingInterval)
	}
	w.checkQuarantine(ctx)
	w.returning.Wait()
}

// replaceEnding lets nothing listen any more for a replica that ends by a request, and starts
// another in its place.
func (w *world) replaceEnding(ended *standin.Replica) {
	w.markLeaving(ended)
	w.closeLink(ended)
	w.returning.Go(func() {
		time.Sleep(endedFor)
		if err := ended.Deregister(); err != nil {
			w.note("an ended replica's entry: " + err.Error())
			return
		}
		if err := w.succeed(ended); err != nil {
			w.note("an ended replica's successor: " + err.Error())
		}
	})
}

// closeLink ends the proxy before a replica.
func (w *world) closeLink(replica *standin.Replica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, link := range w.links {
		if link.Addr().String() == replica.Address() {
			link.Close()
		}
	}
}

// checkQuarantine: no node refuses another request than one that ends replicas.
func (w *world) checkQuarantine(ctx context.Context) {
	for _, one := range w.nodes {
		known, err := readSystem(ctx, one.settings.State)
		if err != nil {
			continue // it has just been killed, or is paused
		}
		for _, request := range known.Quarantined {
			if request.Refusing > 0 && !strings.HasSuffix(request.Target, standin.CrashSuffix) {
				w.note(fmt.Sprintf("%d nodes refuse %s, which ends no replica", request.Refusing, request.Target))
			}
		}
		return
	}
}

func readSystem(ctx context.Context, address string) (inspect.System, error) {
	var known inspect.System
	bounded, cancel := context.WithTimeout(ctx, callerWait)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+address+"/v1/system", nil)
	if err != nil {
		return known, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return known, err
	}
	defer func() { _ = response.Body.Close() }() // what matters was read
	return known, json.NewDecoder(response.Body).Decode(&known)
}

// endingRun is what one request that ends replicas did.
type endingRun struct {
	ends []time.Time
	// reached is when each try first came to a replica.
	reached map[string]time.Time
}

// endingRuns gathers them by their number.
func (j *judge) endingRuns() map[string]*endingRun {
	runs := make(map[string]*endingRun)
	of := func(id string) *endingRun {
		number, _, _ := strings.Cut(id, "-")
		if runs[number] == nil {
			runs[number] = &endingRun{reached: make(map[string]time.Time)}
		}
		return runs[number]
	}
	for _, replica := range j.world.replicas() {
		if by, at := replica.CrashedBy(); by != "" {
			of(by).ends = append(of(by).ends, at)
		}
		for _, arrival := range replica.ArrivalLog() {
			if !strings.HasPrefix(arrival.ID, endingPrefix) || arrival.Misdirected {
				continue
			}
			reached := of(arrival.ID).reached
			if first, known := reached[arrival.ID]; !known || arrival.At.Before(first) {
				reached[arrival.ID] = arrival.At
			}
		}
	}
	return runs
}

// late counts the tries that reached a replica later than knownWithin after the third end.
func (r *endingRun) late() int {
	if len(r.ends) < 3 {
		return 0
	}
	slices.SortFunc(r.ends, time.Time.Compare)
	count := 0
	for _, at := range r.reached {
		if at.Sub(r.ends[2]) > knownWithin {
			count++
		}
	}
	return count
}

// checkEnding: a request that ends replicas is not sent to them for long.
func (j *judge) checkEnding() {
	for number, run := range j.endingRuns() {
		j.judgeEnding(number, run)
	}
}

func (j *judge) judgeEnding(number string, run *endingRun) {
	j.report.Crashed += len(run.ends)
	if late := run.late(); late > lateTries {
		j.found("%s ended %d replicas, and %d of its tries reached some later than %v after the third", number, len(run.ends), late, knownWithin)
	}
}
