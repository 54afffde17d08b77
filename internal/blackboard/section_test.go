package blackboard

import (
	"sync"
	"testing"
)

func TestSectionChanged(t *testing.T) {
	var section Section[int]
	if section.Load() != nil {
		t.Error("empty section has a value")
	}
	changed := section.Changed()
	select {
	case <-changed:
		t.Fatal("Changed closed before the first Publish")
	default:
	}
	one, two := 1, 2
	section.Publish(&one)
	<-changed
	changed = section.Changed()
	section.Publish(&two)
	<-changed
	if got := *section.Load(); got != 2 {
		t.Errorf("got %d, want 2", got)
	}
}

func TestSectionConcurrentLoad(t *testing.T) {
	type pair struct{ left, right int }
	var section Section[pair]
	section.Publish(&pair{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for range 10_000 {
				if value := section.Load(); value.left != value.right {
					t.Errorf("partly updated value: %+v", *value)
					return
				}
			}
		})
	}
	for i := range 1000 {
		section.Publish(&pair{i, i})
	}
	readers.Wait()
}
