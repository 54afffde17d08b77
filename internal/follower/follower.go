// Package follower keeps the blackboard up to date with the store: the
// operators' routes, the replicas, and the nodes of the system. One watch
// carries all of them. A watch is evidence only while it speaks: one that has
// been silent for longer than it promised is given up, and all is read anew.
package follower

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/routing"
	"github.com/doorpond/doorpond/internal/store"
	"github.com/doorpond/doorpond/internal/topology"
)

// Decoder turns the store's values into the product's types.
type Decoder interface {
	// Routes reads the operators' configuration.
	Routes(value []byte) (*routing.Table, error)
	// Replica reads one replica's entry.
	Replica(key string, value []byte) (topology.Replica, error)
}

// Source is the part of the store that a Follower reads.
type Source interface {
	store.Reader
	store.Watcher
}

// Keys say where what lies in the store.
type Keys struct {
	// Configuration is the key of the operators' configuration.
	Configuration string
	// Replicas and Nodes begin the keys of their entries.
	Replicas, Nodes string
}

// Options are what a Follower needs. Zero values of the last ones take
// defaults.
type Options struct {
	Source  Source
	Decoder Decoder
	Keys    Keys
	Board   *blackboard.Board
	// Regions names the region of each zone.
	Regions map[string]string
	Self    topology.Node
	// VanishedFor is how long a replica whose entry is gone may still be asked
	// when no other is left.
	VanishedFor time.Duration
	// Gather is how long after a change the next one is waited for, so that
	// changes that come together cost one call.
	Gather time.Duration
	Logger *slog.Logger
	Now    func() time.Time
}

// Follower follows the store; Run starts it.
type Follower struct {
	options Options
	state   *state
	heard   time.Time
	reached bool
}

// The pauses between two attempts to read the store while it fails.
const (
	shortestPause = 100 * time.Millisecond
	longestPause  = time.Second
)

// New makes a Follower.
func New(options Options) *Follower {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Follower{options: options, state: newState(&options), reached: true}
}

// Run follows the store until ctx ends, and returns nil then.
func (f *Follower) Run(ctx context.Context) error {
	pause := shortestPause
	for ctx.Err() == nil {
		heardBefore := f.heard
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.lost(err)
		if f.heard != heardBefore {
			pause = shortestPause
			continue // it was heard since; read again at once
		}
		sleep(ctx, pause)
		pause = min(2*pause, longestPause)
	}
	return nil
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// follow reads everything and then watches until that fails.
func (f *Follower) follow(ctx context.Context) error {
	values, revision, err := f.options.Source.List(ctx, "", 0)
	if err != nil {
		return err
	}
	f.hear()
	f.state.replace(f.options.Now(), values)
	f.state.publish(f.options.Now())
	return f.options.Source.Watch(ctx, "", revision+1, func(batch store.WatchBatch) error {
		f.deliver(batch)
		if len(batch.Events) > 0 {
			sleep(ctx, f.options.Gather)
		}
		return nil
	})
}

func (f *Follower) deliver(batch store.WatchBatch) {
	f.hear()
	now := f.options.Now()
	for _, event := range batch.Events {
		f.state.apply(now, event)
	}
	f.state.publish(now)
}

// hear notes that the store has spoken.
func (f *Follower) hear() {
	f.heard = f.options.Now()
	if f.reached && f.options.Board.Store.Load() != nil {
		return
	}
	f.reached = true
	f.options.Board.Store.Publish(&blackboard.StoreStatus{Reachable: true, Since: f.heard})
	f.options.Logger.Info("store reached")
}

// lost notes that the store has failed.
func (f *Follower) lost(err error) {
	if errors.Is(err, store.ErrCompacted) {
		f.options.Logger.Info("store history dropped; reading anew")
		return
	}
	if !f.reached {
		return
	}
	f.reached = false
	now := f.options.Now()
	f.options.Board.Store.Publish(&blackboard.StoreStatus{Since: now, LastError: err.Error()})
	f.options.Logger.Warn("store lost; going on with what is known",
		"error", err.Error(), "age", now.Sub(f.heard).String())
}

// hasPrefix tells whether a key belongs to a part of the store that is used.
func hasPrefix(key, prefix string) bool { return prefix != "" && strings.HasPrefix(key, prefix) }
