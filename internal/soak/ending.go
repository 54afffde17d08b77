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

// Parameters of requests that crash replicas.
const (
	// crashAttempts attempts are sent at crashInterval, long enough that some come
	// later than quarantineDelay after the third crash.
	crashAttempts = 14
	crashInterval = 700 * time.Millisecond
	// crashDowntime is the time until a crashed replica is replaced.
	crashDowntime = 2 * time.Second
	// maxLateAttempts bounds the attempts that may reach replicas later than
	// quarantineDelay after the third crash, by when connected nodes know of it.
	maxLateAttempts = 3
	quarantineDelay = 5 * time.Second
	// crashPrefix starts the request IDs, followed by the fault's number, a dash and
	// the attempt's number.
	crashPrefix = "e"
)

// sendCrashing sends a crashing request repeatedly and waits until all crashed
// replicas are replaced.
func (w *cluster) sendCrashing(ctx context.Context, fault Fault) {
	defer w.recordFault(fault.Kind, nil)()
	path := fmt.Sprintf("%s%s%d%s", standin.ScatteredPath, crashPrefix, fault.Target, standin.CrashSuffix)
	for try := range crashAttempts {
		client := &standin.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Method: http.MethodPost}
		client.Pin(w.nodes[rand.IntN(len(w.nodes))].settings.Callers)
		bounded, cancel := context.WithTimeout(ctx, callerWait)
		_, _ = client.Send(bounded, fmt.Sprintf("%s%d-%d", crashPrefix, fault.Target, try), path, callerWait) // the outcome does not matter
		cancel()
		time.Sleep(crashInterval)
	}
	w.checkQuarantine(ctx)
	w.returning.Wait()
}

// replaceCrashed closes the link of a crashed replica and starts a successor.
func (w *cluster) replaceCrashed(ended *standin.Replica) {
	w.markLeaving(ended)
	w.closeLink(ended)
	w.returning.Go(func() {
		time.Sleep(crashDowntime)
		if err := ended.Deregister(); err != nil {
			w.addNote("an ended replica's entry: " + err.Error())
			return
		}
		if err := w.startSuccessor(ended); err != nil {
			w.addNote("an ended replica's successor: " + err.Error())
		}
	})
}

// closeLink closes the proxy of a replica.
func (w *cluster) closeLink(replica *standin.Replica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, link := range w.links {
		if link.Addr().String() == replica.Address() {
			link.Close()
		}
	}
}

// checkQuarantine checks that nodes quarantine only requests that crash replicas.
func (w *cluster) checkQuarantine(ctx context.Context) {
	for _, one := range w.nodes {
		known, err := readSystem(ctx, one.settings.State)
		if err != nil {
			continue // the node may be down or paused
		}
		for _, request := range known.Quarantined {
			if request.Refusing > 0 && !strings.HasSuffix(request.Target, standin.CrashSuffix) {
				w.addNote(fmt.Sprintf("%d nodes refuse %s, which ends no replica", request.Refusing, request.Target))
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
	defer func() { _ = response.Body.Close() }() // the body was already decoded
	return known, json.NewDecoder(response.Body).Decode(&known)
}

// crashRun records what one crashing request did.
type crashRun struct {
	crashes []time.Time
	// firstArrivals is the time of each attempt's first arrival at a replica.
	firstArrivals map[string]time.Time
}

// crashRuns returns the runs by request number.
func (j *checker) crashRuns() map[string]*crashRun {
	runs := make(map[string]*crashRun)
	runOf := func(id string) *crashRun {
		number, _, _ := strings.Cut(id, "-")
		if runs[number] == nil {
			runs[number] = &crashRun{firstArrivals: make(map[string]time.Time)}
		}
		return runs[number]
	}
	for _, replica := range j.cluster.replicas() {
		if by, at := replica.CrashedBy(); by != "" {
			runOf(by).crashes = append(runOf(by).crashes, at)
		}
		for _, arrival := range replica.ArrivalLog() {
			if !strings.HasPrefix(arrival.ID, crashPrefix) || arrival.Misdirected {
				continue
			}
			firstArrivals := runOf(arrival.ID).firstArrivals
			if first, known := firstArrivals[arrival.ID]; !known || arrival.At.Before(first) {
				firstArrivals[arrival.ID] = arrival.At
			}
		}
	}
	return runs
}

// lateAttempts counts the attempts that reached a replica later than quarantineDelay
// after the third crash.
func (r *crashRun) lateAttempts() int {
	if len(r.crashes) < 3 {
		return 0
	}
	slices.SortFunc(r.crashes, time.Time.Compare)
	count := 0
	for _, at := range r.firstArrivals {
		if at.Sub(r.crashes[2]) > quarantineDelay {
			count++
		}
	}
	return count
}

// checkCrashRuns checks that crashing requests are soon quarantined.
func (j *checker) checkCrashRuns() {
	for number, run := range j.crashRuns() {
		j.checkCrashRun(number, run)
	}
}

func (j *checker) checkCrashRun(number string, run *crashRun) {
	j.report.Crashed += len(run.crashes)
	if lateAttempts := run.lateAttempts(); lateAttempts > maxLateAttempts {
		j.addFinding("%s ended %d replicas, and %d of its tries reached some later than %v after the third", number, len(run.crashes), lateAttempts, quarantineDelay)
	}
}
