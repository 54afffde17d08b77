package soak

import (
	"net/netip"
	"slices"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

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

func (w *world) harmReplica(fault Fault, target *standin.Replica) error {
	defer w.noted(fault.Kind, nil)()
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
		target.Reset(lostShare)
		time.Sleep(fault.For)
		target.Reset(0)
	default:
		w.markLeaving(target)
		target.Close()
		time.Sleep(fault.For)
		if err := target.Deregister(); err != nil {
			return err
		}
		return w.succeed(target)
	}
	return nil
}

// lostShare is the share of requests that a replica resets or rejects: more than the retry
// budget could make good.
const lostShare = 0.6

// hungShare is the share of requests that a replica holds: the slots of the others are left
// to those that it serves.
const hungShare = 0.3

// serviceLengths is how many times longer the faults of a whole service are than others:
// long enough for repeats outside the budget to exceed it at the callers' rate.
const serviceLengths = 2

// harmService lets a fault befall all replicas of a service.
func (w *world) harmService(fault Fault) error {
	defer w.noted(fault.Kind, nil)()
	fault.For *= serviceLengths
	shard := fault.Target % shards
	if fault.Kind == ServiceLost {
		return w.loseService(fault.For, standin.ShardService(shard), standin.ShardService((shard+1)%shards))
	}
	set, share := (*standin.Replica).Reset, lostShare
	switch fault.Kind {
	case ServiceReject:
		set = (*standin.Replica).Reject
	case ServiceHang:
		set, share = (*standin.Replica).Hang, hungShare
	}
	harmed := w.serving(standin.ShardService(shard))
	for _, replica := range harmed {
		set(replica, share)
	}
	time.Sleep(fault.For)
	for _, replica := range harmed {
		set(replica, 0)
	}
	return nil
}

// serving returns the replicas of a service that are not leaving.
func (w *world) serving(service string) []*standin.Replica {
	all := w.replicas()
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(all, func(replica *standin.Replica) bool {
		_, leaving := w.leaving[replica]
		return leaving || replica.Service() != service
	})
}

// addressReuse is how long the address of a replica that has ended is not used.
const addressReuse = 500 * time.Millisecond

// loseService ends all replicas of a service, without a word to the store. A replica of
// another service gets the address of one of them; successors come when the fault ends.
func (w *world) loseService(length time.Duration, service, other string) error {
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
		if err := w.succeed(replica); err != nil {
			return err
		}
	}
	return nil
}

// reuseAddress starts a replica like another one at the address of one that has ended.
func (w *world) reuseAddress(gone, like *standin.Replica) error {
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
	_, err := w.deployment.Replace(gone)
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
		err = target.Deregister()
	}
	if err != nil {
		return err
	}
	w.markNews(news{at: time.Now(), replica: target})
	end()
	time.Sleep(2 * drainTime)
	if fault.Kind == Drain {
		return target.Deregister()
	}
	return nil
}
