package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/doorpond/doorpond/internal/store"
)

// scriptedStore answers every call, and delivers two batches per watch.
type scriptedStore struct{ Store }

func (scriptedStore) Get(context.Context, string) (store.KeyValue, bool, int64, error) {
	return store.KeyValue{}, false, 1, nil
}

func (scriptedStore) List(context.Context, string, int) ([]store.KeyValue, int64, error) {
	return nil, 1, nil
}

var errWatchEnded = errors.New("watch ended")

func (scriptedStore) Watch(_ context.Context, _ string, _ int64, deliver func(store.WatchBatch) error) error {
	for range 2 {
		if err := deliver(store.WatchBatch{}); err != nil {
			return err
		}
	}
	return errWatchEnded
}

func (scriptedStore) Commit(context.Context, store.Transaction) (store.Outcome, error) {
	return store.Outcome{}, nil
}
func (scriptedStore) Grant(context.Context, time.Duration) (store.Lease, error) { return 1, nil }
func (scriptedStore) KeepAlive(context.Context, store.Lease) error              { return nil }
func (scriptedStore) Revoke(context.Context, store.Lease) error                 { return nil }

func TestStoreCallsByCause(t *testing.T) {
	registry := prometheus.NewRegistry()
	counted := countCalls(scriptedStore{}, registry)
	ctx := t.Context()
	_, _, _, _ = counted.Get(ctx, "k")
	_, _, _ = counted.List(ctx, "", 0)
	if err := counted.Watch(ctx, "", 1, func(store.WatchBatch) error { return nil }); !errors.Is(err, errWatchEnded) {
		t.Errorf("watch: %v", err)
	}
	_, _ = counted.Commit(ctx, store.Transaction{})
	_, _ = counted.Grant(ctx, time.Second)
	_ = counted.KeepAlive(ctx, 1)
	_ = counted.Revoke(ctx, 1)
	want := map[string]float64{
		causeConfirm: 1, causeRead: 1, causeWatch: 3, causeRecord: 1, causeGrant: 1, causeRenew: 1, causeRevoke: 1,
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]float64)
	for _, metric := range families[0].GetMetric() {
		got[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("calls by cause (-want +got):\n%s", diff)
	}
}
