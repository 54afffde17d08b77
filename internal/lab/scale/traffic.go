package scale

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/membership"
)

// The constants of the bytes counted.
const (
	// sampledMessages is the share of messages that are encoded for their size:
	// one in so many. The others count as their estimate times the ratio seen.
	sampledMessages = 64
	// exchangeOverhead is the bytes of the HTTP headers of a request and its
	// reply on a connection of their own, without IP and TCP headers.
	exchangeOverhead = 230
)

// traffic counts messages and bytes of all daemons together.
type traffic struct {
	exchanges uint64
	fetches   uint64
	estimated uint64
	seen      uint64
	// sampledBytes were encoded from messages estimated at sampledEstimate.
	sampledBytes    uint64
	sampledEstimate uint64
}

func newTraffic() traffic { return traffic{} }

func (t *traffic) sent(message membership.Message) {
	t.exchanges++
	t.count(message)
}

func (t *traffic) replied(message membership.Message) { t.count(message) }

func (t *traffic) fetched() { t.fetches++ }

func (t *traffic) count(message membership.Message) {
	estimate := uint64(message.Size())
	t.estimated += estimate
	t.seen++
	if t.seen%sampledMessages == 0 {
		t.sampledBytes += uint64(encodedSize(message))
		t.sampledEstimate += estimate
	}
}

// bytes returns the bytes of bodies and HTTP headers since an earlier state.
func (t *traffic) bytesSince(before traffic) float64 {
	ratio := 1.0
	if t.sampledEstimate > 0 {
		ratio = float64(t.sampledBytes) / float64(t.sampledEstimate)
	}
	return float64(t.estimated-before.estimated)*ratio + float64(t.exchanges-before.exchanges)*exchangeOverhead
}

// encodedSize is the size of a message in the encoding of package peer.
func encodedSize(message membership.Message) int {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetCustomStructTag("json")
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		return message.Size()
	}
	return buffer.Len()
}
