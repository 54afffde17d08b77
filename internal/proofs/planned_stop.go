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

// PlannedStopOptions configures PlannedStop.
type PlannedStopOptions struct {
	// Requests is the minimum number of requests to send.
	Requests int64
	// Callers is the number of concurrent callers, each on a keep-alive
	// connection.
	Callers int
	// RequestInterval is the delay between two requests of a caller. Every
	// fourth caller waits idleFactor times as long, so that idle connections
	// are reused during a stop. Every eighth caller sends slow non-repeatable
	// operations instead of queries.
	RequestInterval time.Duration
	// Stops is the number of daemons to stop, one after the other. A
	// replacement is started before each stop.
	Stops int
	// CallDeadline bounds each non-repeatable operation; 0 selects the
	// daemon's default.
	CallDeadline time.Duration
	// FreezeDuration is how long each daemon is suspended during its stop,
	// starting FreezeDelay after the signal; 0 disables it.
	FreezeDuration, FreezeDelay time.Duration
}

// PlannedStopReport counts requests by outcome.
type PlannedStopReport struct {
	Requests int64 `json:"requests"`
	Answered int64 `json:"answered"`
	// ConnectionsRefused counts refused connections, after which the caller
	// switched to another daemon without having sent a request.
	ConnectionsRefused int64 `json:"moved"`
	// Refused counts "not run" responses.
	Refused int64 `json:"refused"`
	// Failed counts other error responses.
	Failed int64 `json:"failed"`
	// CutOff counts requests that were sent and got no complete response.
	CutOff int64 `json:"cut_off"`
	// Stops is the number of daemons that shut down cleanly.
	Stops int `json:"stops"`
	// FirstCutOff is the error of the first request counted in CutOff.
	FirstCutOff string `json:"first_cut_off,omitempty"`
	// FirstRefused and FirstFailed are the first errors counted in Refused
	// and Failed.
	FirstRefused string `json:"first_refused,omitempty"`
	FirstFailed  string `json:"first_failed,omitempty"`
}

// String returns the report as a single line.
func (r PlannedStopReport) String() string {
	line := fmt.Sprintf("planned stops %d, requests %d, answered %d, not run %d, failed %d, cut off %d (connections refused %d)",
		r.Stops, r.Requests, r.Answered, r.Refused, r.Failed, r.CutOff, r.ConnectionsRefused)
	for _, first := range []string{r.FirstRefused, r.FirstFailed, r.FirstCutOff} {
		if first != "" {
			line += "; first: " + first
		}
	}
	return line
}

const (
	// serviceTimeFactor slows the replicas so that queries are always in flight.
	serviceTimeFactor = 5
	// operationDuration is the service time of non-repeatable operations. It
	// exceeds the stop grace period of the daemons.
	operationDuration = 700 * time.Millisecond
	// idleFactor multiplies RequestInterval for every idleCallerEvery-th caller.
	idleFactor            = 100
	idleCallerEvery       = 4
	operationCallerEvery  = 8
	operationCallerOffset = 1
)

// PlannedStop stops daemons under load and counts request outcomes.
func PlannedStop(ctx context.Context, cluster *Cluster, options PlannedStopOptions) (PlannedStopReport, error) {
	stops := 0
	report, err := runUnderLoad(ctx, cluster, options, func(load *loadGenerator) error {
		var err error
		stops, err = stopSequentially(ctx, cluster, load, options)
		return err
	})
	report.Stops = stops
	return report, err
}

// runUnderLoad slows the replicas and sends requests until work has returned and
// the minimum number of requests has been sent.
func runUnderLoad(ctx context.Context, cluster *Cluster, options PlannedStopOptions, work func(*loadGenerator) error) (PlannedStopReport, error) {
	if err := cluster.replicas.setTiming(ctx, isCallGroup, backend.Timing{Base: operationDuration}); err != nil {
		return PlannedStopReport{}, err
	}
	if err := cluster.replicas.setFaults(ctx, isSearchGroup, backend.Faults{ServiceFactor: serviceTimeFactor}); err != nil {
		return PlannedStopReport{}, err
	}
	load := &loadGenerator{minRequests: options.Requests, pause: options.RequestInterval, callDeadline: options.CallDeadline}
	for _, process := range cluster.Alive() {
		load.add(process.callersURL())
	}
	var group errgroup.Group
	for number := range options.Callers {
		group.Go(func() error { return load.runCaller(ctx, number) })
	}
	err := work(load)
	load.workDone.Store(true)
	err = errors.Join(err, group.Wait())
	return load.report, err
}

// stopSequentially stops daemons one by one, spread evenly over the requests.
func stopSequentially(ctx context.Context, cluster *Cluster, load *loadGenerator, options PlannedStopOptions) (int, error) {
	for done := range options.Stops {
		target := options.Requests * int64(done+1) / int64(options.Stops+1)
		err := await(ctx, "the request count that triggers the next stop", func() (bool, error) { return load.sent() >= target, nil })
		if err != nil {
			return done, err
		}
		if err := replaceDaemon(ctx, cluster, load, options); err != nil {
			return done, err
		}
	}
	return options.Stops, nil
}

// replaceDaemon starts a daemon, waits until it is ready, and stops the oldest.
func replaceDaemon(ctx context.Context, cluster *Cluster, load *loadGenerator, options PlannedStopOptions) error {
	stopping := cluster.oldestAlive()
	added, err := cluster.AddDaemon(ctx)
	if err != nil {
		return err
	}
	err = await(ctx, "the new daemon to be ready", func() (bool, error) { return isReady(ctx, added), nil })
	if err != nil {
		return err
	}
	load.add(added.callersURL())
	if err := stopping.Stop(); err != nil {
		return err
	}
	if err := freezeProcess(ctx, stopping, options); err != nil {
		return err
	}
	if err := stopping.Wait(ctx); err != nil {
		return err
	}
	// Another process may reuse the port once the daemon has exited.
	load.remove(stopping.callersURL())
	return nil
}

// freezeProcess suspends a stopping daemon for options.FreezeDuration.
func freezeProcess(ctx context.Context, process *Process, options PlannedStopOptions) error {
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

// isReady reports whether the readiness probe of a daemon succeeds.
func isReady(ctx context.Context, process *Process) bool {
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

// loadGenerator sends requests over keep-alive connections until the minimum has
// been sent and the concurrent work is done.
type loadGenerator struct {
	minRequests  int64
	pause        time.Duration
	workDone     atomic.Bool
	callDeadline time.Duration

	mutex  sync.Mutex
	urls   []string
	report PlannedStopReport
}

func (l *loadGenerator) sent() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.report.Requests
}

func (l *loadGenerator) add(url string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.urls = append(l.urls, url)
}

func (l *loadGenerator) remove(url string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.urls = slices.DeleteFunc(l.urls, func(one string) bool { return one == url })
}

func (l *loadGenerator) url(turn int) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.urls[turn%len(l.urls)]
}

// runCaller runs one caller. It stays with a daemon until a connection is refused
// or cut off, or the daemon is draining, and then switches to the next.
func (l *loadGenerator) runCaller(ctx context.Context, number int) error {
	transport := client.NewTransport()
	transport.MaxIdleConnsPerHost = 1
	defer transport.CloseIdleConnections()
	httpClient := &http.Client{Transport: transport}
	turn, pause := number, l.pause
	if number%idleCallerEvery == 0 {
		pause *= idleFactor
	}
	for ctx.Err() == nil && (l.sent() < l.minRequests || !l.workDone.Load()) {
		err := l.request(ctx, client.New(l.url(turn), httpClient), number)
		if l.record(err) {
			turn++
		}
		sleep(ctx, pause)
	}
	return eris.Wrap(ctx.Err(), "send steady load")
}

// request sends a query, or a slow non-repeatable operation for every
// operationCallerEvery-th caller.
func (l *loadGenerator) request(ctx context.Context, daemon *client.Client, number int) error {
	if number%operationCallerEvery != operationCallerOffset {
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

// record counts an outcome and reports whether the caller should switch daemons.
func (l *loadGenerator) record(err error) (move bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if isDialError(err) {
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
		setFirst(&l.report.FirstRefused, err)
		return problem.Kind == string(failure.Draining)
	case errors.As(err, &problem):
		l.report.Failed++
		setFirst(&l.report.FirstFailed, err)
	default:
		l.report.CutOff++
		setFirst(&l.report.FirstCutOff, err)
		return true
	}
	return false
}

func setFirst(first *string, err error) {
	if *first == "" {
		*first = err.Error()
	}
}

// isDialError reports whether err occurred while the connection was dialed.
func isDialError(err error) bool {
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
