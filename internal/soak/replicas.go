package soak

import (
	"net/netip"
	"slices"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// replica selects a replica that is not leaving.
func (c *cluster) replica(target int) *standin.Replica {
	all := c.replicas()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range all {
		chosen := all[(target+i)%len(all)]
		if _, leaving := c.leaving[chosen]; !leaving {
			return chosen
		}
	}
	return all[0]
}

func (c *cluster) degradeReplica(fault Fault, target *standin.Replica) error {
	defer c.recordFault(fault.Kind, nil)()
	switch fault.Kind {
	case ReplicaPause:
		target.Pause()
		time.Sleep(fault.For)
		target.Resume()
	case ReplicaAbortResponses:
		target.AbortResponses(true)
		time.Sleep(fault.For)
		target.AbortResponses(false)
	case ReplicaRefuse:
		target.Refuse(true)
		time.Sleep(fault.For)
		target.Refuse(false)
	case ReplicaReset:
		target.Reset(failedShare)
		time.Sleep(fault.For)
		target.Reset(0)
	default:
		c.markLeaving(target)
		target.Close()
		time.Sleep(fault.For)
		if err := target.Deregister(); err != nil {
			return err
		}
		return c.startSuccessor(target)
	}
	return nil
}

// failedShare is the share of requests that a replica resets or rejects: more
// than the retry budget can make up for.
const failedShare = 0.6

// hungShare is the share of requests that a replica hangs. The other requests
// need the remaining slots.
const hungShare = 0.3

// serviceFaultFactor prolongs faults of a whole service, so that retries outside
// the budget would exceed it.
const serviceFaultFactor = 2

// degradeService injects a fault into all replicas of a service.
func (c *cluster) degradeService(fault Fault) error {
	defer c.recordFault(fault.Kind, nil)()
	fault.For *= serviceFaultFactor
	shard := fault.Target % shards
	if fault.Kind == ServiceLost {
		return c.stopService(fault.For, standin.ShardService(shard), standin.ShardService((shard+1)%shards))
	}
	set, share := (*standin.Replica).Reset, failedShare
	switch fault.Kind {
	case ServiceReject:
		set = (*standin.Replica).Reject
	case ServiceHang:
		set, share = (*standin.Replica).Hang, hungShare
	}
	degraded := c.serving(standin.ShardService(shard))
	for _, replica := range degraded {
		set(replica, share)
	}
	time.Sleep(fault.For)
	for _, replica := range degraded {
		set(replica, 0)
	}
	return nil
}

// serving returns the replicas of a service that are not leaving.
func (c *cluster) serving(service string) []*standin.Replica {
	all := c.replicas()
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(all, func(replica *standin.Replica) bool {
		_, leaving := c.leaving[replica]
		return leaving || replica.Service() != service
	})
}

// addressReuse is the time until the address of a stopped replica is reused.
const addressReuse = 500 * time.Millisecond

// stopService stops all replicas of a service without deregistering them. A
// replica of another service reuses one address; successors start at the end.
func (c *cluster) stopService(length time.Duration, service, other string) error {
	lost, others := c.serving(service), c.serving(other)
	for _, replica := range lost {
		c.markLeaving(replica)
		replica.Close()
	}
	time.Sleep(addressReuse)
	if len(lost) > 0 && len(others) > 0 {
		if err := c.reuseAddress(lost[0], others[0]); err != nil {
			return err
		}
	}
	time.Sleep(length)
	for _, replica := range lost {
		if err := replica.Deregister(); err != nil {
			return err
		}
		if err := c.startSuccessor(replica); err != nil {
			return err
		}
	}
	return nil
}

// reuseAddress starts a replica of like's service at the address of gone.
func (c *cluster) reuseAddress(gone, like *standin.Replica) error {
	c.replicasMu.Lock()
	defer c.replicasMu.Unlock()
	_, err := c.deployment.ReplaceAt(like, func(listening netip.AddrPort) (netip.AddrPort, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		link := c.links[slices.Index(c.deployment.Replicas, gone)]
		link.SetTarget(listening)
		c.links = append(c.links, link) // in the replicas' order
		return link.Addr(), nil
	})
	return err
}

// replicas returns all current and former replicas.
func (c *cluster) replicas() []*standin.Replica {
	c.replicasMu.Lock()
	defer c.replicasMu.Unlock()
	return slices.Clone(c.deployment.Replicas)
}

// observedReplicas returns all current and former replicas and the one whose answers may be
// spoiled. No other fault acts on that one.
func (c *cluster) observedReplicas() []*standin.Replica {
	all := c.replicas()
	if faulty := c.deployment.Faulty; faulty != nil {
		all = append(all, faulty)
	}
	return all
}

// spoilAnswers spoils answers of the faulty service for some time. Its replica also rejects requests, so
// that they are retried there.
func (c *cluster) spoilAnswers(fault Fault) {
	defer c.recordFault(fault.Kind, nil)()
	target := c.deployment.Faulty
	target.SetAnswerFaults(answerFaults[fault.Target%len(answerFaults)])
	target.Reject(faultyRejections)
	time.Sleep(fault.For)
	target.SetAnswerFaults(standin.AnswerFaults{})
	target.Reject(0)
}

// faultyRejections is the share of requests that are rejected while answers are spoiled.
const faultyRejections = 0.2

// answerFaults are the ways in which answers are spoiled.
var answerFaults = []standin.AnswerFaults{
	{Surplus: 0.3},
	{Early: 0.7, Unframed: 0.5, Cut: 0.3},
	{Surplus: 0.2, Early: 0.5, Unframed: 0.3, Cut: 0.3},
}

func (c *cluster) markLeaving(target *standin.Replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[target] = time.Now()
}

func (c *cluster) startSuccessor(gone *standin.Replica) error {
	c.replicasMu.Lock()
	defer c.replicasMu.Unlock()
	_, err := c.deployment.Replace(gone)
	return err
}

// removeReplica starts a successor, then drains or deregisters the replica,
// which keeps serving.
func (c *cluster) removeReplica(fault Fault, target *standin.Replica) error {
	c.markLeaving(target)
	if err := c.startSuccessor(target); err != nil {
		return err
	}
	end := c.recordFault(fault.Kind, nil)
	var err error
	if fault.Kind == Drain {
		err = target.Drain()
	} else {
		err = target.Deregister()
	}
	if err != nil {
		return err
	}
	c.recordChange(storeChange{at: time.Now(), replica: target})
	end()
	time.Sleep(2 * drainTime)
	if fault.Kind == Drain {
		return target.Deregister()
	}
	return nil
}
