package proofs

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/standin/kv"
)

// sabotage brings each fault in turn, once enough changes were accepted since
// the last.
func (r *tableRun) sabotage(ctx context.Context) error {
	faults := []func(context.Context) error{
		r.loseAcknowledgements, r.freezeWatches, r.outageAndStart, r.freeze, r.killAndStart,
	}
	for round := range r.options.Rounds {
		for number, fault := range faults {
			if err := r.awaitEdits(ctx); err != nil {
				return err
			}
			if err := fault(ctx); err != nil {
				return eris.Wrapf(err, "fault %d of round %d", number, round)
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

// freezeWatches makes the watches lag while changes are accepted.
func (r *tableRun) freezeWatches(ctx context.Context) error {
	if err := r.cluster.Platform.Store.SetFaults(kv.Faults{FreezeWatches: true}); err != nil {
		return err
	}
	err := r.awaitEdits(ctx)
	return errors.Join(err, r.cluster.Platform.Store.SetFaults(kv.Faults{}))
}

// outageAndStart starts a daemon while the store is out: it must get the table
// from its peers.
func (r *tableRun) outageAndStart(ctx context.Context) error {
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
	return await(ctx, "the new daemon to be ready", func() (bool, error) { return ready(ctx, added), nil })
}

// killAndStart kills a daemon while an edit is in flight at it, so that the edit's
// outcome is not known.
func (r *tableRun) killAndStart(ctx context.Context) error {
	killed := r.cluster.oldestAlive()
	if err := r.freezeWhileEditing(ctx, killed); err != nil {
		return err
	}
	killed.Kill()
	return r.startDaemon(ctx)
}

// answerTime is how long an answer that a daemon has sent before it was frozen may
// take to arrive.
const answerTime = 100 * time.Millisecond

// freezeWhileEditing freezes a daemon that has been sent an edit and has not
// answered it. Where the answer was already on its way, it is resumed and frozen
// again.
func (r *tableRun) freezeWhileEditing(ctx context.Context, process *Process) error {
	return await(ctx, "an edit in flight at a frozen daemon", func() (bool, error) {
		if !r.isEditing(process) {
			return false, nil
		}
		if err := process.Freeze(); err != nil {
			return false, err
		}
		sleep(ctx, answerTime)
		if r.isEditing(process) {
			return true, nil
		}
		return false, process.Resume()
	})
}

// freeze stops a daemon while changes come into force elsewhere; its first
// answer after it is resumed must know them.
func (r *tableRun) freeze(ctx context.Context) error {
	alive := r.cluster.Alive()
	frozen, other := alive[0], alive[len(alive)-1]
	if err := frozen.Freeze(); err != nil {
		return err
	}
	if err := r.awaitEdits(ctx); err != nil {
		return errors.Join(err, frozen.Resume())
	}
	sleep(ctx, freezeTime)
	before, err := apiOf(other).Table(ctx)
	if err := errors.Join(err, frozen.Resume()); err != nil {
		return err
	}
	return r.firstAnswer(ctx, frozen, before.Revision)
}

func (r *tableRun) firstAnswer(ctx context.Context, resumed *Process, least uint64) error {
	callers := client.New(resumed.callersURL(), nil)
	return await(ctx, "an answer of the resumed daemon", func() (bool, error) {
		answer, err := callers.Query(ctx, searchQuery(0))
		if err != nil {
			return false, nil // refused as stale
		}
		if answer.TableRevision < least {
			r.violate(&r.report.StaleAnswers, "a resumed daemon answered by table revision %d; %d was in force", answer.TableRevision, least)
		}
		return true, nil
	})
}
