package soak

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/soak/proxy"
	"github.com/doorpond/doorpond/internal/standin/kv"
)

// apply lets one fault come, and returns at its end.
func (w *world) apply(ctx context.Context, fault Fault) error {
	switch {
	case fault.Kind == KillHalf:
		return w.kill(ctx, w.everySecond(fault.Target))
	case fault.Kind == KillAllTwice:
		if err := w.kill(ctx, w.nodes); err != nil {
			return err
		}
		return w.kill(ctx, w.nodes)
	case fault.Kind == RollNodes:
		return w.roll(ctx)
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
	case fault.Kind <= ServiceLost:
		return w.harmService(fault)
	case fault.Kind <= StoreFreezeWatches:
		defer w.noted(fault.Kind, nil)()
		if err := w.deployment.Store.SetFaults(storeFaults[fault.Kind]); err != nil {
			return err
		}
		time.Sleep(fault.For)
		return w.deployment.Store.SetFaults(kv.Faults{})
	case fault.Kind == Configure:
		return w.configure(fault.Target)
	case fault.Kind == ConfigureSeries:
		return w.configureSeries(fault.Target)
	case fault.Kind == Evacuate:
		return w.evacuate(zones[fault.Target%len(zones)])
	case fault.Kind == ReplicaLinkSilenceOpen:
		defer w.noted(fault.Kind, nil)()
		w.linkOf(fault.Target).SilenceOpen()
	case fault.Kind == ServiceHang:
		return w.harmService(fault)
	case fault.Kind == CrashingRequest:
		w.sendEnding(ctx, fault)
	case fault.Kind == StartWithoutStore:
		return w.startWithoutStore(ctx, fault)
	case fault.Kind == StoreRestore:
		return w.restoreStore(fault)
	case fault.Kind == PauseStop:
		return w.pauseStop(ctx, fault, w.nodes[fault.Target%len(w.nodes)])
	case fault.Kind == PauseDuringChange:
		target := w.nodes[fault.Target%len(w.nodes)]
		defer w.noted(fault.Kind, target)()
		pause(target, fault.For)
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

// signal sends a node the signal of a fault, and starts it again if it ends.
func (w *world) signal(ctx context.Context, fault Fault, target *node) error {
	defer w.noted(fault.Kind, target)()
	switch fault.Kind {
	case HangUpNode:
		_ = target.process.Signal(syscall.SIGHUP) // another fault may have just ended it
		return nil
	case PauseNode:
		pause(target, fault.For)
		return nil
	case StopNode:
		return w.restartAfter(ctx, target, syscall.SIGTERM)
	default:
		return w.restartAfter(ctx, target, syscall.SIGKILL)
	}
}

// pause lets a node stand still for some time.
func pause(target *node, lasting time.Duration) {
	if err := target.process.Signal(syscall.SIGSTOP); err != nil {
		return // another fault has just ended it
	}
	time.Sleep(lasting)
	_ = target.process.Signal(syscall.SIGCONT) // it may have been killed meanwhile
}

func (w *world) everySecond(first int) []*node {
	var chosen []*node
	for i := first % 2; i < len(w.nodes); i += 2 {
		chosen = append(chosen, w.nodes[i])
	}
	return chosen
}

// kill kills some nodes at the same moment.
func (w *world) kill(ctx context.Context, targets []*node) error {
	var group errgroup.Group
	for _, target := range targets {
		group.Go(func() error {
			defer w.noted(KillNode, target)()
			return w.restartAfter(ctx, target, syscall.SIGKILL)
		})
	}
	return group.Wait()
}

// startWithoutStore kills every second node while the store is out, which comes back once
// they have run for the length of the fault.
func (w *world) startWithoutStore(ctx context.Context, fault Fault) error {
	defer w.noted(fault.Kind, nil)()
	if err := w.deployment.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		return err
	}
	if err := w.kill(ctx, w.everySecond(fault.Target)); err != nil {
		return err
	}
	time.Sleep(fault.For)
	return w.deployment.Store.SetFaults(kv.Faults{})
}

// rollGap is the time between the stops of two nodes of a roll: shorter than a stop
// takes, so that some nodes stop while others start.
const rollGap = 700 * time.Millisecond

// mostRolled bounds the nodes that a roll stops, as a round has its length.
const mostRolled = 12

// roll stops nodes one soon after the other, and starts them again.
func (w *world) roll(ctx context.Context) error {
	var group errgroup.Group
	for i, target := range w.nodes[:min(len(w.nodes), mostRolled)] {
		group.Go(func() error {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(time.Duration(i) * rollGap):
			}
			defer w.noted(StopNode, target)()
			return w.restartAfter(ctx, target, syscall.SIGTERM)
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
		target.process.Kill()
	}
	time.Sleep(restart)
	return target.process.Start()
}

// evacuate keeps all work from a zone until its replicas have been looked at.
func (w *world) evacuate(zone string) error {
	defer w.noted(Evacuate, nil)()
	w.evacuating.Lock()
	defer w.evacuating.Unlock()
	if err := w.evacuateZone(zone); err != nil {
		return err
	}
	at := time.Now()
	for _, replica := range w.replicas() {
		if replica.Zone() == zone {
			w.markNews(news{at: at, replica: replica})
		}
	}
	time.Sleep(drainTime + newsWindow) // the time to evacuate is that to drain
	w.fleet.Lock()
	defer w.fleet.Unlock()
	return w.deployment.Readmit(zone)
}

func (w *world) evacuateZone(zone string) error {
	w.fleet.Lock()
	defer w.fleet.Unlock()
	return w.deployment.Evacuate(zone)
}

// The configurations of a series, one each seriesGap.
const (
	seriesLength = 5
	seriesGap    = 400 * time.Millisecond
)

// configureSeries writes some configurations, one soon after the other.
func (w *world) configureSeries(target int) error {
	for i := range seriesLength {
		if err := w.configure(target + i); err != nil {
			return err
		}
		time.Sleep(seriesGap)
	}
	return nil
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
	w.shards = count
	w.markNews(news{at: time.Now(), shards: count})
	return nil
}
