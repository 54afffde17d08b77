// Package machines_test runs the contract tests of machines.Lister: its adapter
// against the stand-in machine list, over loopback.
package machines_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/machines"
	"github.com/doorpond/doorpond/internal/machines/httpsd"
	"github.com/doorpond/doorpond/internal/standin/machinelist"
	"github.com/doorpond/doorpond/internal/topology"
)

var place = topology.Place{Region: "accra", Zone: "accra-a"}

func replicaMachine() machinelist.Machine {
	return machinelist.Machine{Address: "10.0.0.1:9000", Labels: map[string]string{
		machines.LabelRole: machines.RoleBackend, machines.LabelGroup: "cards-north-0",
		machines.LabelRegion: place.Region, machines.LabelZone: place.Zone, machines.LabelState: machines.StateLive,
		machines.LabelIncarnation: "7", machines.LabelSlots: "5", machines.LabelConnections: "75",
	}}
}

func listed(state topology.ReplicaState) machines.List {
	return machines.List{Replicas: []topology.Replica{{
		Address: "10.0.0.1:9000", Incarnation: "7", Group: "cards-north-0", Place: place,
		State: state, Slots: 5, ConnectionLimit: 75,
	}}}
}

func TestListerContract(t *testing.T) {
	const lag = 10 * time.Second
	cases := []struct {
		name   string
		change func(list *machinelist.List)
		early  machines.List // before the lag has elapsed
		late   machines.List // after the lag has elapsed
	}{
		{"unchanged", func(*machinelist.List) {}, listed(topology.ReplicaServing), listed(topology.ReplicaServing)},
		{"leaving shows late", func(list *machinelist.List) { list.SetLeaving("10.0.0.1:9000") },
			listed(topology.ReplicaServing), listed(topology.ReplicaLeaving)},
		{"removal shows late", func(list *machinelist.List) { list.Remove("10.0.0.1:9000") },
			listed(topology.ReplicaServing), machines.List{}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			standin := machinelist.New(func() time.Time { return now })
			standin.Add(replicaMachine())
			standin.SetFaults(machinelist.Faults{LagMilliseconds: lag.Milliseconds()})
			now = now.Add(lag)
			test.change(standin)
			server := httptest.NewServer(standin)
			t.Cleanup(server.Close)
			lister := httpsd.New(server.URL+machinelist.TargetsPath, server.Client())
			for _, want := range []machines.List{test.early, test.late} {
				got, err := lister.List(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("list at %s (-want +got):\n%s", now, diff)
				}
				now = now.Add(lag)
			}
		})
	}
}

func TestListerReportsOutage(t *testing.T) {
	standin := machinelist.New(time.Now)
	standin.Add(replicaMachine())
	standin.SetFaults(machinelist.Faults{Outage: true})
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	list, err := httpsd.New(server.URL+machinelist.TargetsPath, server.Client()).List(t.Context())
	if err == nil {
		t.Errorf("no error during an outage, list %+v", list)
	}
}
