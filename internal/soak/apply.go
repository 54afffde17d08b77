package soak

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/internal/soak/proxy"
	"github.com/doorpond/doorpond/internal/standin/kv"
)

// apply injects one fault and returns when it is over.
func (w *cluster) apply(ctx context.Context, fault Fault) error {
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
		defer w.recordFault(fault.Kind, target)()
		degradeLink(target.store, fault)
	case fault.Kind <= ReplicaLinkSilence:
		defer w.recordFault(fault.Kind, nil)()
		degradeLink(w.linkOf(fault.Target), fault)
	case fault.Kind <= ReplicaCrash:
		return w.degradeReplica(fault, w.replica(fault.Target))
	case fault.Kind <= ServiceLost:
		return w.degradeService(fault)
	case fault.Kind <= StoreFreezeWatches:
		defer w.recordFault(fault.Kind, nil)()
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
		defer w.recordFault(fault.Kind, nil)()
		w.linkOf(fault.Target).SilenceOpen()
	case fault.Kind == ServiceHang:
		return w.degradeService(fault)
	case fault.Kind == CrashingRequest:
		w.sendCrashing(ctx, fault)
	case fault.Kind == StartWithoutStore:
		return w.startWithoutStore(ctx, fault)
	case fault.Kind == StoreRestore:
		return w.restoreStore(fault)
	case fault.Kind == PauseStop:
		return w.pauseStop(ctx, fault, w.nodes[fault.Target%len(w.nodes)])
	case fault.Kind == PauseDuringChange:
		target := w.nodes[fault.Target%len(w.nodes)]
		defer w.recordFault(fault.Kind, target)()
		pause(target, fault.For)
	default:
		return w.removeReplica(fault, w.replica(fault.Target))
	}
	return nil
}

func degradeLink(link *proxy.Proxy, fault Fault) {
	link.Set(linkModes[fault.Kind])
	time.Sleep(fault.For)
	link.Set(proxy.Pass)
}

func (w *cluster) linkOf(target int) *proxy.Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links[target%len(w.links)]
}

// signal sends a node the signal of a fault and restarts the node if it exits.
func (w *cluster) signal(ctx context.Context, fault Fault, target *node) error {
	defer w.recordFault(fault.Kind, target)()
	switch fault.Kind {
	case HangUpNode:
		_ = target.process.Signal(syscall.SIGHUP) // fails if another fault has just stopped the node
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

// pause suspends a node for some time.
func pause(target *node, lasting time.Duration) {
	if err := target.process.Signal(syscall.SIGSTOP); err != nil {
		return // another fault has just stopped the node
	}
	time.Sleep(lasting)
	_ = target.process.Signal(syscall.SIGCONT) // fails if the node was killed meanwhile
}

func (w *cluster) everySecond(first int) []*node {
	var chosen []*node
	for i := first % 2; i < len(w.nodes); i += 2 {
		chosen = append(chosen, w.nodes[i])
	}
	return chosen
}

// kill kills nodes concurrently and restarts them.
func (w *cluster) kill(ctx context.Context, targets []*node) error {
	var group errgroup.Group
	for _, target := range targets {
		group.Go(func() error {
			defer w.recordFault(KillNode, target)()
			return w.restartAfter(ctx, target, syscall.SIGKILL)
		})
	}
	return group.Wait()
}

// startWithoutStore kills every second node during a store outage that lasts for
// fault.For after their restart.
func (w *cluster) startWithoutStore(ctx context.Context, fault Fault) error {
	defer w.recordFault(fault.Kind, nil)()
	if err := w.deployment.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		return err
	}
	if err := w.kill(ctx, w.everySecond(fault.Target)); err != nil {
		return err
	}
	time.Sleep(fault.For)
	return w.deployment.Store.SetFaults(kv.Faults{})
}

// rollGap is the time between two stops of a rolling restart. It is shorter than
// a stop, so that some nodes stop while others start.
const rollGap = 700 * time.Millisecond

// maxRolled bounds the nodes of a rolling restart, to fit into a round.
const maxRolled = 12

// roll restarts nodes in quick succession.
func (w *cluster) roll(ctx context.Context) error {
	var group errgroup.Group
	for i, target := range w.nodes[:min(len(w.nodes), maxRolled)] {
		group.Go(func() error {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(time.Duration(i) * rollGap):
			}
			defer w.recordFault(StopNode, target)()
			return w.restartAfter(ctx, target, syscall.SIGTERM)
		})
	}
	return group.Wait()
}

// restartAfter signals a process to exit and restarts it. Concurrent faults on
// the same process are serialized.
func (w *cluster) restartAfter(ctx context.Context, target *node, number syscall.Signal) error {
	target.restarting.Lock()
	defer target.restarting.Unlock()
	_ = target.process.Signal(number) // an unexpected exit is already a finding
	bounded, cancel := context.WithTimeout(ctx, 2*gracePeriod)
	defer cancel()
	if err := target.process.Wait(bounded); err != nil {
		if ctx.Err() == nil {
			w.addNote("node " + target.settings.Node + " did not end within twice its grace time")
		}
		target.process.Kill()
	}
	time.Sleep(restartDelay)
	return target.process.Start()
}

// evacuate evacuates a zone until the checks of its replicas are over.
func (w *cluster) evacuate(zone string) error {
	defer w.recordFault(Evacuate, nil)()
	w.evacuating.Lock()
	defer w.evacuating.Unlock()
	if err := w.evacuateZone(zone); err != nil {
		return err
	}
	at := time.Now()
	for _, replica := range w.replicas() {
		if replica.Zone() == zone {
			w.recordChange(storeChange{at: at, replica: replica})
		}
	}
	time.Sleep(drainTime + checkWindow) // evacuation has the same deadline as draining
	w.fleet.Lock()
	defer w.fleet.Unlock()
	return w.deployment.Readmit(zone)
}

func (w *cluster) evacuateZone(zone string) error {
	w.fleet.Lock()
	defer w.fleet.Unlock()
	return w.deployment.Evacuate(zone)
}

// A series writes seriesLength configurations, one each seriesGap.
const (
	seriesLength = 5
	seriesGap    = 400 * time.Millisecond
)

// configureSeries writes several configurations in quick succession.
func (w *cluster) configureSeries(target int) error {
	for i := range seriesLength {
		if err := w.configure(target + i); err != nil {
			return err
		}
		time.Sleep(seriesGap)
	}
	return nil
}

// configure writes a configuration with a shard count chosen by target.
func (w *cluster) configure(target int) error {
	defer w.recordFault(Configure, nil)()
	w.configuring.Lock()
	defer w.configuring.Unlock()
	count := 2 + target%(shards-1)
	w.allowShardCount(count)
	if err := w.deployment.Configure(count); err != nil {
		return err
	}
	w.shards = count
	w.recordChange(storeChange{at: time.Now(), shards: count})
	return nil
}
