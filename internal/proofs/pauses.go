package proofs

import (
	"context"
	"errors"
	"time"
)

// PausesOptions say how daemons stand still under load.
type PausesOptions struct {
	PlannedStopOptions
	// Pauses is how often all daemons stand still together, each time for Lasting.
	Pauses        int
	PauseDuration time.Duration
}

// Pauses lets all daemons stand still under load, again and again, and counts what became of
// the requests.
func Pauses(ctx context.Context, cluster *Cluster, options PausesOptions) (PlannedStopReport, error) {
	return underLoad(ctx, cluster, options.PlannedStopOptions, func(load *steadyLoad) error {
		for done := range options.Pauses {
			target := options.Requests * int64(done+1) / int64(options.Pauses+1)
			err := await(ctx, "enough requests", func() (bool, error) { return load.sent() >= target, nil })
			if err != nil {
				return err
			}
			if err := pauseAll(ctx, cluster, options.PauseDuration); err != nil {
				return err
			}
		}
		return nil
	})
}

// pauseAll lets all daemons stand still together.
func pauseAll(ctx context.Context, cluster *Cluster, lasting time.Duration) error {
	alive := cluster.Alive()
	var failures []error
	for _, process := range alive {
		failures = append(failures, process.Freeze())
	}
	sleep(ctx, lasting)
	for _, process := range alive {
		failures = append(failures, process.Resume())
	}
	return errors.Join(failures...)
}
