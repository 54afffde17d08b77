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
func (c *cluster) apply(ctx context.Context, fault Fault) error {
	switch {
	case fault.Kind == KillHalf:
		return c.kill(ctx, c.everySecond(fault.Target))
	case fault.Kind == KillAllTwice:
		if err := c.kill(ctx, c.nodes); err != nil {
			return err
		}
		return c.kill(ctx, c.nodes)
	case fault.Kind == RollNodes:
		return c.roll(ctx)
	case fault.Kind <= HangUpNode:
		return c.signal(ctx, fault, c.nodes[fault.Target%len(c.nodes)])
	case fault.Kind <= StoreLinkSilence:
		target := c.nodes[fault.Target%len(c.nodes)]
		defer c.recordFault(fault.Kind, target)()
		degradeLink(target.store, fault)
	case fault.Kind <= ReplicaLinkSilence:
		defer c.recordFault(fault.Kind, nil)()
		degradeLink(c.linkOf(fault.Target), fault)
	case fault.Kind <= ReplicaCrash:
		return c.degradeReplica(fault, c.replica(fault.Target))
	case fault.Kind <= ServiceLost:
		return c.degradeService(fault)
	case fault.Kind <= StoreFreezeWatches:
		defer c.recordFault(fault.Kind, nil)()
		if err := c.deployment.Store.SetFaults(storeFaults[fault.Kind]); err != nil {
			return err
		}
		time.Sleep(fault.For)
		return c.deployment.Store.SetFaults(kv.Faults{})
	case fault.Kind == Configure:
		return c.configure(fault.Target)
	case fault.Kind == ConfigureSeries:
		return c.configureSeries(fault.Target)
	case fault.Kind == Evacuate:
		return c.evacuate(zones[fault.Target%len(zones)])
	case fault.Kind == ReplicaLinkSilenceOpen:
		defer c.recordFault(fault.Kind, nil)()
		c.linkOf(fault.Target).SilenceOpen()
	case fault.Kind == ServiceHang:
		return c.degradeService(fault)
	case fault.Kind == CrashingRequest:
		c.sendCrashing(ctx, fault)
	case fault.Kind == StartWithoutStore:
		return c.startWithoutStore(ctx, fault)
	case fault.Kind == StoreRestore:
		return c.restoreStore(fault)
	case fault.Kind == PauseStop:
		return c.pauseStop(ctx, fault, c.nodes[fault.Target%len(c.nodes)])
	case fault.Kind == ServiceAnswerFaults:
		c.spoilAnswers(fault)
	case fault.Kind >= firstTenantKind:
		return c.changeTenants(ctx, fault)
	case fault.Kind == PauseDuringChange:
		target := c.nodes[fault.Target%len(c.nodes)]
		defer c.recordFault(fault.Kind, target)()
		pause(target, fault.For)
	default:
		return c.removeReplica(fault, c.replica(fault.Target))
	}
	return nil
}

func degradeLink(link *proxy.Proxy, fault Fault) {
	link.Set(linkModes[fault.Kind])
	time.Sleep(fault.For)
	link.Set(proxy.Pass)
}

func (c *cluster) linkOf(target int) *proxy.Proxy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[target%len(c.links)]
}

// signal sends a node the signal of a fault and restarts the node if it exits.
func (c *cluster) signal(ctx context.Context, fault Fault, target *node) error {
	defer c.recordFault(fault.Kind, target)()
	switch fault.Kind {
	case HangUpNode:
		_ = target.process.Signal(syscall.SIGHUP) // fails if another fault has just stopped the node
		return nil
	case PauseNode:
		pause(target, fault.For)
		return nil
	case StopNode:
		return c.restartAfter(ctx, target, syscall.SIGTERM)
	default:
		return c.restartAfter(ctx, target, syscall.SIGKILL)
	}
}

// pause suspends a node for some time.
func pause(target *node, duration time.Duration) {
	if err := target.process.Signal(syscall.SIGSTOP); err != nil {
		return // another fault has just stopped the node
	}
	time.Sleep(duration)
	_ = target.process.Signal(syscall.SIGCONT) // fails if the node was killed meanwhile
}

func (c *cluster) everySecond(first int) []*node {
	var chosen []*node
	for i := first % 2; i < len(c.nodes); i += 2 {
		chosen = append(chosen, c.nodes[i])
	}
	return chosen
}

// kill kills nodes concurrently and restarts them.
func (c *cluster) kill(ctx context.Context, targets []*node) error {
	var group errgroup.Group
	for _, target := range targets {
		group.Go(func() error {
			defer c.recordFault(KillNode, target)()
			return c.restartAfter(ctx, target, syscall.SIGKILL)
		})
	}
	return group.Wait()
}

// startWithoutStore kills every second node during a store outage that lasts for
// fault.For after their restart.
func (c *cluster) startWithoutStore(ctx context.Context, fault Fault) error {
	defer c.recordFault(fault.Kind, nil)()
	if err := c.deployment.Store.SetFaults(kv.Faults{Outage: true}); err != nil {
		return err
	}
	if err := c.kill(ctx, c.everySecond(fault.Target)); err != nil {
		return err
	}
	time.Sleep(fault.For)
	return c.deployment.Store.SetFaults(kv.Faults{})
}

// rollGap is the time between two stops of a rolling restart. It is shorter than
// a stop, so that some nodes stop while others start.
const rollGap = 700 * time.Millisecond

// maxRolled bounds the nodes of a rolling restart, to fit into a round.
const maxRolled = 12

// roll restarts nodes in quick succession.
func (c *cluster) roll(ctx context.Context) error {
	var group errgroup.Group
	for i, target := range c.nodes[:min(len(c.nodes), maxRolled)] {
		group.Go(func() error {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(time.Duration(i) * rollGap):
			}
			defer c.recordFault(StopNode, target)()
			return c.restartAfter(ctx, target, syscall.SIGTERM)
		})
	}
	return group.Wait()
}

// restartAfter signals a process to exit and restarts it. Concurrent faults on
// the same process are serialized.
func (c *cluster) restartAfter(ctx context.Context, target *node, number syscall.Signal) error {
	target.restartMu.Lock()
	defer target.restartMu.Unlock()
	_ = target.process.Signal(number) // an unexpected exit is already a finding
	bounded, cancel := context.WithTimeout(ctx, 2*gracePeriod)
	defer cancel()
	if err := target.process.Wait(bounded); err != nil {
		if ctx.Err() == nil {
			c.addNote("node " + target.settings.Node + " did not end within twice its grace time")
		}
		target.process.Kill()
	}
	time.Sleep(restartDelay)
	return target.process.Start()
}

// evacuate evacuates a zone until the checks of its replicas are over.
func (c *cluster) evacuate(zone string) error {
	defer c.recordFault(Evacuate, nil)()
	c.evacuationMu.Lock()
	defer c.evacuationMu.Unlock()
	if err := c.setEvacuated(zone); err != nil {
		return err
	}
	at := time.Now()
	for _, replica := range c.replicas() {
		if replica.Zone() == zone {
			c.recordChange(storeChange{at: at, replica: replica})
		}
	}
	time.Sleep(drainTime + checkWindow) // evacuation has the same deadline as draining
	c.replicasMu.Lock()
	defer c.replicasMu.Unlock()
	return c.deployment.Readmit(zone)
}

func (c *cluster) setEvacuated(zone string) error {
	c.replicasMu.Lock()
	defer c.replicasMu.Unlock()
	return c.deployment.Evacuate(zone)
}

// A series writes seriesLength configurations, one each seriesGap.
const (
	seriesLength = 5
	seriesGap    = 400 * time.Millisecond
)

// configureSeries writes several configurations in quick succession.
func (c *cluster) configureSeries(target int) error {
	for i := range seriesLength {
		if err := c.configure(target + i); err != nil {
			return err
		}
		time.Sleep(seriesGap)
	}
	return nil
}

// configure writes a configuration with a shard count chosen by target.
func (c *cluster) configure(target int) error {
	defer c.recordFault(Configure, nil)()
	c.configMu.Lock()
	defer c.configMu.Unlock()
	count := 2 + target%(shards-1)
	c.allowShardCount(count)
	if err := c.deployment.Configure(count); err != nil {
		return err
	}
	c.shards = count
	c.recordChange(storeChange{at: time.Now(), shards: count})
	return nil
}
