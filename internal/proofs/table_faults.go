package proofs

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/standin/kv"
)

// injectFaults injects each fault in turn, with a minimum number of accepted
// changes between two faults.
func (r *tableRun) injectFaults(ctx context.Context) error {
	faults := []func(context.Context) error{
		r.loseAcknowledgements, r.freezeWatches, r.startDuringOutage, r.freezeDaemon, r.killDuringEdit,
	}
	for round := range r.options.Rounds {
		for number, fault := range faults {
			if err := r.awaitEdits(ctx); err != nil {
				return err
			}
			if err := fault(ctx); err != nil {
				return eris.Wrapf(err, "inject fault %d of round %d", number, round)
			}
			r.report.Faults++
		}
	}
	return r.awaitEdits(ctx)
}

func (r *tableRun) awaitEdits(ctx context.Context) error {
	target := r.accepted.Load() + r.options.Edits
	return await(ctx, "changes to be accepted", func() (bool, error) { return r.accepted.Load() >= target, nil })
}

func (r *tableRun) loseAcknowledgements(context.Context) error {
	const lost = 5
	return r.cluster.Platform.Store.SetFaults(kv.Faults{LoseAcknowledgements: lost})
}

// freezeWatches suspends store watches while changes are accepted.
func (r *tableRun) freezeWatches(ctx context.Context) error {
	if err := r.cluster.Platform.Store.SetFaults(kv.Faults{FreezeWatches: true}); err != nil {
		return err
	}
	err := r.awaitEdits(ctx)
	return errors.Join(err, r.cluster.Platform.Store.SetFaults(kv.Faults{}))
}

// startDuringOutage starts a daemon during a store outage, so that it must load
// the table from its peers.
func (r *tableRun) startDuringOutage(ctx context.Context) error {
	if err := r.cluster.Platform.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		return err
	}
	err := r.startDaemon(ctx)
	return errors.Join(err, r.cluster.Platform.Store.SetFaults(kv.Faults{}))
}

func (r *tableRun) startDaemon(ctx context.Context) error {
	added, err := r.cluster.AddDaemon(ctx)
	if err != nil {
		return err
	}
	r.watch(r.watching, r.watchers, added)
	return await(ctx, "the new daemon to be ready", func() (bool, error) { return isReady(ctx, added), nil })
}

// killDuringEdit kills a daemon while an edit is in flight at it, so that the
// outcome of the edit is unknown.
func (r *tableRun) killDuringEdit(ctx context.Context) error {
	killed := r.cluster.oldestAlive()
	if err := r.freezeWhileEditing(ctx, killed); err != nil {
		return err
	}
	killed.Kill()
	return r.startDaemon(ctx)
}

// responseDelay bounds the delivery of a response sent before a daemon was frozen.
const responseDelay = 100 * time.Millisecond

// freezeWhileEditing freezes a daemon with an unanswered edit. If the response
// arrives after all, it resumes the daemon and tries again.
func (r *tableRun) freezeWhileEditing(ctx context.Context, process *Process) error {
	return await(ctx, "an edit in flight at a frozen daemon", func() (bool, error) {
		if !r.hasEditInFlight(process) {
			return false, nil
		}
		if err := process.Freeze(); err != nil {
			return false, err
		}
		sleep(ctx, responseDelay)
		if r.hasEditInFlight(process) {
			return true, nil
		}
		return false, process.Resume()
	})
}

// freezeDaemon suspends a daemon while changes come into force on the others. Its
// first response after it resumes must include them.
func (r *tableRun) freezeDaemon(ctx context.Context) error {
	alive := r.cluster.Alive()
	frozen, other := alive[0], alive[len(alive)-1]
	if err := frozen.Freeze(); err != nil {
		return err
	}
	if err := r.awaitEdits(ctx); err != nil {
		return errors.Join(err, frozen.Resume())
	}
	sleep(ctx, freezeDuration)
	before, err := adminClient(other).Table(ctx)
	if err := errors.Join(err, frozen.Resume()); err != nil {
		return err
	}
	return r.checkFirstAnswer(ctx, frozen, before.Revision)
}

func (r *tableRun) checkFirstAnswer(ctx context.Context, resumed *Process, least uint64) error {
	callers := client.New(resumed.callersURL(), nil)
	return await(ctx, "an answer of the resumed daemon", func() (bool, error) {
		answer, err := callers.Query(ctx, searchQuery(0))
		if err != nil {
			return false, nil // rejected as stale
		}
		if answer.TableRevision < least {
			r.addViolation(&r.report.StaleAnswers, "resumed daemon answered from table revision %d, revision %d was in force", answer.TableRevision, least)
		}
		return true, nil
	})
}
