package backend

import (
	"sync"

	"github.com/doorpond/doorpond/internal/backendapi"
)

// ReplyFault is what goes wrong with a reply.
type ReplyFault string

// The faults of replies; the empty one is none.
const (
	// FaultTruncated cuts the body in the middle and then the connection.
	FaultTruncated ReplyFault = "truncated"
	// FaultShort leaves out the last hit but not its count; a reply of no
	// hits claims one.
	FaultShort ReplyFault = "short"
	// FaultDuplicated repeats the first hit and counts it, where there is one.
	FaultDuplicated ReplyFault = "duplicated"
	// FaultWrongShard, FaultWrongSnapshot, FaultWrongAttempt and FaultCrossed
	// echo another shard, snapshot, attempt and query.
	FaultWrongShard    ReplyFault = "wrong_shard"
	FaultWrongSnapshot ReplyFault = "wrong_snapshot"
	FaultWrongAttempt  ReplyFault = "wrong_attempt"
	FaultCrossed       ReplyFault = "crossed"
	// FaultResetBefore cuts the connection before the request is run.
	FaultResetBefore ReplyFault = "reset_before"
	// FaultResetAfter cuts the connection after the request was run.
	FaultResetAfter ReplyFault = "reset_after"
	// FaultServerError answers 500 after the request was run.
	FaultServerError ReplyFault = "server_error"
	// FaultNotJSON answers 200 with a body that is not JSON.
	FaultNotJSON ReplyFault = "not_json"
)

// Faults is the body of POST /standin/faults; it replaces the faults in force.
type Faults struct {
	// Reply is the fault of the next ReplyCount replies; a ReplyCount of 0
	// means of all replies.
	Reply      ReplyFault `json:"reply"`
	ReplyCount int        `json:"reply_count"`
	// Outage cuts the connection of every request before it is run.
	Outage bool `json:"outage"`
	// ServiceFactor multiplies service times; 0 means 1.
	ServiceFactor float64 `json:"service_factor"`
	// StatusLies makes /status say that the replica serves and is idle.
	StatusLies bool `json:"status_lies"`
	// StatusFrozen makes /status repeat what it was when the fault began.
	StatusFrozen bool `json:"status_frozen"`
	// HideDrain leaves the drain out of replies, so that only refusals and
	// the status show it.
	HideDrain bool `json:"hide_drain"`
	// Shed refuses every request as shed.
	Shed bool `json:"shed"`
}

// faultState is the faults in force.
type faultState struct {
	mutex  sync.Mutex
	faults Faults
	// left is the number of faulty replies left when the faults limit it.
	left   int
	frozen backendapi.Status
}

func (f *faultState) set(faults Faults, status backendapi.Status) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
	f.left = faults.ReplyCount
	f.frozen = status
}

func (f *faultState) current() Faults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.faults
}

// takeReply returns the fault of the next reply and counts it.
func (f *faultState) takeReply() ReplyFault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	fault := f.faults.Reply
	if fault == "" || f.faults.ReplyCount == 0 {
		return fault
	}
	f.left--
	if f.left <= 0 {
		f.faults.Reply = ""
	}
	return fault
}

// status returns what /status answers for the truth.
func (f *faultState) status(truth backendapi.Status) backendapi.Status {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.faults.StatusFrozen {
		return f.frozen
	}
	if f.faults.StatusLies {
		truth.State = backendapi.StateServing
		truth.Load = backendapi.Load{Slots: truth.Load.Slots}
	}
	return truth
}
