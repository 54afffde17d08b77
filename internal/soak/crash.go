package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
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
func (c *cluster) sendCrashing(ctx context.Context, fault Fault) {
	defer c.recordFault(fault.Kind, nil)()
	path := fmt.Sprintf("%s%s%d%s", standin.ScatteredPath, crashPrefix, fault.Target, standin.CrashSuffix)
	if c.keys != nil {
		sending, stop := context.WithCancel(ctx)
		var harmless sync.WaitGroup
		harmless.Go(func() { c.sendHarmless(sending, fault, path) })
		defer harmless.Wait()
		defer stop()
	}
	for try := range crashAttempts {
		client := &standin.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Method: http.MethodPost}
		client.Key = c.steadyKey()
		client.Pin(c.nodes[rand.IntN(len(c.nodes))].settings.Callers)
		bounded, cancel := context.WithTimeout(ctx, callerWait)
		_, _ = client.Send(bounded, fmt.Sprintf("%s%d-%d", crashPrefix, fault.Target, try), path, callerWait) // the outcome does not matter
		cancel()
		time.Sleep(crashInterval)
	}
	c.checkQuarantine(ctx)
	c.replacing.Wait()
}

const (
	// harmlessInterval is the time between requests of another tenant for the path of a
	// crashing one, and harmlessPrefix starts their IDs.
	harmlessInterval = 100 * time.Millisecond
	harmlessPrefix   = "h"
)

// sendHarmless sends requests of a tenant whose requests crash nothing to the path of a crashing
// one, each to a random node, until ctx is done. Their answers must not exempt the crashing
// request from the quarantine.
func (c *cluster) sendHarmless(ctx context.Context, fault Fault, target string) {
	client := &standin.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, Method: http.MethodPost}
	for number := 0; ctx.Err() == nil; number++ {
		if keys := c.keys.keysOf(standin.HarmlessTenant); len(keys) > 0 {
			client.Key = keys[0]
			client.Pin(c.nodes[rand.IntN(len(c.nodes))].settings.Callers)
			c.record(requestTarget(client, fmt.Sprintf("%s%d-%d", harmlessPrefix, fault.Target, number), scattered, target))
		}
		time.Sleep(harmlessInterval)
	}
}

// replaceCrashed closes the link of a crashed replica and starts a successor.
func (c *cluster) replaceCrashed(crashed *standin.Replica) {
	c.markLeaving(crashed)
	c.closeLink(crashed)
	c.replacing.Go(func() {
		time.Sleep(crashDowntime)
		if err := crashed.Deregister(); err != nil {
			c.addNote("an ended replica's entry: " + err.Error())
			return
		}
		if err := c.startSuccessor(crashed); err != nil {
			c.addNote("an ended replica's successor: " + err.Error())
		}
	})
}

// closeLink closes the proxy of a replica.
func (c *cluster) closeLink(replica *standin.Replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, link := range c.links {
		if link.Addr().String() == replica.Address() {
			link.Close()
		}
	}
}

// checkQuarantine checks that nodes quarantine only requests that crash replicas.
func (c *cluster) checkQuarantine(ctx context.Context) {
	for _, target := range c.nodes {
		system, err := readSystem(ctx, target.settings.State)
		if err != nil {
			continue // the node may be down or paused
		}
		for _, request := range system.Quarantined {
			if request.Refusing > 0 && !strings.HasSuffix(request.Target, standin.CrashSuffix) {
				c.addNote(fmt.Sprintf("%d nodes refuse %s, which ends no replica", request.Refusing, request.Target))
			}
		}
		return
	}
}

func readSystem(ctx context.Context, address string) (inspect.System, error) {
	var system inspect.System
	bounded, cancel := context.WithTimeout(ctx, callerWait)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+address+"/v1/system", nil)
	if err != nil {
		return system, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return system, err
	}
	defer func() { _ = response.Body.Close() }() // a close error does not affect the decoded body
	return system, json.NewDecoder(response.Body).Decode(&system)
}

// crashRun records what one crashing request did.
type crashRun struct {
	crashes []time.Time
	// firstArrivals is the time of each attempt's first arrival at a replica.
	firstArrivals map[string]time.Time
}

// crashRuns returns the runs by request number.
func (c *checker) crashRuns() map[string]*crashRun {
	runs := make(map[string]*crashRun)
	runOf := func(id string) *crashRun {
		number, _, _ := strings.Cut(id, "-")
		if runs[number] == nil {
			runs[number] = &crashRun{firstArrivals: make(map[string]time.Time)}
		}
		return runs[number]
	}
	for _, replica := range c.cluster.replicas() {
		if by, at := replica.CrashedBy(); by != "" {
			runOf(by).crashes = append(runOf(by).crashes, at)
		}
		for _, arrival := range replica.ArrivalLog() {
			if !strings.HasPrefix(arrival.ID, crashPrefix) || arrival.Misdirected {
				continue
			}
			firstArrivals := runOf(arrival.ID).firstArrivals
			if first, exists := firstArrivals[arrival.ID]; !exists || arrival.At.Before(first) {
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
func (c *checker) checkCrashRuns() {
	for number, run := range c.crashRuns() {
		c.checkCrashRun(number, run)
	}
}

func (c *checker) checkCrashRun(number string, run *crashRun) {
	c.report.Crashed += len(run.crashes)
	if lateAttempts := run.lateAttempts(); lateAttempts > maxLateAttempts {
		c.addFinding("%s ended %d replicas, and %d of its tries reached some later than %v after the third", number, len(run.crashes), lateAttempts, quarantineDelay)
	}
}
