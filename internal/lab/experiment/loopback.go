package experiment

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/lab/cluster"
	"github.com/doorpond/doorpond/internal/lab/load"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
	standin "github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/standin/platform"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/testdata"
)

const (
	// loopbackConcurrency is the greatest number of queries in flight.
	loopbackConcurrency = 10_000
	// loopbackPhrase is what every query asks for; the replicas are hollow.
	loopbackPhrase = "any"
)

// loopbackRun is a measurement of real daemons over real connections.
type loopbackRun struct {
	*measurement
	platform *platform.Platform
	cluster  *cluster.Cluster
	targets  []*target
	// everStarted has the replicas that were killed, too.
	everStarted []*standin.Replica
	arrived     int64 // at back ends, up to the last sample

	started time.Time
	mutex   sync.Mutex // of the recorder
}

// runLoopback starts a platform and daemons for one measurement and ends them.
func runLoopback(ctx context.Context, measured *measurement) (err error) {
	running := &loopbackRun{measurement: measured}
	running.platform, err = platform.Start(ctx, running.platformConfig())
	if err != nil {
		return eris.Wrap(err, "start the platform")
	}
	defer func() { err = errors.Join(err, running.platform.Close()) }()
	running.cluster, err = cluster.Start(ctx, cluster.Options{
		Places: running.daemonPlaces(), StoreURL: running.platform.StoreURL(), MachinesURL: running.platform.MachinesURL(),
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, running.cluster.Stop()) }()
	return running.measure(ctx)
}

// platformConfig describes the deployment to the stand-ins. Its replicas are
// warm; those that start later are not.
func (r *loopbackRun) platformConfig() platform.Config {
	described := platform.HollowDeployment(r.deployment.Groups, r.deployment.ReplicasPerGroup)
	described.Places = r.deployment.Places
	described.Search.Slots = r.deployment.Slots
	described.Search.QueueLimit = r.deployment.QueueLimit
	described.Timing = &standin.Timing{Base: r.deployment.ServiceMean, Sigma: r.deployment.ServiceSigma}
	return platform.Config{
		Corpus: testdata.Corpus, Deployments: []platform.Deployment{described}, Seed: r.file.Seed,
	}
}

func (r *loopbackRun) daemonPlaces() []topology.Place {
	var all []topology.Place
	for range r.deployment.DaemonsPerZone {
		all = append(all, r.deployment.Places...)
	}
	return all
}

func (r *loopbackRun) measure(ctx context.Context) error {
	if _, err := r.cluster.Submit(ctx, r.edit()); err != nil {
		return err
	}
	for _, server := range r.platform.Backends() {
		r.watch(server)
	}
	r.started = time.Now()
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return r.follow(ctx, r.timeline()) })
	tasks.Go(func() error { return r.send(ctx) })
	return tasks.Wait()
}

// edit gives each class its row.
func (r *loopbackRun) edit() policytable.Edit {
	edit := policytable.Edit{ID: "experiment", Author: "experiment"}
	for _, row := range r.rows {
		edit.SetPolicies = append(edit.SetPolicies, *row)
		edit.SetAssignments = append(edit.SetAssignments, policy.Assignment{
			Group: row.Name, Shares: []policy.Share{{Policy: row.Name, Weight: 1}},
		})
	}
	return edit
}

// send sends the queries and waits for the last answer.
func (r *loopbackRun) send(ctx context.Context) error {
	transport := &http.Transport{MaxIdleConnsPerHost: loopbackConcurrency}
	defer transport.CloseIdleConnections()
	report, err := load.Run(ctx, load.Options{
		URLs: r.cluster.URLs(), Rate: r.rate, Duration: time.Duration(r.file.Duration),
		Concurrency: loopbackConcurrency, Seed: r.file.Seed,
		Source: r.drawQuery, Observe: r.observe, Client: &http.Client{Transport: transport},
	})
	r.measurement.load = &report
	return err
}

func (r *loopbackRun) drawQuery(random *rand.Rand) client.Query {
	class := r.file.Classes[r.file.drawClass(random)]
	return client.Query{Group: class.Name, Corpus: platform.HollowName, Phrase: loopbackPhrase}
}

// observe counts a query by the second of its intended start.
func (r *loopbackRun) observe(seen load.Observation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	class := r.classOf(seen.Query.Group)
	switch {
	case seen.Answer != nil:
		r.recorder.finished(seen.Due, class, conclusion{
			took: seen.Latency, asked: seen.Answer.Coverage.Asked,
			answered: seen.Answer.Coverage.Answered, attempts: seen.Answer.Attempts,
		})
	case seen.Problem != nil && seen.Problem.Kind == string(failure.Overloaded):
		r.recorder.refused(seen.Due, class, r.deployment.Groups)
	default:
		r.recorder.unanswered(seen.Due, class, r.deployment.Groups)
	}
}

func (r *loopbackRun) classOf(group string) int {
	for number, class := range r.file.Classes {
		if class.Name == group {
			return number
		}
	}
	return 0
}
