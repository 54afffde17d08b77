package tenantcheck

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// bounds are those of the tests: 10 x 5 + 10 requests in a window, times 1.1, plus 20, are 86.
var bounds = Bounds{
	Apply: 3 * time.Second, Contact: 5 * time.Second, Window: 5 * time.Second, Overage: 0.1, Slack: 20, LostShare: 0.03,
}

const windowBound = 86

func version(at time.Duration, tenants ...Tenant) Version {
	return Version{Began: at, Acknowledged: at + 10*time.Millisecond, Tenants: tenants}
}

func acme(keys ...string) Tenant { return Tenant{Name: "acme", Keys: keys, Rate: 10, Burst: 10} }

func globex(keys ...string) Tenant { return Tenant{Name: "globex", Keys: keys} }

// passed returns a request that a replica ran for a tenant.
func passed(at time.Duration, key, tenant string) Request {
	r := Request{ID: "r", Node: "n", Sent: at, Ended: at + 30*time.Millisecond, Key: key, Status: http.StatusOK}
	arrival := Arrival{At: at + 10*time.Millisecond, Region: "region-a", Executed: true}
	if tenant != "" {
		arrival.Tenants = []string{tenant}
	}
	r.Arrivals = []Arrival{arrival}
	return r
}

func refused(at time.Duration, key string, status int) Request {
	return Request{
		ID: "r", Node: "n", Sent: at, Ended: at + time.Millisecond, Key: key, Status: status,
		Challenged: status == http.StatusUnauthorized,
	}
}

func changed(request Request, change func(*Request)) Request {
	change(&request)
	return request
}

// burst returns requests at equal intervals.
func burst(from, length time.Duration, count int, request func(at time.Duration) Request) []Request {
	var requests []Request
	for i := range count {
		at := from + length*time.Duration(i)/time.Duration(count)
		requests = append(requests, changed(request(at), func(r *Request) { r.ID = fmt.Sprint("r", at) }))
	}
	return requests
}

func runAcme(at time.Duration) Request { return passed(at, "k1", "acme") }

func limitAcme(at time.Duration) Request { return refused(at, "k1", http.StatusTooManyRequests) }

const second = time.Second

// Guards against checks that overlook a violation, or that report what the configuration allows.
func TestCheck(t *testing.T) {
	first := version(-second, acme("k1", "k2"), globex("k3"))
	revoked := version(10*second, acme("k2"), globex("k3"))
	moved := version(10*second, acme("k2"), globex("k3", "k1"))
	lowered := version(10*second, Tenant{Name: "acme", Keys: []string{"k1"}, Rate: 2, Burst: 2})
	cut := []Span{{Node: "n", From: 9 * second, Until: 14 * second}}
	cases := []struct {
		name   string
		record Record
		want   string // substring of the only finding; empty if none is expected
	}{
		{"tenant of the key's holder", Record{Requests: []Request{passed(second, "k1", "acme"), passed(second, "k3", "globex")}}, ""},
		{"tenant of another key", Record{Requests: []Request{passed(second, "k1", "globex")}}, `for tenant "globex", though key`},
		{"no tenant on a protected route", Record{Requests: []Request{passed(second, "k1", "")}}, `for tenant "", though key`},
		{"run without a key", Record{Requests: []Request{passed(second, "", "acme")}}, "it has no key"},
		{"run with a key that was never held", Record{Requests: []Request{passed(second, "k9", "acme")}}, `for tenant "acme", though key`},
		{"never held key, not executed", Record{Requests: []Request{changed(passed(second, "k9", ""), func(r *Request) { r.Arrivals[0].Executed = false })}}, `for tenant ""`},
		{"public route without a key", Record{Requests: []Request{changed(passed(second, "", ""), func(r *Request) { r.Public = true })}}, ""},
		{"public route with an unknown key", Record{Requests: []Request{changed(passed(second, "k9", ""), func(r *Request) { r.Public = true })}}, ""},
		{"public route with a key", Record{Requests: []Request{changed(passed(second, "k1", "acme"), func(r *Request) { r.Public = true })}}, ""},
		{"public route, tenant not passed on", Record{Requests: []Request{changed(passed(second, "k1", ""), func(r *Request) { r.Public = true })}}, `for tenant ""`},
		{"public route, forged tenant", Record{Requests: []Request{changed(passed(second, "", "acme"), func(r *Request) { r.Public = true })}}, `for tenant "acme"`},
		{"public route refused", Record{Requests: []Request{changed(refused(second, "k9", 401), func(r *Request) { r.Public = true })}}, "refused with 401"},
		{"two tenants at a replica", Record{Requests: []Request{changed(passed(second, "k1", "acme"), func(r *Request) {
			r.Arrivals[0].Tenants = []string{"acme", "globex"}
		})}}, "received 2 tenants"},
		{"key at a replica", Record{Requests: []Request{changed(passed(second, "k1", "acme"), func(r *Request) { r.Arrivals[0].Credentials = 1 })}}, "received a key"},
		{"tenant changed between shards", Record{
			Versions: []Version{first, moved},
			Requests: []Request{changed(passed(10*second, "k1", "acme"), func(r *Request) {
				r.Arrivals = append(r.Arrivals, Arrival{At: 10*second + 20*time.Millisecond, Executed: true, Tenants: []string{"globex"}})
			})},
		}, `for tenant "acme" and for "globex"`},
		{"region outside the tenant's", Record{
			Versions: []Version{version(-second, Tenant{Name: "acme", Keys: []string{"k1"}, Regions: []string{"region-b"}})},
			Requests: []Request{passed(second, "k1", "acme")},
		}, "on to region-a"},
		{"401 with a key", Record{Requests: []Request{refused(second, "k1", 401)}}, "refused with 401"},
		{"401 without a key", Record{Requests: []Request{refused(second, "", 401)}}, ""},
		{"401 with a key that was never held", Record{Requests: []Request{refused(second, "k9", 401)}}, ""},
		{"401 without a challenge", Record{Requests: []Request{changed(refused(second, "", 401), func(r *Request) { r.Challenged = false })}}, "without a challenge"},
		{"404", Record{Requests: []Request{refused(second, "k1", 404)}}, "refused with 404"},
		{"429 and run", Record{
			Unsettled: []Span{{From: 0, Until: second}},
			Requests:  []Request{changed(passed(second, "k1", "acme"), func(r *Request) { r.Status = 429 })},
		}, "refused with 429 and ran"},
		{"key revoked just now", Record{Versions: []Version{first, revoked}, Requests: []Request{passed(12*second, "k1", "acme"), refused(12*second, "k1", 401)}}, ""},
		{"key revoked longer ago than the bound", Record{Versions: []Version{first, revoked}, Requests: []Request{passed(14*second, "k1", "acme")}}, `for tenant "acme"`},
		{"key revoked longer ago than the bound, node cut off", Record{Versions: []Version{first, revoked}, Disturbances: cut, Requests: []Request{passed(14*second, "k1", "acme")}}, ""},
		{"key revoked longer ago than the bound, another node cut off", Record{
			Versions: []Version{first, revoked}, Disturbances: []Span{{Node: "m", From: 9 * second, Until: 14 * second}},
			Requests: []Request{passed(14*second, "k1", "acme")},
		}, `for tenant "acme"`},
		{"key revoked, node in contact again", Record{Versions: []Version{first, revoked}, Disturbances: cut, Requests: []Request{passed(20*second, "k1", "acme")}}, `for tenant "acme"`},
		{"key added just now", Record{Versions: []Version{revoked, version(20*second, acme("k1"))}, Requests: []Request{refused(22*second, "k1", 401), passed(22*second, "k1", "acme")}}, ""},
		{"key added longer ago than the bound", Record{Versions: []Version{revoked, version(20*second, acme("k1"))}, Requests: []Request{refused(24*second, "k1", 401)}}, "refused with 401"},
		{"key run before it was added", Record{Versions: []Version{version(-second, acme("k2")), version(20*second, acme("k1"))}, Requests: []Request{passed(15*second, "k1", "acme")}}, `for tenant "acme"`},
		{"key moved just now", Record{Versions: []Version{first, moved}, Requests: []Request{passed(11*second, "k1", "acme"), passed(11*second, "k1", "globex")}}, ""},
		{"key moved longer ago than the bound", Record{Versions: []Version{first, moved}, Requests: []Request{passed(14*second, "k1", "acme")}}, `for tenant "acme"`},
		{"window at the bound", Record{Requests: burst(0, 4*second, windowBound, runAcme)}, ""},
		{"window over the bound", Record{Requests: burst(0, 4*second, windowBound+1, runAcme)}, "87 requests of \"acme\" ran in the 5s"},
		{"fullest of the windows over the bound", Record{Requests: append(
			burst(0, 4*second, windowBound+1, runAcme), burst(20*second, 4*second, windowBound+9, runAcme)...,
		)}, "95 requests of \"acme\" ran in the 5s from 20s on"},
		{"window over the bound on two nodes", Record{
			Disturbances: []Span{{Node: "m", From: 0, Until: 10 * second}},
			Requests: append(burst(0, 4*second, 50, runAcme), burst(0, 4*second, 50, func(at time.Duration) Request {
				return changed(runAcme(at), func(r *Request) { r.Node = "m" })
			})...),
		}, "100 requests of \"acme\" ran in the 5s from 0s on, of 86 allowed: m 50, n 50"},
		{"over the bound, arrived after the window", Record{Requests: burst(0, 4*second, windowBound+1, func(at time.Duration) Request {
			return changed(runAcme(at), func(r *Request) { r.Arrivals[0].At = 6*second + 2*at })
		})}, ""},
		{"over the bound, not executed", Record{Requests: burst(0, 4*second, windowBound+1, func(at time.Duration) Request {
			return changed(runAcme(at), func(r *Request) { r.Arrivals[0].Executed = false })
		})}, ""},
		{"no limit", Record{Requests: burst(0, 4*second, 500, func(at time.Duration) Request { return passed(at, "k3", "globex") })}, ""},
		{"lower limit, one window not over", Record{Versions: []Version{first, lowered}, Requests: burst(17*second, second, 40, runAcme)}, ""},
		{"lower limit", Record{Versions: []Version{first, lowered}, Requests: burst(19*second, second, 40, runAcme)}, "of 33 allowed"},
		{"lower limit, a node cut off", Record{Versions: []Version{first, lowered}, Disturbances: cut, Requests: burst(19*second, second, 40, runAcme)}, ""},
		{"higher limit just now", Record{
			Versions: []Version{lowered, version(20*second, acme("k1"))}, Requests: burst(20*second, second, 60, runAcme),
		}, ""},
		{"429 above the limit", Record{Requests: append(burst(0, second, 20, runAcme), burst(second, 100*time.Millisecond, 20, limitAcme)...)}, ""},
		{"429 below the limit", Record{Requests: append(burst(0, second, 5, runAcme), limitAcme(2*second))}, "1 of the 6 requests of \"acme\" that were below its limit got 429: sent from 2s to 2s, n 1"},
		{"429 below the limit, unsettled", Record{
			Unsettled: []Span{{From: 0, Until: second}}, Requests: append(burst(0, second, 5, runAcme), limitAcme(2*second)),
		}, ""},
		{"few 429 below the limit", Record{Requests: append(burst(0, 10*second, 50, runAcme), limitAcme(5*second))}, ""},
		{"429 without a limit", Record{Requests: []Request{refused(second, "k3", 429)}}, "1 of the 1 requests of \"globex\""},
		{"half of what is owed", Record{
			// 20 requests a second of 10 a second, of which every fourth is admitted
			Requests: append(burst(0, 20*second, 100, runAcme), burst(25*time.Millisecond, 20*second, 300, limitAcme)...),
		}, "below its limit got 429"},
		{"what is owed, but other requests of the tenant", Record{
			// the burst at first; then, of 5 requests each 100 ms, the last one instead of the first
			Requests: append(burst(0, time.Millisecond, 10, runAcme), append(burst(80*time.Millisecond, 20*second, 200, runAcme),
				burst(0, 20*second, 800, func(at time.Duration) Request { return limitAcme(at - at%(100*time.Millisecond)) })...)...),
		}, ""},
		{"what requests spent while their key moved", Record{
			Versions: []Version{first, moved},
			// 10 requests take the burst while the key may still be acme's, and 429 follow
			Requests: append(burst(10*second, second, 20, runAcme),
				burst(11*second, second/10, 3, func(at time.Duration) Request { return refused(at, "k2", 429) })...),
		}, ""},
		{"429 while another key moved and spent nothing", Record{
			Versions: []Version{first, moved},
			Requests: burst(11*second, second/10, 3, func(at time.Duration) Request { return refused(at, "k2", 429) }),
		}, "3 of the 3 requests of \"acme\""},
		{"429 while a key moved and spent another tenant's tokens", Record{
			Versions: []Version{first, moved},
			Requests: append(burst(10*second, second, 20, func(at time.Duration) Request { return passed(at, "k1", "globex") }),
				burst(11*second, second/10, 3, func(at time.Duration) Request { return refused(at, "k2", 429) })...),
		}, "3 of the 3 requests of \"acme\""},
		{"503 below the limit", Record{Requests: []Request{refused(second, "k1", 503)}}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if test.record.Versions == nil {
				test.record.Versions = []Version{first}
			}
			got := Check(bounds, test.record).Findings
			switch {
			case test.want == "" && len(got) > 0:
				t.Errorf("findings %q", got)
			case test.want != "" && (len(got) != 1 || !strings.Contains(got[0], test.want)):
				t.Errorf("findings %q, want one with %q", got, test.want)
			}
		})
	}
}

// Guards against findings that reveal a key.
func TestFindingsContainNoKey(t *testing.T) {
	const key = "hz6prvnzqjynjcfv8nmp"
	record := Record{
		Versions: []Version{version(-second, acme(key))},
		Requests: []Request{refused(second, key, 401), passed(second, key, "globex"), passed(second, key+"x", "acme"), refused(second, key, 429)},
	}
	got := Check(bounds, record).Findings
	if len(got) != 4 {
		t.Fatalf("findings %q", got)
	}
	for _, finding := range got {
		if strings.Contains(finding, key) {
			t.Errorf("a finding reveals a key: %q", finding)
		}
	}
}

// Guards against counts in the report that do not match the record.
func TestCounts(t *testing.T) {
	got := Check(bounds, Record{
		Versions: []Version{version(-second, acme("k1"))},
		Requests: append(burst(0, 5*second, 43, runAcme), append(burst(0, second, 1, limitAcme), limitAcme(5*second))...),
	})
	if got.Owed != 45 || got.Lost != 2 || got.Limited != 2 || got.Fullest != 0.5 {
		t.Errorf("%d owed, %d lost, %d limited, fullest %v", got.Owed, got.Lost, got.Limited, got.Fullest)
	}
}
