package soak

import (
	"net/netip"
	"slices"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

// replica selects a replica that is not leaving.
func (w *cluster) replica(target int) *standin.Replica {
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

func (w *cluster) degradeReplica(fault Fault, target *standin.Replica) error {
	defer w.recordFault(fault.Kind, nil)()
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
		w.markLeaving(target)
		target.Close()
		time.Sleep(fault.For)
		if err := target.Deregister(); err != nil {
			return err
		}
		return w.startSuccessor(target)
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
func (w *cluster) degradeService(fault Fault) error {
	defer w.recordFault(fault.Kind, nil)()
	fault.For *= serviceFaultFactor
	shard := fault.Target % shards
	if fault.Kind == ServiceLost {
		return w.loseService(fault.For, standin.ShardService(shard), standin.ShardService((shard+1)%shards))
	}
	set, share := (*standin.Replica).Reset, failedShare
	switch fault.Kind {
	case ServiceReject:
		set = (*standin.Replica).Reject
	case ServiceHang:
		set, share = (*standin.Replica).Hang, hungShare
	}
	degraded := w.serving(standin.ShardService(shard))
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
func (w *cluster) serving(service string) []*standin.Replica {
	all := w.replicas()
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(all, func(replica *standin.Replica) bool {
		_, leaving := w.leaving[replica]
		return leaving || replica.Service() != service
	})
}

// addressReuse is the time until the address of a stopped replica is reused.
const addressReuse = 500 * time.Millisecond

// loseService stops all replicas of a service without deregistering them. A
// replica of another service reuses one address; successors start at the end.
func (w *cluster) loseService(length time.Duration, service, other string) error {
	lost, others := w.serving(service), w.serving(other)
	for _, replica := range lost {
		w.markLeaving(replica)
		replica.Close()
	}
	time.Sleep(addressReuse)
	if len(lost) > 0 && len(others) > 0 {
		if err := w.reuseAddress(lost[0], others[0]); err != nil {
			return err
		}
	}
	time.Sleep(length)
	for _, replica := range lost {
		if err := replica.Deregister(); err != nil {
			return err
		}
		if err := w.startSuccessor(replica); err != nil {
			return err
		}
	}
	return nil
}

// reuseAddress starts a replica of like's service at the address of gone.
func (w *cluster) reuseAddress(gone, like *standin.Replica) error {
	w.fleet.Lock()
	defer w.fleet.Unlock()
	_, err := w.deployment.ReplaceAt(like, func(listening netip.AddrPort) (netip.AddrPort, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		link := w.links[slices.Index(w.deployment.Replicas, gone)]
		link.SetTarget(listening)
		w.links = append(w.links, link) // in the replicas' order
		return link.Addr(), nil
	})
	return err
}

// replicas returns all current and former replicas.
func (w *cluster) replicas() []*standin.Replica {
	w.fleet.Lock()
	defer w.fleet.Unlock()
	return slices.Clone(w.deployment.Replicas)
}

func (w *cluster) markLeaving(target *standin.Replica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving[target] = time.Now()
}

func (w *cluster) startSuccessor(gone *standin.Replica) error {
	w.fleet.Lock()
	defer w.fleet.Unlock()
	_, err := w.deployment.Replace(gone)
	return err
}

// removeReplica starts a successor, then drains or deregisters the replica,
// which keeps serving.
func (w *cluster) removeReplica(fault Fault, target *standin.Replica) error {
	w.markLeaving(target)
	if err := w.startSuccessor(target); err != nil {
		return err
	}
	end := w.recordFault(fault.Kind, nil)
	var err error
	if fault.Kind == Drain {
		err = target.Drain()
	} else {
		err = target.Deregister()
	}
	if err != nil {
		return err
	}
	w.recordChange(storeChange{at: time.Now(), replica: target})
	end()
	time.Sleep(2 * drainTime)
	if fault.Kind == Drain {
		return target.Deregister()
	}
	return nil
}
