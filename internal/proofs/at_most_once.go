package proofs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/internal/standin/platform"
)

// AtMostOnceOptions configures AtMostOnce.
type AtMostOnceOptions struct {
	// Keys is the number of operations.
	Keys int
	// Callers is the number of concurrent callers. Two callers share each
	// even-numbered key.
	Callers int
	// MaxAttempts limits how often one caller sends a key.
	MaxAttempts int
	// Rounds is the number of times that every fault is injected.
	Rounds int
	// Seed determines the daemons called and the call timeouts.
	Seed uint64
}

// AtMostOnceReport counts attempts by outcome and executions by key.
type AtMostOnceReport struct {
	Keys     int `json:"keys"`
	Attempts int `json:"attempts"`
	// Results counts attempts that returned a result. Repeated counts those
	// whose result was replayed from an earlier attempt.
	Results  int `json:"results"`
	Repeated int `json:"repeated"`
	NotRun   int `json:"not_run"`
	// Unknown counts attempts whose outcome was not reported to the caller.
	Unknown int `json:"unknown"`
	Faults  int `json:"faults"`
	// Executed is the number of keys that a back end executed. MaxExecutions
	// is the highest number of executions of one key.
	Executed      int `json:"executed"`
	MaxExecutions int `json:"most_executions"`
	// Violations describes each violated guarantee.
	Violations []string `json:"violations"`
}

// String returns the report as a single line.
func (r AtMostOnceReport) String() string {
	return fmt.Sprintf("keys %d, attempts %d (results %d, replayed %d; not run %d; unknown %d), faults %d, keys executed %d, max executions per key %d, violations %d",
		r.Keys, r.Attempts, r.Results, r.Repeated, r.NotRun, r.Unknown, r.Faults, r.Executed, r.MaxExecutions, len(r.Violations))
}

const (
	// callDeadline is short so that a daemon can be frozen past it quickly.
	callDeadline = 400 * time.Millisecond
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 2 * callDeadline
	// callersPerKey is the number of callers that contend for a key.
	callersPerKey = 2
)

// AtMostOnce sends the same calls through several daemons while daemons are
// killed and frozen, the store fails, and back ends drop responses. It stops all
// daemons before it counts executions, so that no call is still in flight.
func AtMostOnce(ctx context.Context, cluster *Cluster, options AtMostOnceOptions) (AtMostOnceReport, error) {
	run := &atMostOnceRun{cluster: cluster, options: options, attempts: make(map[string][]attempt)}
	var group errgroup.Group
	for number := range options.Callers {
		group.Go(func() error { return run.runCaller(ctx, number) })
	}
	err := run.injectFaults(ctx)
	run.faultsDone.Store(true)
	err = errors.Join(err, group.Wait())
	if err != nil {
		return AtMostOnceReport{}, err
	}
	if err := cluster.StopAll(ctx); err != nil {
		return AtMostOnceReport{}, err
	}
	return run.buildReport(ctx)
}

// outcome is the result of an attempt as reported to the caller.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeResult
	outcomeReplayed
	outcomeNotRun
)

// attempt records one sending of a key.
type attempt struct {
	outcome outcome
	// executions is the execution count that the back end returned with a result.
	executions int
}

type atMostOnceRun struct {
	cluster    *Cluster
	options    AtMostOnceOptions
	next       atomic.Int64
	faultsDone atomic.Bool
	faults     int

	mutex    sync.Mutex
	attempts map[string][]attempt
}

// runCaller sends keys until all keys have been tried and all faults injected.
func (r *atMostOnceRun) runCaller(ctx context.Context, number int) error {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(number)))
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer httpClient.CloseIdleConnections()
	for ctx.Err() == nil {
		turn := int(r.next.Add(1) - 1)
		if turn >= r.options.Keys*callersPerKey && r.faultsDone.Load() {
			return nil
		}
		if key := turn / callersPerKey; key%2 == 0 || turn%callersPerKey == 0 {
			r.sendUntilResult(ctx, httpClient, random, key)
		}
	}
	return eris.Wrap(ctx.Err(), "make calls")
}

// sendUntilResult sends a key through random daemons until it gets a result or
// exhausts its attempts. Odd-numbered keys are sent once by a single caller, so
// that a "not run" response can be checked against the back ends.
func (r *atMostOnceRun) sendUntilResult(ctx context.Context, httpClient *http.Client, random *rand.Rand, number int) {
	key := fmt.Sprintf("refund-%d", number)
	attempts := r.options.MaxAttempts
	if number%2 == 1 {
		attempts = 1
	}
	for range attempts {
		sent := r.send(ctx, httpClient, random, key)
		r.mutex.Lock()
		r.attempts[key] = append(r.attempts[key], sent)
		r.mutex.Unlock()
		if sent.outcome == outcomeResult || sent.outcome == outcomeReplayed {
			return
		}
	}
}

func (r *atMostOnceRun) send(ctx context.Context, httpClient *http.Client, random *rand.Rand, key string) attempt {
	timeout := callerTimeout
	if random.IntN(4) == 0 { // time out at a random point of a typical call
		timeout = time.Duration(random.IntN(20)) * time.Millisecond
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := r.cluster.randomURL(random)
	result, err := client.New(url, httpClient).Call(callCtx, client.Call{
		Group: callerGroup, Key: key, Service: platform.RefundService, Operation: "credit",
		DeadlineMilliseconds: callDeadline.Milliseconds(),
	})
	return classifyAttempt(result, err)
}

func classifyAttempt(result client.CallResult, err error) attempt {
	var problem *client.Problem
	switch {
	case err == nil:
		var ran backend.CallOutcome
		_ = json.Unmarshal(result.Result, &ran) // an undecodable result counts as zero executions
		made := attempt{outcome: outcomeResult, executions: ran.Executions}
		if result.Repeated {
			made.outcome = outcomeReplayed
		}
		return made
	case isDialError(err), errors.As(err, &problem) && problem.NotRun:
		return attempt{outcome: outcomeNotRun}
	default:
		return attempt{outcome: outcomeUnknown}
	}
}

// buildReport compares the outcomes reported to callers with the executions
// recorded by the back ends.
func (r *atMostOnceRun) buildReport(ctx context.Context) (AtMostOnceReport, error) {
	executions, err := r.cluster.replicas.executions(ctx)
	if err != nil {
		return AtMostOnceReport{}, err
	}
	report := AtMostOnceReport{Keys: len(r.attempts), Executed: len(executions), Faults: r.faults, Violations: []string{}}
	for key, count := range executions {
		report.MaxExecutions = max(report.MaxExecutions, count)
		if count > 1 {
			report.addViolation("%s was executed %d times", key, count)
		}
	}
	for key, attempts := range r.attempts {
		report.checkKey(key, attempts, executions[key])
	}
	return report, nil
}

func (r *AtMostOnceReport) checkKey(key string, attempts []attempt, executions int) {
	allNotRun := true
	for _, sent := range attempts {
		r.Attempts++
		allNotRun = allNotRun && sent.outcome == outcomeNotRun
		switch sent.outcome {
		case outcomeResult, outcomeReplayed:
			r.Results++
			if sent.outcome == outcomeReplayed {
				r.Repeated++
			}
			if sent.executions != 1 || executions == 0 {
				r.addViolation("%s: result reports %d executions, back ends recorded %d", key, sent.executions, executions)
			}
		case outcomeNotRun:
			r.NotRun++
		case outcomeUnknown:
			r.Unknown++
		}
	}
	if allNotRun && executions > 0 {
		r.addViolation("%s: every attempt was reported as not run, but the operation was executed", key)
	}
}

func (r *AtMostOnceReport) addViolation(format string, values ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, values...))
}

// injectFaults injects each fault in turn, with a minimum number of calls
// between two faults.
func (r *atMostOnceRun) injectFaults(ctx context.Context) error {
	faults := []func(context.Context) error{
		r.loseAcknowledgements, r.freezeDaemon, r.resetAfterExecution, r.storeOutage, r.killDaemon, r.resetBeforeExecution, r.freezeDuringOutage,
	}
	for round := range r.options.Rounds {
		for number, fault := range faults {
			if err := r.awaitCalls(ctx, r.callsPerFault()); err != nil {
				return err
			}
			if err := fault(ctx); err != nil {
				return eris.Wrapf(err, "inject fault %d of round %d", number, round)
			}
			r.faults++
		}
	}
	return nil
}

func (r *atMostOnceRun) callsPerFault() int64 {
	const faultsInRound = 7
	return int64(r.options.Keys*callersPerKey/(r.options.Rounds*faultsInRound) + 1)
}

// awaitCalls waits until callers have started the given number of further keys.
func (r *atMostOnceRun) awaitCalls(ctx context.Context, number int64) error {
	target := r.next.Load() + number
	return await(ctx, "calls to be made", func() (bool, error) { return r.next.Load() >= target, nil })
}

func (r *atMostOnceRun) loseAcknowledgements(context.Context) error {
	const lost = 10
	return r.cluster.Platform.Store.SetFaults(kv.Faults{LoseAcknowledgements: lost})
}

func (r *atMostOnceRun) storeOutage(ctx context.Context) error {
	if err := r.cluster.Platform.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		return err
	}
	err := r.awaitCalls(ctx, int64(r.options.Callers))
	return errors.Join(err, r.cluster.Platform.Store.SetFaults(kv.Faults{}))
}

// freezeDaemon suspends a daemon past every call deadline, then resumes it with
// its calls still in flight.
func (r *atMostOnceRun) freezeDaemon(ctx context.Context) error {
	frozen := r.cluster.oldestAlive()
	if err := frozen.Freeze(); err != nil {
		return err
	}
	sleep(ctx, 2*callDeadline)
	return frozen.Resume()
}

func (r *atMostOnceRun) freezeDuringOutage(ctx context.Context) error {
	frozen := r.cluster.oldestAlive()
	if err := frozen.Freeze(); err != nil {
		return err
	}
	err := r.storeOutage(ctx)
	sleep(ctx, 2*callDeadline)
	return errors.Join(err, frozen.Resume())
}

// killDaemon kills a daemon and starts a replacement.
func (r *atMostOnceRun) killDaemon(ctx context.Context) error {
	r.cluster.oldestAlive().Kill()
	_, err := r.cluster.AddDaemon(ctx)
	return err
}

// resetAfterExecution makes back ends execute some operations and then reset
// the connection.
func (r *atMostOnceRun) resetAfterExecution(ctx context.Context) error {
	return r.cluster.replicas.setFaults(ctx, isCallGroup, backend.Faults{Reply: backend.FaultResetAfter, ReplyCount: 3})
}

func (r *atMostOnceRun) resetBeforeExecution(ctx context.Context) error {
	return r.cluster.replicas.setFaults(ctx, isCallGroup, backend.Faults{Reply: backend.FaultResetBefore, ReplyCount: 3})
}
