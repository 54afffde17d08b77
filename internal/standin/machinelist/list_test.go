package machinelist

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/machines"
)

func TestChangesAppearAfterTheLag(t *testing.T) {
	moment := time.Unix(1000, 0)
	list := New(func() time.Time { return moment })
	list.SetFaults(Faults{LagMilliseconds: 5000})
	list.Add(Machine{Address: "127.0.0.1:2", Labels: map[string]string{"group": "g"}})
	moment = moment.Add(3 * time.Second)
	list.SetLeaving("127.0.0.1:2")
	steps := []struct {
		name    string
		advance time.Duration
		want    []Machine
	}{
		{"nothing yet", 0, nil},
		{"live after five seconds", 2 * time.Second, []Machine{{"127.0.0.1:2", map[string]string{"group": "g"}}}},
		{"leaving three seconds later", 3 * time.Second, []Machine{{"127.0.0.1:2", map[string]string{"group": "g", machines.LabelState: machines.StateLeaving}}}},
	}
	for _, step := range steps {
		moment = moment.Add(step.advance)
		if diff := cmp.Diff(step.want, list.Machines()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step.name, diff)
		}
	}
}

func TestServesServiceDiscoveryJSON(t *testing.T) {
	list := New(nil)
	list.Add(Machine{Address: "127.0.0.1:2"}, Machine{Address: "127.0.0.1:1", Labels: map[string]string{"role": "backend"}})
	list.Remove("127.0.0.1:2")
	recorder := httptest.NewRecorder()
	list.ServeHTTP(recorder, httptest.NewRequest("GET", TargetsPath, nil))
	var got []TargetGroup
	if err := json.Unmarshal(recorder.Body.Bytes(), &got); err != nil {
		t.Fatalf("decode: %v", err)
	}
	want := []TargetGroup{{Targets: []string{"127.0.0.1:1"}, Labels: map[string]string{"role": "backend"}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("list (-want +got):\n%s", diff)
	}
}
