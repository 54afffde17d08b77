package soak

import (
	"context"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/soak/proxy"
	"github.com/doorpond/doorpond/internal/standin/kv"
	"github.com/doorpond/doorpond/platform/standin"
)

// apply lets one fault come, and returns at its end.
func (w *world) apply(ctx context.Context, fault Fault) error {
	switch {
	case fault.Kind == KillHalf:
		return w.killHalf(ctx, fault.Target)
	case fault.Kind <= HangUpNode:
		return w.signal(ctx, fault, w.nodes[fault.Target%len(w.nodes)])
	case fault.Kind <= StoreLinkSilence:
		target := w.nodes[fault.Target%len(w.nodes)]
		defer w.noted(fault.Kind, target)()
		harm(target.store, fault)
	case fault.Kind <= ReplicaLinkSilence:
		defer w.noted(fault.Kind, nil)()
		harm(w.linkOf(fault.Target), fault)
	case fault.Kind <= ReplicaCrash:
		return w.harmReplica(fault, w.replica(fault.Target))
	case fault.Kind <= StoreDeaf:
		defer w.noted(fault.Kind, nil)()
		if err := w.deployment.Store.SetFaults(storeFaults[fault.Kind]); err != nil {
			return err
		}
		time.Sleep(fault.For)
		return w.deployment.Store.SetFaults(kv.Faults{})
	case fault.Kind == Configure:
		return w.configure(fault.Target)
	case fault.Kind == Evacuate:
		return w.evacuate(zones[fault.Target%len(zones)])
	default:
		return w.leave(fault, w.replica(fault.Target))
	}
	return nil
}

func harm(link *proxy.Proxy, fault Fault) {
	link.Set(linkModes[fault.Kind])
	time.Sleep(fault.For)
	link.Set(proxy.Pass)
}

func (w *world) linkOf(target int) *proxy.Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links[target%len(w.links)]
}

// replica returns one that is not leaving.
func (w *world) replica(target int) *standin.Replica {
	all := w.replicas()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range all {
		chosen := all[(target+i)%len(all)]
		if _, leaving := w.leaving[chosen]; !leaving {
			return chosen
		}
	}
	return all[0]
}

// signal sends a node the signal of a fault, and starts it again if it ends.
func (w *world) signal(ctx context.Context, fault Fault, target *node) error {
	defer w.noted(fault.Kind, target)()
	switch fault.Kind {
	case HangUpNode:
		return target.process.Signal(syscall.SIGHUP)
	case PauseNode:
		if err := target.process.Signal(syscall.SIGSTOP); err != nil {
			return nil // another fault has just ended it
		}
		time.Sleep(fault.For)
		_ = target.process.Signal(syscall.SIGCONT) // it may have been killed meanwhile
		return nil
	case StopNode:
		return w.restartAfter(ctx, target, syscall.SIGTERM)
	default:
		return w.restartAfter(ctx, target, syscall.SIGKILL)
	}
}

// killHalf kills every second node at the same moment.
func (w *world) killHalf(ctx context.Context, first int) error {
	var group errgroup.Group
	for i := first % 2; i < len(w.nodes); i += 2 {
		target := w.nodes[i]
		group.Go(func() error {
			defer w.noted(KillNode, target)()
			return w.restartAfter(ctx, target, syscall.SIGKILL)
		})
	}
	return group.Wait()
}

// restartAfter ends a process and starts it again. Of two faults that end the
// same process, one restarts it.
func (w *world) restartAfter(ctx context.Context, target *node, number syscall.Signal) error {
	target.restarting.Lock()
	defer target.restarting.Unlock()
	_ = target.process.Signal(number) // one that has ended by itself is a finding already
	bounded, cancel := context.WithTimeout(ctx, 2*grace)
	defer cancel()
	if err := target.process.Wait(bounded); err != nil {
		if ctx.Err() == nil {
			w.note("node " + target.settings.Node + " did not end within twice its grace time")
		}
		target.process.End()
	}
	time.Sleep(restart)
	return target.process.Start()
}

func (w *world) harmReplica(fault Fault, target *standin.Replica) error {
	defer w.noted(fault.Kind, nil)()
	switch fault.Kind {
	case ReplicaPause:
		target.Pause()
		time.Sleep(fault.For)
		target.Resume()
	case ReplicaSpoil:
		target.Spoil(true)
		time.Sleep(fault.For)
		target.Spoil(false)
	case ReplicaRefuse:
		target.Refuse(true)
		time.Sleep(fault.For)
		target.Refuse(false)
	default:
		w.markLeaving(target)
		target.Close()
		time.Sleep(fault.For)
		if err := target.Vanish(); err != nil {
			return err
		}
		return w.succeed(target)
	}
	return nil
}

// replicas returns all that there are and have been.
func (w *world) replicas() []*standin.Replica {
	w.fleet.Lock()
	defer w.fleet.Unlock()
	return slices.Clone(w.deployment.Replicas)
}

func (w *world) markLeaving(target *standin.Replica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving[target] = time.Now()
}

func (w *world) succeed(gone *standin.Replica) error {
	w.fleet.Lock()
	defer w.fleet.Unlock()
	_, err := w.deployment.Succeed(gone)
	return err
}

// leave lets a replica go: a successor comes first, and the replica serves on
// for a while after the store has taken its word.
func (w *world) leave(fault Fault, target *standin.Replica) error {
	w.markLeaving(target)
	if err := w.succeed(target); err != nil {
		return err
	}
	end := w.noted(fault.Kind, nil)
	var err error
	if fault.Kind == Drain {
		err = target.Drain()
	} else {
		err = target.Vanish()
	}
	if err != nil {
		return err
	}
	w.markNews(news{at: time.Now(), replica: target})
	end()
	time.Sleep(2 * drainTime)
	if fault.Kind == Drain {
		return target.Vanish()
	}
	return nil
}

// evacuate keeps all work from a zone until its replicas have been looked at.
func (w *world) evacuate(zone string) error {
	defer w.noted(Evacuate, nil)()
	w.evacuating.Lock()
	defer w.evacuating.Unlock()
	if err := w.deployment.Evacuate(zone); err != nil {
		return err
	}
	at := time.Now()
	for _, replica := range w.replicas() {
		if replica.Zone() == zone {
			w.markNews(news{at: at, replica: replica})
		}
	}
	time.Sleep(drainTime + newsWindow) // the time to evacuate is that to drain
	return w.deployment.Readmit(zone)
}

// configure writes a configuration with a number of shards.
func (w *world) configure(target int) error {
	defer w.noted(Configure, nil)()
	w.configuring.Lock()
	defer w.configuring.Unlock()
	count := 2 + target%(shards-1)
	w.allow(count)
	if err := w.deployment.Configure(count); err != nil {
		return err
	}
	w.markNews(news{at: time.Now(), shards: count})
	return nil
}
