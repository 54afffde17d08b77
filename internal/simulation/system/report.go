package system

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// SweepOptions are those of many runs.
type SweepOptions struct {
	Run         Options
	First, Last uint64
	// Promises are those that count; empty means all.
	Promises []Promise
	// Parallel is the number of runs at once; each has its own goroutine.
	Parallel int
}

// Finding is a seed that broke a promise.
type Finding struct {
	Seed      uint64
	Violation Violation
	// Shortest is the shortest schedule found that still breaks it.
	Shortest []Fault
}

// Report is what a sweep showed.
type Report struct {
	Options   SweepOptions
	Schedules int
	Faults    int
	Steps     uint64
	Figures   Figures
	// Broken has the number of schedules that broke each promise.
	Broken   map[Promise]int
	Findings []Finding
}

// mostFindings is the number of findings that are shrunk for each promise.
const mostFindings = 3

// Sweep runs every seed of a range, and starts no further run once ctx ends.
func Sweep(ctx context.Context, options SweepOptions) (Report, error) {
	results := make([]Result, options.Last-options.First+1)
	var group errgroup.Group
	group.SetLimit(max(1, options.Parallel))
	for at := range results {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			run := options.Run
			run.Seed = options.First + uint64(at)
			result, err := Run(run)
			results[at] = result
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Report{}, err
	}
	return summarize(options, results)
}

func summarize(options SweepOptions, results []Result) (Report, error) {
	report := Report{Options: options, Schedules: len(results), Broken: make(map[Promise]int)}
	for at := range results {
		result := &results[at]
		report.Faults += len(result.Schedule)
		report.Steps += result.Steps
		report.Figures.add(&result.Figures)
		for _, promise := range options.wanted() {
			if err := report.addFinding(promise, options.First+uint64(at), result); err != nil {
				return Report{}, err
			}
		}
	}
	return report, nil
}

func (o *SweepOptions) wanted() []Promise {
	if len(o.Promises) == 0 {
		return Promises
	}
	return o.Promises
}

func (r *Report) addFinding(promise Promise, seed uint64, result *Result) error {
	if !result.Breaks(promise) {
		return nil
	}
	r.Broken[promise]++
	if r.Broken[promise] > mostFindings {
		return nil
	}
	run := r.Options.Run
	run.Seed = seed
	shortest, err := Shrink(run, result.Schedule, promise)
	if err != nil {
		return err
	}
	for _, violation := range result.Violations {
		if violation.Promise == promise {
			r.Findings = append(r.Findings, Finding{Seed: seed, Violation: violation, Shortest: shortest})
			return nil
		}
	}
	return nil
}

func (f *Figures) add(other *Figures) {
	f.Queries += other.Queries
	f.Answers += other.Answers
	f.FullAnswers += other.FullAnswers
	f.Refusals += other.Refusals
	f.FalseReplies += other.FalseReplies
	f.NotRunClaims += other.NotRunClaims
	f.Calls += other.Calls
	f.Keys += other.Keys
	f.Executions += other.Executions
	f.Regressions += other.Regressions
	f.Acknowledged += other.Acknowledged
	f.Departures += other.Departures
	f.LeavingLongest = max(f.LeavingLongest, other.LeavingLongest)
	f.LeavingDisturbed = max(f.LeavingDisturbed, other.LeavingDisturbed)
	f.Stops += other.Stops
	f.CutOff += other.CutOff
	f.Changes += other.Changes
	f.Accepted += other.Accepted
	f.TableLongest = max(f.TableLongest, other.TableLongest)
}

// Failed tells whether any promise that counts was broken.
func (r *Report) Failed() bool { return len(r.Broken) > 0 }

// Write prints a line for each promise, then the findings.
func (r *Report) Write(output io.Writer) error {
	var text strings.Builder
	for _, promise := range r.Options.wanted() {
		fmt.Fprintf(&text, "%-9s schedules %d, faults injected %d, schedules with violations %d; %s\n",
			promise, r.Schedules, r.Faults, r.Broken[promise], r.Figures.line(promise))
	}
	for _, finding := range r.Findings {
		fmt.Fprintf(&text, "\n%s broken by seed %d at %v: %s\nshortest schedule found, %d faults:\n",
			finding.Violation.Promise, finding.Seed, finding.Violation.At, finding.Violation.Detail, len(finding.Shortest))
		for _, fault := range finding.Shortest {
			fmt.Fprintf(&text, "  %s\n", fault)
		}
	}
	_, err := io.WriteString(output, text.String())
	return err
}

// line is the figure of one promise.
func (f *Figures) line(promise Promise) string {
	round := func(length time.Duration) time.Duration { return length.Round(time.Millisecond) }
	switch promise {
	case PromiseSnapshot, PromiseAnswer:
		return fmt.Sprintf("answers checked %d of %d queries", f.Answers, f.Queries)
	case PromiseCoverage:
		return fmt.Sprintf("answers checked %d (%d of full coverage), false replies %d", f.Answers, f.FullAnswers, f.FalseReplies)
	case PromiseNotRun:
		return fmt.Sprintf("refusals told as not run %d", f.NotRunClaims)
	case PromiseOnce:
		return fmt.Sprintf("calls %d of %d keys, executions %d; regressions of the store found %d times, acknowledged %d times",
			f.Calls, f.Keys, f.Executions, f.Regressions, f.Acknowledged)
	case PromiseLeaving:
		return fmt.Sprintf("departures %d, longest time to the last new request %v (while daemons could not hear: %v)",
			f.Departures, round(f.LeavingLongest), round(f.LeavingDisturbed))
	case PromiseStop:
		return fmt.Sprintf("planned stops %d, requests cut off %d", f.Stops, f.CutOff)
	case PromiseTable:
		return fmt.Sprintf("changes in the store %d, accepted edits %d, longest time until in force on the last node %v",
			f.Changes, f.Accepted, round(f.TableLongest))
	default:
		return fmt.Sprintf("answers %d", f.Answers)
	}
}
