package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/topology"
)

func TestEventsOfOneInstantKeepTheirOrder(t *testing.T) {
	engine := New(1)
	var happened []int
	for i := range 5 {
		engine.After(time.Second, func() { happened = append(happened, i) })
	}
	engine.After(0, func() { happened = append(happened, 9) })
	engine.RunUntil(time.Second)
	if diff := cmp.Diff([]int{9, 0, 1, 2, 3, 4}, happened); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestStoppedTimerDoesNothing(t *testing.T) {
	engine := New(1)
	timer := engine.After(time.Second, func() { t.Error("a stopped timer fired") })
	timer.Stop()
	engine.RunUntil(time.Minute)
	if engine.Now() != time.Minute || engine.Steps() != 0 {
		t.Errorf("now %v after %d steps", engine.Now(), engine.Steps())
	}
}

func TestProcessFaults(t *testing.T) {
	place := topology.Place{Region: "accra", Zone: "accra-a"}
	cases := []struct {
		name  string
		fault func(engine *Engine, process *Process)
		want  []string
	}{
		{"none", func(*Engine, *Process) {}, []string{"1s at 1s"}},
		{"killed before", func(_ *Engine, process *Process) { process.Kill() }, nil},
		{"frozen across", func(engine *Engine, process *Process) {
			process.Freeze()
			engine.After(3*time.Second, process.Resume)
		}, []string{"1s at 3s"}},
		{"killed while frozen", func(engine *Engine, process *Process) {
			process.Freeze()
			engine.After(2*time.Second, process.Kill)
			engine.After(3*time.Second, process.Resume)
		}, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			engine := New(1)
			process := engine.NewProcess("a", place)
			var happened []string
			process.After(time.Second, func() { happened = append(happened, fmt.Sprintf("1s at %v", engine.Now())) })
			test.fault(engine, process)
			engine.RunUntil(time.Minute)
			if diff := cmp.Diff(test.want, happened); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

func TestNetworkFaultsAreOfOneDirection(t *testing.T) {
	engine := New(1)
	network := NewNetwork(engine)
	accra := engine.NewProcess("a", topology.Place{Region: "accra", Zone: "accra-a"})
	kumasi := engine.NewProcess("b", topology.Place{Region: "kumasi", Zone: "kumasi-a"})
	delivered := make(map[string]int)
	exchange := func() {
		network.Send(accra, kumasi, func() { delivered["a to b"]++ })
		network.Send(kumasi, accra, func() { delivered["b to a"]++ })
		engine.RunUntil(engine.Now() + time.Second)
	}
	exchange()
	network.Cut("accra", "kumasi")
	exchange()
	network.HealAll()
	network.Loss = 1
	exchange()
	if diff := cmp.Diff(map[string]int{"a to b": 1, "b to a": 2}, delivered); diff != "" {
		t.Errorf("delivered (-want +got):\n%s", diff)
	}
}
