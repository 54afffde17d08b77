package quota

import (
	"net/netip"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

// Guards against reports that do not fit into a datagram.
func TestReportFits(t *testing.T) {
	r := report{Node: 1<<64 - 1, Incarnation: 1<<64 - 1, Sequence: maxCount, UptimeMilliseconds: maxCount, Flags: 255}
	for range maxEntries {
		r.Entries = append(r.Entries, entry{
			Tenant: 1<<64 - 1, AgeMilliseconds: 1 << 31, Count: 1 << 31, Balance: -1 << 24, Demand: 1 << 24, LongDemand: 1 << 24,
		})
	}
	if size := len(r.encode()); size > maxDatagramBytes {
		t.Errorf("%d bytes", size)
	}
}

// Guards against datagrams of other senders that crash a node, or that leave an account outside of
// its range.
func FuzzReceive(f *testing.F) {
	tenant := TenantID("a")
	for _, r := range []report{
		{Node: 2, Incarnation: 3, Sequence: 1, UptimeMilliseconds: 60_000, Flags: flagWant | flagAnswer},
		{Node: 2, Incarnation: 3, Sequence: 1, Entries: []entry{{Tenant: tenant, Count: 7, Balance: 3, AgeMilliseconds: 100, Demand: 8}}},
		{Node: 2, Incarnation: 3, Sequence: 1, Entries: []entry{{Tenant: tenant, Count: -maxCount, Balance: -maxValue, LongDemand: maxValue}}},
	} {
		f.Add(r.encode())
	}
	f.Add([]byte{0x96, 1, 1, 1, 1, 0, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, content []byte) {
		now := time.Hour
		core := NewCore(CoreConfig{Self: 1, Incarnation: 1, Bounds: testBounds, Now: now})
		limit := routing.RateLimit{PerSecond: 10, Burst: 10}
		core.SetLimits(now, map[uint64]TenantLimit{tenant: {Name: "a", Limit: limit}})
		for range 3 {
			_ = core.Receive(now, netip.MustParseAddrPort("127.0.0.1:1"), content)
			now += time.Second
			core.Tick(now)
			core.Admit(now, "a", limit, false)
		}
		a := core.accounts[tenant]
		if a.balance > a.division.Burst || a.balance < -a.division.Burst-1 || a.reserved < 0 || a.reserved > 1.001 {
			t.Errorf("balance %g of %g, reserved %g", a.balance, a.division.Burst, a.reserved)
		}
	})
}
