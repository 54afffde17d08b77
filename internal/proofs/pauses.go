package proofs

import (
	"context"
	"errors"
	"time"
)

// PausesOptions configures Pauses.
type PausesOptions struct {
	PlannedStopOptions
	// Pauses is the number of times that all daemons are suspended together,
	// each time for PauseDuration.
	Pauses        int
	PauseDuration time.Duration
}

// Pauses repeatedly suspends all daemons under load and counts request outcomes.
func Pauses(ctx context.Context, cluster *Cluster, options PausesOptions) (PlannedStopReport, error) {
	return runUnderLoad(ctx, cluster, options.PlannedStopOptions, func(load *loadGenerator) error {
		for done := range options.Pauses {
			target := options.Requests * int64(done+1) / int64(options.Pauses+1)
			err := await(ctx, "the request count that triggers the next pause", func() (bool, error) { return load.sent() >= target, nil })
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

// pauseAll suspends all daemons together.
func pauseAll(ctx context.Context, cluster *Cluster, duration time.Duration) error {
	alive := cluster.Alive()
	var failures []error
	for _, process := range alive {
		failures = append(failures, process.Freeze())
	}
	sleep(ctx, duration)
	for _, process := range alive {
		failures = append(failures, process.Resume())
	}
	return errors.Join(failures...)
}
