package quota

import (
	"bytes"
	"cmp"
	"errors"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// maxDatagramBytes is the maximum size of a report. It fits into an Ethernet frame.
const maxDatagramBytes = 1400

const (
	// entryBytes and headerBytes are upper bounds of the encoded sizes.
	entryBytes  = 34
	headerBytes = 48
	// maxEntries is the maximum number of entries of a report.
	maxEntries = (maxDatagramBytes - headerBytes) / entryBytes
	// maxCount bounds a count, and maxValue a balance or rate, that a report may contain.
	maxCount = 1 << 40
	maxValue = 1 << 30
	// valueScale is the resolution of balances and rates in reports.
	valueScale = 32
)

// report is a datagram between nodes. Values are in units of 1/valueScale.
type report struct {
	// Node identifies the sender, Incarnation its process.
	Node, Incarnation uint64
	// Sequence increases with each datagram of a process.
	Sequence uint64
	// UptimeMilliseconds is the age of the process.
	UptimeMilliseconds uint64
	// Flags are flagWant and flagComplete.
	Flags   uint8
	Entries []entry
}

const (
	// flagWant asks the receiver for all its accounts.
	flagWant = 1 << iota
	// flagAnswer marks the answer to flagWant.
	flagAnswer
)

// entry is the sender's part in an account.
type entry struct {
	Tenant uint64
	// AgeMilliseconds is the time since the sender's count began at zero.
	AgeMilliseconds uint64
	// Count is the number of the sender's admissions since then, less those returned.
	Count int64
	// Balance is the account's balance as the sender sees it.
	Balance int64
	// Demand and LongDemand are the requests per second at the sender, over about half a second
	// and over some seconds.
	Demand, LongDemand uint64
}

var errOutOfRange = errors.New("report has a field out of range")

func (r *report) uptime() time.Duration {
	return time.Duration(r.UptimeMilliseconds) * time.Millisecond
}

// encode returns the report as one array of integers.
func (r *report) encode() []byte {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	put := func(values ...uint64) {
		for _, value := range values {
			_ = encoder.EncodeUint(value) // a buffer accepts everything
		}
	}
	put(r.Node, r.Incarnation, r.Sequence, r.UptimeMilliseconds, uint64(r.Flags), uint64(len(r.Entries)))
	for i := range r.Entries {
		e := &r.Entries[i]
		put(e.Tenant, e.AgeMilliseconds)
		_ = encoder.EncodeInt(e.Count)
		_ = encoder.EncodeInt(e.Balance)
		put(e.Demand, e.LongDemand)
	}
	return buffer.Bytes()
}

// decode does not trust the number of entries: it is bounded before anything is allocated.
func decode(content []byte) (*report, error) {
	if len(content) > maxDatagramBytes {
		return nil, errOutOfRange
	}
	decoder := msgpack.NewDecoder(bytes.NewReader(content))
	var failed error
	unsigned := func(most uint64) uint64 {
		value, err := decoder.DecodeUint64()
		if err != nil || value > most {
			failed = cmp.Or(failed, err, errOutOfRange)
			return 0
		}
		return value
	}
	signed := func(most int64) int64 {
		value, err := decoder.DecodeInt64()
		if err != nil || value > most || value < -most {
			failed = cmp.Or(failed, err, errOutOfRange)
			return 0
		}
		return value
	}
	r := &report{
		Node: unsigned(math.MaxUint64), Incarnation: unsigned(math.MaxUint64), Sequence: unsigned(maxCount),
		UptimeMilliseconds: unsigned(maxCount), Flags: uint8(unsigned(math.MaxUint8)),
	}
	entries := unsigned(maxEntries)
	for range entries {
		if failed != nil {
			break
		}
		r.Entries = append(r.Entries, entry{
			Tenant: unsigned(math.MaxUint64), AgeMilliseconds: unsigned(maxCount), Count: signed(maxCount), Balance: signed(maxValue),
			Demand: unsigned(maxValue), LongDemand: unsigned(maxValue),
		})
	}
	if failed != nil {
		return nil, failed
	}
	return r, nil
}
