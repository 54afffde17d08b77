package scale

import (
	"time"

	"github.com/doorpond/doorpond/internal/membership"
	"github.com/doorpond/doorpond/internal/topology"
)

// VirtualOptions describe a run in virtual time.
type VirtualOptions struct {
	Daemons int
	// Duration of the measured phases at rest and under churn, in virtual time.
	Duration time.Duration
	Seed     uint64
}

// VirtualResult is what a run in virtual time measured. Times are virtual,
// but for processor times and Elapsed.
type VirtualResult struct {
	Daemons int    `json:"daemons"`
	Seed    uint64 `json:"seed"`
	// Join is from the start of all daemons at once until each knows all.
	Join Phase `json:"join"`
	// Rest is the traffic without changes.
	Rest Phase `json:"rest"`
	// Tables is how long each of a few table revisions took to the last daemon.
	Tables      []time.Duration `json:"tables"`
	TablesPhase Phase           `json:"tables_phase"`
	// FailureFirst and FailureLast are when the first and the last daemon knew
	// that one daemon had died.
	FailureFirst time.Duration `json:"failure_first"`
	FailureLast  time.Duration `json:"failure_last"`
	// Churn is the traffic under the day's restarts and failures.
	Churn Phase `json:"churn"`
	// ZoneLost is until every daemon knew that a whole zone was gone.
	ZoneLost Phase `json:"zone_lost"`
	// HeapPerDaemon is the live heap at rest, with strings shared.
	HeapPerDaemon uint64        `json:"heap_per_daemon_bytes"`
	Elapsed       time.Duration `json:"elapsed"`
}

// Phase is the traffic and cost of one part of a run.
type Phase struct {
	Took time.Duration `json:"took"`
	// Completed is false when the condition did not come true in time.
	Completed bool `json:"completed"`
	// ExchangesPerSecond are requests with their replies, a daemon.
	ExchangesPerSecond float64 `json:"exchanges_per_second"`
	// BytesPerSecond are sent and received, a daemon.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// ProcessorShare is the share of a core that the membership core takes, a
	// daemon, without encoding and HTTP.
	ProcessorShare float64 `json:"processor_share"`
	StoreRequests  uint64  `json:"store_requests"`
	Followers      int     `json:"followers"`
}

// The constants of a run.
const (
	startWindow    = time.Second
	pollInterval   = 50 * time.Millisecond
	longestPhase   = 5 * time.Minute
	calmTime       = 30 * time.Second
	tableChanges   = 5
	restartsPerDay = 9000
	failuresPerDay = 33
	day            = 24 * time.Hour
)

// RunVirtual runs all phases. The same options give the same times and
// traffic; processor time and heap are the machine's.
func RunVirtual(options VirtualOptions, progress func(string)) VirtualResult {
	started := time.Now()
	f := newFleet(options.Daemons, options.Seed)
	result := VirtualResult{Daemons: options.Daemons, Seed: options.Seed}
	progress("join")
	result.Join = f.measure(func() bool { f.startAll(); return f.until(f.allKnow(options.Daemons)) })
	f.run(calmTime)
	progress("rest")
	result.Rest = f.measure(func() bool { f.run(options.Duration); return f.allKnow(options.Daemons)() })
	result.HeapPerDaemon = heapBytes() / uint64(options.Daemons)
	progress("tables")
	result.TablesPhase = f.measure(func() bool { return f.changeTables(&result) })
	progress("failure")
	f.failOne(&result)
	progress("churn")
	result.Churn = f.measure(func() bool { f.churn(options.Duration); return true })
	progress("zone")
	f.restoreAll()
	f.until(f.allKnow(options.Daemons))
	f.run(calmTime)
	result.ZoneLost = f.measure(f.loseZone)
	result.Elapsed = time.Since(started)
	return result
}

func (f *fleet) run(interval time.Duration) { f.engine.RunUntil(f.engine.Now() + interval) }

// until runs until a condition holds; false means that it never did.
func (f *fleet) until(holds func() bool) bool {
	end := f.engine.Now() + longestPhase
	for f.engine.Now() < end {
		if holds() {
			return true
		}
		f.run(pollInterval)
	}
	return false
}

// measure runs a phase and counts what it cost.
func (f *fleet) measure(phase func() bool) Phase {
	traffic, store, begun := f.traffic, f.store.total, f.engine.Now()
	processor := processorTime()
	completed := phase()
	took := f.engine.Now() - begun
	shares := took.Seconds() * float64(len(f.daemons))
	return Phase{
		Took: took, Completed: completed,
		ExchangesPerSecond: float64(f.traffic.exchanges+f.traffic.fetches-traffic.exchanges-traffic.fetches) / shares,
		// each byte is sent by one daemon and received by another
		BytesPerSecond: 2 * f.traffic.bytesSince(traffic) / shares,
		ProcessorShare: (processorTime() - processor).Seconds() / shares,
		StoreRequests:  f.store.total - store,
		Followers:      f.store.followers,
	}
}

func (f *fleet) startAll() {
	for i := range f.daemons {
		at := time.Duration(f.engine.Random().Int64N(int64(startWindow)))
		f.engine.After(at, func() { f.start(i) })
	}
	f.run(startWindow)
}

// allKnow returns a condition: all running daemons know so many live ones.
func (f *fleet) allKnow(live int) func() bool {
	return func() bool {
		for _, d := range f.daemons {
			if d.running() && d.core.Live() != live {
				return false
			}
		}
		return true
	}
}

func (f *fleet) allHave(revision uint64) func() bool {
	return func() bool {
		for _, d := range f.daemons {
			if d.running() && d.table < revision {
				return false
			}
		}
		return true
	}
}

func (f *fleet) changeTables(result *VirtualResult) bool {
	completed := true
	for range tableChanges {
		begun := f.engine.Now()
		revision := f.changeTable()
		completed = f.until(f.allHave(revision)) && completed
		result.Tables = append(result.Tables, f.engine.Now()-begun)
	}
	return completed
}

// failOne kills a daemon and waits until the others know.
func (f *fleet) failOne(result *VirtualResult) {
	victim := len(f.daemons) / 2
	id := f.daemons[victim].process.Name
	f.kill(victim)
	begun := f.engine.Now()
	f.until(func() bool {
		unaware := f.unaware(id)
		if unaware < len(f.daemons)-1 && result.FailureFirst == 0 {
			result.FailureFirst = f.engine.Now() - begun
		}
		return unaware == 0
	})
	result.FailureLast = f.engine.Now() - begun
}

// unaware counts the running daemons that hold a member for live.
func (f *fleet) unaware(id string) int {
	unaware := 0
	for _, d := range f.daemons {
		if !d.running() {
			continue
		}
		if member, known := d.core.Member(id); known && membership.Live(member.State) {
			unaware++
		}
	}
	return unaware
}

// churn restarts and kills daemons at the day's rates, each restart after a
// planned leave.
func (f *fleet) churn(interval time.Duration) {
	end := f.engine.Now() + interval
	f.repeatedly(end, day/restartsPerDay, f.restart)
	f.repeatedly(end, day/failuresPerDay, func(index int) { f.kill(index) })
	f.run(interval)
}

func (f *fleet) repeatedly(end, mean time.Duration, event func(index int)) {
	wait := time.Duration(f.engine.Random().ExpFloat64() * float64(mean))
	if f.engine.Now()+wait > end {
		return
	}
	f.engine.After(wait, func() {
		event(f.engine.Random().IntN(len(f.daemons)))
		f.repeatedly(end, mean, event)
	})
}

// restart lets a daemon leave as planned and starts its successor.
func (f *fleet) restart(index int) {
	const leaveTime, downTime = 2 * time.Second, time.Second
	d := f.daemons[index]
	if !d.running() {
		return
	}
	d.step(membership.LeaveRequested{})
	d.process.After(leaveTime, func() {
		d.step(membership.LeaveCompleted{})
		f.kill(index)
		f.engine.After(downTime, func() { f.start(index) })
	})
}

// restoreAll starts the daemons that are down.
func (f *fleet) restoreAll() {
	const downTime = 5 * time.Second
	f.run(downTime)
	for i, d := range f.daemons {
		if !d.running() {
			f.start(i)
		}
	}
}

// loseZone kills a whole zone and waits until all others know.
func (f *fleet) loseZone() bool {
	lost := place(0)
	survivors := 0
	for i := range f.daemons {
		if place(i) == lost {
			f.kill(i)
		} else {
			survivors++
		}
	}
	return f.until(f.allKnow(survivors))
}

// Places are the zones of the runs.
func Places() []topology.Place {
	places := make([]topology.Place, zoneCount)
	for i := range places {
		places[i] = place(i)
	}
	return places
}
