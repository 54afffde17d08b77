package proofs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/corpus"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/standin/platform"
)

// PlannedStopOptions say how much load there is while daemons are stopped.
type PlannedStopOptions struct {
	// Requests is the least number of requests to send.
	Requests int64
	// Callers send at the same time, each on a kept-alive connection.
	Callers int
	// RequestInterval is what a caller waits between two requests; each fourth caller
	// waits sleepyFactor times as long, so that idle connections are used
	// again during a stop. Each eighth caller sends slow operations that may
	// not be repeated in place of queries.
	RequestInterval time.Duration
	// Stops is the number of daemons to stop, one after the other; each is
	// replaced once it has ended.
	Stops int
	// CallDeadline is the time allowed for an operation that may not be repeated; 0 leaves
	// it to the daemons.
	CallDeadline time.Duration
	// FreezeDuration is for how long each daemon stands still in its stop, FreezeDelay after the
	// signal; 0 means not at all.
	FreezeDuration, FreezeDelay time.Duration
}

// PlannedStopReport counts what became of the requests.
type PlannedStopReport struct {
	Requests int64 `json:"requests"`
	Answered int64 `json:"answered"`
	// ConnectionsRefused counts connections that were refused, after which the caller went
	// to another daemon: nothing had been sent.
	ConnectionsRefused int64 `json:"moved"`
	// Refused counts answers that say "not run".
	Refused int64 `json:"refused"`
	// Failed counts other error answers.
	Failed int64 `json:"failed"`
	// CutOff counts requests that were sent and got no whole answer.
	CutOff int64 `json:"cut_off"`
	// Stops is the number of daemons that ended as planned.
	Stops int `json:"stops"`
	// FirstCutOff describes the first.
	FirstCutOff string `json:"first_cut_off,omitempty"`
	// FirstRefused and FirstFailed describe the first of those answers.
	FirstRefused string `json:"first_refused,omitempty"`
	FirstFailed  string `json:"first_failed,omitempty"`
}

// String is one line.
func (r PlannedStopReport) String() string {
	line := fmt.Sprintf("planned stops %d, requests %d, answered %d, refused as not run %d, failed %d, cut off %d (moved on refused connections %d)",
		r.Stops, r.Requests, r.Answered, r.Refused, r.Failed, r.CutOff, r.ConnectionsRefused)
	for _, first := range []string{r.FirstRefused, r.FirstFailed, r.FirstCutOff} {
		if first != "" {
			line += "; first: " + first
		}
	}
	return line
}

const (
	// slowFactor makes the replicas slow, so that queries are in flight at any
	// moment.
	slowFactor = 5
	// slowCall is how long the operations that may not be repeated take:
	// longer than the grace time of the daemons that are stopped.
	slowCall = 700 * time.Millisecond
	// sleepyFactor and the shares of callers below make several kinds of them.
	sleepyFactor  = 100
	oneSleepyOf   = 4
	oneCallingOf  = 8
	callingOffset = 1
)

// PlannedStop stops daemons under load and counts the requests cut off.
func PlannedStop(ctx context.Context, cluster *Cluster, options PlannedStopOptions) (PlannedStopReport, error) {
	stops := 0
	report, err := underLoad(ctx, cluster, options, func(load *steadyLoad) error {
		var err error
		stops, err = stopInTurn(ctx, cluster, load, options)
		return err
	})
	report.Stops = stops
	return report, err
}

// underLoad slows the replicas down, and sends requests while some work is done, and until
// there were enough.
func underLoad(ctx context.Context, cluster *Cluster, options PlannedStopOptions, work func(*steadyLoad) error) (PlannedStopReport, error) {
	for _, server := range cluster.Platform.Backends() {
		if server.Replica.Options().Group == platform.RefundService {
			server.Replica.SetTiming(backend.Timing{Base: slowCall})
			continue
		}
		server.Replica.SetFaults(backend.Faults{ServiceFactor: slowFactor})
	}
	load := &steadyLoad{least: options.Requests, pause: options.RequestInterval, callDeadline: options.CallDeadline}
	for _, process := range cluster.Alive() {
		load.add(process.callersURL())
	}
	var group errgroup.Group
	for number := range options.Callers {
		group.Go(func() error { return load.call(ctx, number) })
	}
	err := work(load)
	load.stopsDone.Store(true)
	err = errors.Join(err, group.Wait())
	return load.report, err
}

// stopInTurn stops one daemon after another, spread over the requests.
func stopInTurn(ctx context.Context, cluster *Cluster, load *steadyLoad, options PlannedStopOptions) (int, error) {
	for done := range options.Stops {
		target := options.Requests * int64(done+1) / int64(options.Stops+1)
		err := await(ctx, "enough requests", func() (bool, error) { return load.sent() >= target, nil })
		if err != nil {
			return done, err
		}
		if err := replaceDaemon(ctx, cluster, load, options); err != nil {
			return done, err
		}
	}
	return options.Stops, nil
}

// replaceDaemon starts another daemon, and stops the oldest as planned.
func replaceDaemon(ctx context.Context, cluster *Cluster, load *steadyLoad, options PlannedStopOptions) error {
	stopping := cluster.oldestAlive()
	added, err := cluster.AddDaemon(ctx)
	if err != nil {
		return err
	}
	err = await(ctx, "the new daemon to be ready", func() (bool, error) { return ready(ctx, added), nil })
	if err != nil {
		return err
	}
	load.add(added.callersURL())
	if err := stopping.Stop(); err != nil {
		return err
	}
	if err := freeze(ctx, stopping, options); err != nil {
		return err
	}
	if err := stopping.Wait(ctx); err != nil {
		return err
	}
	// its port may be given to any other process from now on
	load.remove(stopping.callersURL())
	return nil
}

// freeze lets a daemon stand still for a while.
func freeze(ctx context.Context, process *Process, options PlannedStopOptions) error {
	if options.FreezeDuration == 0 {
		return nil
	}
	sleep(ctx, options.FreezeDelay)
	if err := process.Freeze(); err != nil {
		return err
	}
	sleep(ctx, options.FreezeDuration)
	return process.Resume()
}

// ready asks a daemon whether it should be sent requests.
func ready(ctx context.Context, process *Process) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+process.Addresses.Administration+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// steadyLoad sends queries over kept-alive connections until enough were sent
// and all stops are done.
type steadyLoad struct {
	least     int64
	pause     time.Duration
	stopsDone atomic.Bool
	// callDeadline is PlannedStopOptions'.
	callDeadline time.Duration

	mutex  sync.Mutex
	urls   []string
	report PlannedStopReport
}

func (l *steadyLoad) sent() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.report.Requests
}

func (l *steadyLoad) add(url string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.urls = append(l.urls, url)
}

func (l *steadyLoad) remove(url string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.urls = slices.DeleteFunc(l.urls, func(one string) bool { return one == url })
}

func (l *steadyLoad) url(turn int) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.urls[turn%len(l.urls)]
}

// call is one caller. It stays with a daemon while its connections are
// accepted, and goes to the next when they are refused.
func (l *steadyLoad) call(ctx context.Context, number int) error {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	through := &http.Client{Transport: transport}
	turn, pause := number, l.pause
	if number%oneSleepyOf == 0 {
		pause *= sleepyFactor
	}
	for ctx.Err() == nil && (l.sent() < l.least || !l.stopsDone.Load()) {
		err := l.request(ctx, client.New(l.url(turn), through), number)
		if l.count(err) {
			turn++
		}
		sleep(ctx, pause)
	}
	return eris.Wrap(ctx.Err(), "send steady load")
}

// request sends a query, or for some callers a slow operation that may not be
// repeated.
func (l *steadyLoad) request(ctx context.Context, daemon *client.Client, number int) error {
	if number%oneCallingOf != callingOffset {
		_, err := daemon.Query(ctx, searchQuery(number))
		return err
	}
	_, err := daemon.Call(ctx, client.Call{
		Group: callerGroup, Key: ulid.Make().String(), Service: platform.RefundService, Operation: "credit",
		DeadlineMilliseconds: l.callDeadline.Milliseconds(),
	})
	return err
}

func searchQuery(number int) client.Query {
	return client.Query{Group: callerGroup, Caller: fmt.Sprintf("console-%d", number), Corpus: corpus.Cues, Phrase: "good"}
}

// count files one outcome, and tells whether the caller should go to another
// daemon.
func (l *steadyLoad) count(err error) (move bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if refusedConnection(err) {
		l.report.ConnectionsRefused++
		return true
	}
	l.report.Requests++
	var problem *client.Problem
	switch {
	case err == nil:
		l.report.Answered++
	case errors.As(err, &problem) && problem.NotRun:
		l.report.Refused++
		keepFirst(&l.report.FirstRefused, err)
		return problem.Kind == string(failure.Draining)
	case errors.As(err, &problem):
		l.report.Failed++
		keepFirst(&l.report.FirstFailed, err)
	default:
		l.report.CutOff++
		keepFirst(&l.report.FirstCutOff, err)
		return true
	}
	return false
}

func keepFirst(first *string, err error) {
	if *first == "" {
		*first = err.Error()
	}
}

// refusedConnection tells an error that came before a connection was there.
func refusedConnection(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
