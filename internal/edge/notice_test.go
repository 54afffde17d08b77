package edge

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/doorpond/doorpond/internal/announce"
	"github.com/doorpond/doorpond/internal/decision"
	"github.com/doorpond/doorpond/internal/quarantine"
	"github.com/doorpond/doorpond/internal/topology"
	"github.com/doorpond/doorpond/internal/upstream"
)

// A record must fit into a datagram regardless of the length of the names in it.
func TestLongestRecordFitsNotice(t *testing.T) {
	announcer, err := announce.New(announce.Options{Address: "127.0.0.1:0", Nodes: func() *topology.Nodes { return nil }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(announcer.Close)
	long := strings.Repeat("x", 1000)
	message := &upstream.Request{
		Method: http.MethodGet, Host: long, Target: "/" + long,
		Caller: netip.MustParseAddr("2001:db8:1111:2222:3333:4444:5555:6666"),
	}
	broadcasts := 0
	list := quarantine.New(quarantine.Config{Broadcast: func(record quarantine.Record) {
		broadcasts++
		notice, err := msgpack.Marshal(&record)
		if err != nil {
			t.Fatal(err)
		}
		if err := announcer.SendNotice(notice); err != nil {
			t.Error(err)
		}
	}})
	evidence := decision.CrashEvidence{Crashes: 1 << 20, Incidents: 1 << 20, Attribution: 1 << 20}
	for replica := range 8 {
		evidence.Incidents++
		list.RecordCrash(message, quarantine.Route{Name: long, Shards: 1}, fmt.Sprint(replica, long), evidence)
	}
	list.Quarantine(message)
	if broadcasts < 2 {
		t.Errorf("%d broadcasts, want at least 2", broadcasts)
	}
}
