package system

import (
	"slices"
	"testing"
	"time"

	"github.com/doorpond/doorpond/internal/topology"
)

// Nobody asks the back ends anything and the machine list lags 6 s, so that
// only probes can tell of the drain in time.
func TestADrainIsLearnedOfByProbing(t *testing.T) {
	cases := []struct {
		name     string
		topology string
		frozen   bool // one of the daemons in the back end's zone
	}{
		{"ayensu", Ayensu, false},
		{"ayensu, one daemon frozen", Ayensu, true},
		{"tsehay", Tsehay, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(runs(8)) {
				learnsOfDrain(t, Options{Seed: seed, Topology: test.topology, Nodes: defaultNodes}, test.frozen)
			}
		})
	}
}

func learnsOfDrain(t *testing.T, options Options, frozen bool) {
	t.Helper()
	w, err := newWorld(options)
	if err != nil {
		t.Fatal(err)
	}
	defer w.stopTasks()
	w.quiet = true
	const settled = 5 * time.Second
	w.engine.RunUntil(settled)
	leaving := w.backends[int(options.Seed)*7%len(w.backends)]
	leaving.leave()
	var stuck *daemon
	if frozen {
		at := slices.IndexFunc(w.slots, func(one *slot) bool { return one.place == leaving.place })
		stuck = w.slots[at].daemon
		w.freezeDaemon(stuck, time.Hour)
	}
	w.engine.RunUntil(settled + leavingGoal)
	for _, one := range w.slots {
		knows := slices.ContainsFunc(one.daemon.tracker.Leaving(), func(marked topology.Replica) bool {
			return marked.Address == leaving.address && marked.Incarnation == leaving.incarnationName()
		})
		if !knows && one.daemon != stuck {
			t.Errorf("seed %d: %s does not know that %s leaves", options.Seed, one.daemon.id, replicaName(leaving))
		}
	}
}
