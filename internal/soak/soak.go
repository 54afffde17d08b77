// Package soak runs the real nodes as separate processes on one machine, lets
// faults befall them from outside, and checks the promises meanwhile by what
// callers and back ends see. The faults of a run follow from its seed; the
// timing of processes does not, so that a seed that failed once is run again
// and again as a regression case.
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
)

// Config is what a run is made of.
type Config struct {
	Seed   uint64
	Length time.Duration
	// Nodes is the number of nodes; 0 means nine.
	Nodes int
	// Program is the node's program; empty means to build it.
	Program string
	// Directory keeps settings and logs; empty means a temporary one that is
	// removed when nothing failed.
	Directory string
	// Out takes a line for each fault; nil means none.
	Out io.Writer
}

// Report is what came of a run.
type Report struct {
	Seed     uint64
	Requests int
	// Served, Refused, Failed and Unanswered are how they ended: with success, with a
	// refusal that says when to come back, with another failure, and without an
	// answer.
	Served, Refused, Failed, Unanswered int
	// Partial answers lack shards.
	Partial int
	Faults  int
	// ChangesChecked counts the changes of the store after which the time for news
	// was checked.
	ChangesChecked int
	// Stalled is for how long the machine was too busy to judge times, and Unjudged are the
	// requests whose end was not judged for that.
	Stalled  time.Duration
	Unjudged int
	// Crashed is the number of replicas that requests have ended.
	Crashed int
	// Findings are the promises that were broken.
	Findings []string
	// Directory is where the logs are, if they were kept.
	Directory string
}

// Run plays one run.
func Run(ctx context.Context, config Config) (Report, error) {
	if config.Nodes == 0 {
		config.Nodes = defaultNodes
	}
	temporary := config.Directory == ""
	if temporary {
		directory, err := os.MkdirTemp("", "doorpond-soak")
		if err != nil {
			return Report{}, eris.Wrap(err, "make a directory for logs")
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
	report, err := play(ctx, config)
	if err == nil && temporary && len(report.Findings) == 0 {
		return report, eris.Wrap(os.RemoveAll(config.Directory), "remove the logs")
	}
	report.Directory = config.Directory
	return report, err
}

func play(ctx context.Context, config Config) (Report, error) {
	w, err := newWorld(config)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	if err := w.awaitReady(ctx); err != nil {
		return Report{}, err
	}
	plan := NewPlan(config.Seed, config.Length)
	judge := newJudge(w)
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.stalls.watch(watching)
	callers := startCallers(w, judge)
	w.begin()
	if err := w.befall(ctx, plan, config.Out); err != nil {
		callers.stop()
		return Report{}, err
	}
	judge.expectCalm(w.awaitCalm(ctx))
	callers.stop()
	report := judge.conclude()
	report.Seed, report.Faults = config.Seed, len(plan)
	if report.Stalled > time.Duration(mostStalled*float64(time.Since(w.began))) {
		return report, eris.Errorf("the machine was too busy for %v of the run: no verdict", report.Stalled.Round(time.Second))
	}
	return report, nil
}

// Write prints a report.
func (r *Report) Write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "seed %d: %d faults; %d requests: %d served (%d partial), %d refused, %d failed, %d without an answer; news checked %d times; %d replicas ended by requests; stalled for %v, %d requests not judged; %d findings\n",
		r.Seed, r.Faults, r.Requests, r.Served, r.Partial, r.Refused, r.Failed, r.Unanswered, r.ChangesChecked, r.Crashed,
		r.Stalled.Round(time.Millisecond), r.Unjudged, len(r.Findings))
	for _, finding := range r.Findings {
		if err == nil {
			_, err = fmt.Fprintln(out, "  finding:", finding)
		}
	}
	if err == nil && r.Directory != "" && len(r.Findings) > 0 {
		_, err = fmt.Fprintln(out, "  logs:", filepath.Join(r.Directory, "*.log"))
	}
	return eris.Wrap(err, "print the report")
}
