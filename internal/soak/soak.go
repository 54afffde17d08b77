// Package soak runs real nodes as separate processes on one machine, injects
// faults from outside, and checks the system's guarantees by what callers and
// back ends observe. The seed determines a run's faults but not the timing of
// its processes, so seeds that once failed are rerun as regression cases.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/soak/process"
	"github.com/doorpond/doorpond/internal/soak/tenantcheck"
	"github.com/doorpond/doorpond/platform/standin"
)

// Config configures a run.
type Config struct {
	Seed   uint64
	Length time.Duration
	// Nodes is the number of nodes; 0 selects defaultNodes.
	Nodes int
	// Program is the path of the node's binary; it is built if empty.
	Program string
	// Directory holds settings and logs. If empty, a temporary directory is used
	// and removed when there are no findings.
	Directory string
	// Breakage, unless it is empty, breaks the program of one node on purpose.
	Breakage standin.Breakage
	// Lab is the path of doorpond-lab, which runs the broken node; it is built if empty.
	Lab string
	// Out receives a line for each fault, unless it is nil.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	// Served, Refused, Failed and Unanswered count requests by outcome: success,
	// 429 or 503, another status, and no response.
	Served, Refused, Failed, Unanswered int
	// Tenants is true if the run has tenants, Unauthenticated the number of requests refused
	// with 401, and Identity the outcome of the checks of tenants.
	Tenants         bool
	Unauthenticated int
	Identity        tenantcheck.Result
	// Partial counts successful answers that lack shards.
	Partial int
	Faults  int
	// ChangesChecked counts the store changes whose propagation time was checked.
	ChangesChecked int
	// Stalled is the time in which the machine was too busy to check deadlines;
	// Unjudged counts the requests whose outcome was not checked for that reason.
	Stalled  time.Duration
	Unjudged int
	// Crashed is the number of replicas that requests crashed.
	Crashed int
	// Findings describe the violated guarantees.
	Findings []string
	// Directory holds the logs, if they were kept.
	Directory string
}

// Run executes one soak run.
func Run(ctx context.Context, config Config) (Report, error) {
	if config.Length < roundLength {
		return Report{}, eris.Errorf("a soak of %s injects no faults, the first ones come with a length of %s", config.Length, roundLength)
	}
	if config.Nodes == 0 {
		config.Nodes = defaultNodes
	}
	temporary := config.Directory == ""
	if temporary {
		directory, err := os.MkdirTemp("", "doorpond-soak")
		if err != nil {
			return Report{}, eris.Wrap(err, "create log directory")
		}
		config.Directory = directory
	}
	if config.Program == "" {
		program, err := process.Build(ctx, config.Directory, "doorpond-edge")
		if err != nil {
			return Report{}, err
		}
		config.Program = program
	}
	if config.Breakage != "" && config.Lab == "" {
		program, err := process.Build(ctx, config.Directory, "doorpond-lab")
		if err != nil {
			return Report{}, err
		}
		config.Lab = program
	}
	report, err := run(ctx, config)
	if err == nil && temporary && len(report.Findings) == 0 {
		return report, eris.Wrap(os.RemoveAll(config.Directory), "remove log directory")
	}
	report.Directory = config.Directory
	return report, err
}

func run(ctx context.Context, config Config) (Report, error) {
	c, err := newCluster(config)
	if err != nil {
		return Report{}, err
	}
	defer c.close()
	if err := c.awaitReady(ctx); err != nil {
		return Report{}, err
	}
	plan := NewPlan(config.Seed, config.Length)
	checker := newChecker(c)
	c.record = checker.record
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.stalls.watch(watching)
	callers := startCallers(c, checker)
	c.startClock()
	if err := c.runPlan(ctx, plan, config.Out); err != nil {
		callers.stop()
		return Report{}, err
	}
	settled := newSettledPlan(config.Seed, time.Since(c.began))
	if err := c.runPlan(ctx, settled, config.Out); err != nil {
		callers.stop()
		return Report{}, err
	}
	checker.expectHealthyFrom(c.awaitRecovery(ctx))
	callers.stop()
	report := checker.finish()
	report.Seed, report.Faults = config.Seed, len(plan)+len(settled)
	if report.Stalled > time.Duration(maxStalledShare*float64(time.Since(c.began))) {
		return report, eris.Errorf("run is invalid: the machine was stalled for %v", report.Stalled.Round(time.Second))
	}
	return report, nil
}

// Write prints the report.
func (r *Report) Write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "seed %d: %d faults; %d requests: %d served (%d partial), %d refused, %d failed, %d without an answer; news checked %d times; %d replicas ended by requests; stalled for %v, %d requests not judged; %d findings\n",
		r.Seed, r.Faults, r.Requests, r.Served, r.Partial, r.Refused, r.Failed, r.Unanswered, r.ChangesChecked, r.Crashed,
		r.Stalled.Round(time.Millisecond), r.Unjudged, len(r.Findings))
	if err == nil && r.Tenants {
		_, err = fmt.Fprintf(out, "  tenants: %d requests got 401 and %d got 429 by a limit; %d of %d below a limit were refused; the fullest window had %.2f of what is allowed\n",
			r.Unauthenticated, r.Identity.Limited, r.Identity.Lost, r.Identity.Owed, r.Identity.Fullest)
	}
	for _, finding := range r.Findings {
		if err == nil {
			_, err = fmt.Fprintln(out, "  finding:", finding)
		}
	}
	if err == nil && r.Directory != "" && len(r.Findings) > 0 {
		_, err = fmt.Fprintln(out, "  logs:", filepath.Join(r.Directory, "*.log"))
	}
	return eris.Wrap(err, "write report")
}
