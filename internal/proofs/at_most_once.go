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

// AtMostOnceOptions say how many calls are made while faults come.
type AtMostOnceOptions struct {
	// Keys is the number of operations.
	Keys int
	// Callers are at work at the same time; two of them share each key.
	Callers int
	// MaxAttempts is the greatest number of times that a caller sends a key.
	MaxAttempts int
	// Rounds is how often the whole list of faults comes.
	Rounds int
	// Seed chooses daemons and the moments of giving up.
	Seed uint64
}

// AtMostOnceReport counts what became of the operations.
type AtMostOnceReport struct {
	Keys     int `json:"keys"`
	Attempts int `json:"attempts"`
	// Results are attempts that got the operation's result; Repeated are those
	// of them that were told a remembered one.
	Results  int `json:"results"`
	Repeated int `json:"repeated"`
	NotRun   int `json:"not_run"`
	// Unknown are attempts whose outcome the caller was not told.
	Unknown int `json:"unknown"`
	Faults  int `json:"faults"`
	// Executed is the number of keys that a back end ran; MostExecutions the
	// greatest number of executions of one key.
	Executed      int `json:"executed"`
	MaxExecutions int `json:"most_executions"`
	// Violations describe each broken promise.
	Violations []string `json:"violations"`
}

// String is one line.
func (r AtMostOnceReport) String() string {
	return fmt.Sprintf("keys %d, attempts %d (results %d, of them remembered %d; not run %d; unknown %d), faults %d, keys executed %d, most executions of a key %d, violations %d",
		r.Keys, r.Attempts, r.Results, r.Repeated, r.NotRun, r.Unknown, r.Faults, r.Executed, r.MaxExecutions, len(r.Violations))
}

const (
	// callDeadline is short, so that freezing a daemon for longer is quick.
	callDeadline = 400 * time.Millisecond
	// callerPatience is how long a caller waits for a frozen daemon.
	callerPatience = 2 * callDeadline
	// callersPerKey race for each key.
	callersPerKey = 2
)

// AtMostOnce sends the same calls through several daemons while daemons are
// killed and frozen, the store fails, and back ends lose their answers. It
// stops all daemons before it counts, so that nothing is still on its way.
func AtMostOnce(ctx context.Context, cluster *Cluster, options AtMostOnceOptions) (AtMostOnceReport, error) {
	run := &callRun{cluster: cluster, options: options, attempts: make(map[string][]attempt)}
	var group errgroup.Group
	for number := range options.Callers {
		group.Go(func() error { return run.caller(ctx, number) })
	}
	err := run.sabotage(ctx)
	run.faultsDone.Store(true)
	err = errors.Join(err, group.Wait())
	if err != nil {
		return AtMostOnceReport{}, err
	}
	if err := cluster.StopAll(ctx); err != nil {
		return AtMostOnceReport{}, err
	}
	return run.judge(), nil
}

// outcome is what a caller was told.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeResult
	outcomeRemembered
	outcomeNotRun
)

// attempt is one sending of a key.
type attempt struct {
	outcome outcome
	// executions is what the back end said of the key, with a result.
	executions int
}

type callRun struct {
	cluster    *Cluster
	options    AtMostOnceOptions
	next       atomic.Int64
	faultsDone atomic.Bool
	faults     int

	mutex    sync.Mutex
	attempts map[string][]attempt
}

// caller takes key after key until all keys were tried and all faults came.
func (r *callRun) caller(ctx context.Context, number int) error {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(number)))
	through := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer through.CloseIdleConnections()
	for ctx.Err() == nil {
		turn := int(r.next.Add(1) - 1)
		if turn >= r.options.Keys*callersPerKey && r.faultsDone.Load() {
			return nil
		}
		if key := turn / callersPerKey; key%2 == 0 || turn%callersPerKey == 0 {
			r.repeat(ctx, through, random, key)
		}
	}
	return eris.Wrap(ctx.Err(), "make calls")
}

// repeat sends a key again and again, each time through any daemon, until its
// result is there. Every second key is sent once and by one caller alone, so
// that "not run" can be held against the back ends.
func (r *callRun) repeat(ctx context.Context, through *http.Client, random *rand.Rand, number int) {
	key := fmt.Sprintf("refund-%d", number)
	attempts := r.options.MaxAttempts
	if number%2 == 1 {
		attempts = 1
	}
	for range attempts {
		made := r.send(ctx, through, random, key)
		r.mutex.Lock()
		r.attempts[key] = append(r.attempts[key], made)
		r.mutex.Unlock()
		if made.outcome == outcomeResult || made.outcome == outcomeRemembered {
			return
		}
	}
}

func (r *callRun) send(ctx context.Context, through *http.Client, random *rand.Rand, key string) attempt {
	patience := callerPatience
	if random.IntN(4) == 0 { // give up at any moment of a usual call
		patience = time.Duration(random.IntN(20)) * time.Millisecond
	}
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	url := r.cluster.randomURL(random)
	result, err := client.New(url, through).Call(bounded, client.Call{
		Group: callerGroup, Key: key, Service: platform.RefundService, Operation: "credit",
		DeadlineMilliseconds: callDeadline.Milliseconds(),
	})
	return judgeAttempt(result, err)
}

func judgeAttempt(result client.CallResult, err error) attempt {
	var problem *client.Problem
	switch {
	case err == nil:
		var ran backend.CallOutcome
		_ = json.Unmarshal(result.Result, &ran) // a wrong result counts as no execution
		made := attempt{outcome: outcomeResult, executions: ran.Executions}
		if result.Repeated {
			made.outcome = outcomeRemembered
		}
		return made
	case refusedConnection(err), errors.As(err, &problem) && problem.NotRun:
		return attempt{outcome: outcomeNotRun}
	default:
		return attempt{outcome: outcomeUnknown}
	}
}

// judge compares what callers were told with what back ends did.
func (r *callRun) judge() AtMostOnceReport {
	executions := r.cluster.Platform.Executions()
	report := AtMostOnceReport{Keys: len(r.attempts), Executed: len(executions), Faults: r.faults, Violations: []string{}}
	for key, count := range executions {
		report.MaxExecutions = max(report.MaxExecutions, count)
		if count > 1 {
			report.violate("%s ran %d times", key, count)
		}
	}
	for key, attempts := range r.attempts {
		report.judgeKey(key, attempts, executions[key])
	}
	return report
}

func (r *AtMostOnceReport) judgeKey(key string, attempts []attempt, executions int) {
	allNotRun := true
	for _, made := range attempts {
		r.Attempts++
		allNotRun = allNotRun && made.outcome == outcomeNotRun
		switch made.outcome {
		case outcomeResult, outcomeRemembered:
			r.Results++
			if made.outcome == outcomeRemembered {
				r.Repeated++
			}
			if made.executions != 1 || executions == 0 {
				r.violate("%s: a result says %d executions, the back ends %d", key, made.executions, executions)
			}
		case outcomeNotRun:
			r.NotRun++
		case outcomeUnknown:
			r.Unknown++
		}
	}
	if allNotRun && executions > 0 {
		r.violate("%s: every attempt was told not run, and it ran", key)
	}
}

func (r *AtMostOnceReport) violate(format string, values ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, values...))
}

// sabotage brings each fault in turn, once enough calls were made since the
// last.
func (r *callRun) sabotage(ctx context.Context) error {
	faults := []func(context.Context) error{
		r.loseAcknowledgements, r.freezeDaemon, r.loseAnswers, r.storeOutage, r.killDaemon, r.resetBackends, r.freezeDuringOutage,
	}
	for round := range r.options.Rounds {
		for number, fault := range faults {
			if err := r.awaitCalls(ctx, r.callsPerFault()); err != nil {
				return err
			}
			if err := fault(ctx); err != nil {
				return eris.Wrapf(err, "fault %d of round %d", number, round)
			}
			r.faults++
		}
	}
	return nil
}

func (r *callRun) callsPerFault() int64 {
	const faultsInRound = 7
	return int64(r.options.Keys*callersPerKey/(r.options.Rounds*faultsInRound) + 1)
}

// awaitCalls waits until callers have begun a number of further keys.
func (r *callRun) awaitCalls(ctx context.Context, number int64) error {
	target := r.next.Load() + number
	return await(ctx, "calls to be made", func() (bool, error) { return r.next.Load() >= target, nil })
}

func (r *callRun) loseAcknowledgements(context.Context) error {
	const lost = 10
	return r.cluster.Platform.Store.SetFaults(kv.Faults{LoseAcknowledgements: lost})
}

func (r *callRun) storeOutage(ctx context.Context) error {
	if err := r.cluster.Platform.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		return err
	}
	err := r.awaitCalls(ctx, int64(r.options.Callers))
	return errors.Join(err, r.cluster.Platform.Store.SetFaults(kv.Faults{}))
}

// freezeDaemon stops a daemon for longer than any deadline, then lets it run
// on with the calls that it had.
func (r *callRun) freezeDaemon(ctx context.Context) error {
	frozen := r.cluster.oldestAlive()
	if err := frozen.Freeze(); err != nil {
		return err
	}
	sleep(ctx, 2*callDeadline)
	return frozen.Resume()
}

func (r *callRun) freezeDuringOutage(ctx context.Context) error {
	frozen := r.cluster.oldestAlive()
	if err := frozen.Freeze(); err != nil {
		return err
	}
	err := r.storeOutage(ctx)
	sleep(ctx, 2*callDeadline)
	return errors.Join(err, frozen.Resume())
}

// killDaemon ends a daemon at once and starts another.
func (r *callRun) killDaemon(ctx context.Context) error {
	r.cluster.oldestAlive().Kill()
	_, err := r.cluster.AddDaemon(ctx)
	return err
}

// loseAnswers makes the back ends run some operations and cut the connection.
func (r *callRun) loseAnswers(context.Context) error {
	r.faultBackends(backend.Faults{Reply: backend.FaultResetAfter, ReplyCount: 3})
	return nil
}

func (r *callRun) resetBackends(context.Context) error {
	r.faultBackends(backend.Faults{Reply: backend.FaultResetBefore, ReplyCount: 3})
	return nil
}

func (r *callRun) faultBackends(faults backend.Faults) {
	for _, server := range r.cluster.Platform.Backends() {
		if server.Replica.Options().Group == platform.RefundService {
			server.Replica.SetFaults(faults)
		}
	}
}
