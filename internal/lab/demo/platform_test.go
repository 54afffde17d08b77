package demo

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/doorpond/doorpond/platform/standin"
)

func TestRunPlatform(t *testing.T) {
	var out bytes.Buffer
	if err := RunPlatform(t.Context(), Options{Out: &out, Progress: io.Discard}); err != nil {
		t.Fatal(err)
	}
	for part, count := range map[string]int{"requests over": 3, "a caller without a key: 401": 1, "got 429 with Retry-After": 1} {
		if strings.Count(out.String(), part) != count {
			t.Errorf("not %d times %q in the output:\n%s", count, part, out.String())
		}
	}
}

// TestTheCallerIsLedToTheNodeOfItsZone, also when the nodes of the other zones are
// known: the demo must not depend on which node records itself first.
func TestTheCallerIsLedToTheNodeOfItsZone(t *testing.T) {
	deployment, err := standin.Start(standin.Options{Zones: platformZones, Shards: platformShards, ProcessingTime: platformWork})
	if err != nil {
		t.Fatal(err)
	}
	defer deployment.Close()
	d := &platformDemo{demo: demo{options: Options{Out: io.Discard, Progress: io.Discard}}, deployment: deployment}
	if err := d.startNodes(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer func() {
		for _, node := range d.nodes {
			if err := node.Stop(); err != nil {
				t.Error(err)
			}
		}
	}()
	awaitKnown(t, d)
	addresses, err := d.caller.Resolve(t.Context())
	if own := d.nodes[0].Addresses().Callers; err != nil || len(addresses) != 1 || addresses[0] != own {
		t.Errorf("led to %v, not to %s; error %v", addresses, own, err)
	}
}

// awaitKnown waits until the directory of the caller's zone leads callers of another
// zone to that zone's node, so that it knows more than its own node, and until what
// the caller was told before is over.
func awaitKnown(t *testing.T, d *platformDemo) {
	t.Helper()
	last := len(platformZones) - 1
	other := d.deployment.NewClient(platformZones[last], d.caller.HTTP)
	other.Directories = d.caller.Directories[:1]
	want := d.nodes[last].Addresses().Callers
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		addresses, err := other.Resolve(t.Context())
		if err == nil && len(addresses) == 1 && addresses[0] == want {
			time.Sleep(time.Second) // the longest time for which addresses are kept
			return
		}
	}
	t.Fatal("the nodes of other zones are not known in time")
}
