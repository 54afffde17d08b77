package query

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorpond/doorpond/internal/admission"
)

// TestGateOrder guards against a tenant with many waiting queries that delays those of others, and
// against an order of tenants' ranks, routes' ranks and arrival other than the documented one.
func TestGateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var target gate
		var slots atomic.Int64
		decide := func() admission.Verdict {
			if slots.Add(-1) < 0 {
				slots.Add(1)
				return admission.Wait
			}
			return admission.Send
		}
		var order []string
		arrivals := []struct {
			name  string
			order turn
		}{
			{"hot 1", turn{0, 1, 5}}, {"hot 2", turn{0, 1, 6}}, {"less urgent tenant", turn{1, 0, 0}},
			{"less urgent route", turn{0, 2, 0}}, {"light 1", turn{0, 1, 1}}, {"light 2", turn{0, 1, 1}}, {"urgent route", turn{0, 0, 9}},
		}
		for _, each := range arrivals {
			go func() {
				if target.enter(t.Context(), goroutineDriver{}, each.order, time.Minute, decide) == admission.Send {
					order = append(order, each.name)
					target.starting.Add(-1)
				}
			}()
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(t.Context())
		go target.enter(ctx, goroutineDriver{}, turn{0, 0, 0}, time.Minute, decide)
		synctest.Wait()
		cancel() // its caller leaves
		synctest.Wait()
		for range arrivals {
			slots.Add(1)
			target.wake()
			synctest.Wait()
		}
		want := []string{"urgent route", "light 1", "light 2", "hot 1", "hot 2", "less urgent route", "less urgent tenant"}
		if !slices.Equal(order, want) {
			t.Errorf("admitted %q, want %q", order, want)
		}
		if len(target.waiting) > 0 || target.starting.Load() != 0 {
			t.Errorf("%d waiting, %d starting, want none", len(target.waiting), target.starting.Load())
		}
	})
}
