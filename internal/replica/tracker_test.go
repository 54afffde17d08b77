package replica

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/blackboard"
	"github.com/doorpond/doorpond/internal/machines"
	"github.com/doorpond/doorpond/internal/topology"
)

type fakeLister struct {
	replicas []topology.Replica
	err      error
}

func (f *fakeLister) List(context.Context) (machines.List, error) {
	return machines.List{Replicas: f.replicas}, f.err
}

func listReplica(incarnation string, state topology.ReplicaState) []topology.Replica {
	return []topology.Replica{{Address: "127.0.0.1:1", Incarnation: incarnation, Group: testGroup, State: state}}
}

func TestTracker(t *testing.T) {
	const (
		serving = topology.ReplicaServing
		cold    = topology.ReplicaCold
		leaving = topology.ReplicaLeaving
	)
	type step struct {
		list []topology.Replica
		err  error
		mark string
		wait time.Duration
		want []topology.ReplicaState
	}
	first, second := listReplica("1", serving), listReplica("2", serving)
	cases := []struct {
		name     string
		steps    []step
		notified []string
	}{
		{"listed", []step{{list: first, want: []topology.ReplicaState{serving}}}, nil},
		{"listed as leaving, then as serving", []step{
			{list: listReplica("1", leaving), want: []topology.ReplicaState{leaving}},
			{list: first, want: []topology.ReplicaState{leaving}},
		}, []string{"1"}},
		{"marked by a reply before the list changes", []step{
			{list: first, want: []topology.ReplicaState{serving}},
			{list: first, mark: "1", want: []topology.ReplicaState{leaving}},
			{list: first, mark: "1", want: []topology.ReplicaState{leaving}},
		}, []string{"1"}},
		{"new incarnation is cold, then warm; old one stays leaving", []step{
			{list: first, mark: "1", want: []topology.ReplicaState{leaving}},
			{list: second, want: []topology.ReplicaState{cold}},
			{list: second, wait: time.Minute, want: []topology.ReplicaState{serving}},
			{list: first, want: []topology.ReplicaState{leaving}},
		}, []string{"1"}},
		{"marked before it is listed", []step{
			{mark: "1", err: errors.New("down")},
			{list: first, want: []topology.ReplicaState{leaving}},
		}, []string{"1"}},
		{"failed read keeps the last list", []step{
			{list: first, want: []topology.ReplicaState{serving}},
			{err: errors.New("down"), want: []topology.ReplicaState{serving}},
		}, nil},
		{"empty list is ignored", []step{
			{list: first, want: []topology.ReplicaState{serving}},
			{want: []topology.ReplicaState{serving}},
		}, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			lister := &fakeLister{}
			board := &blackboard.Board{}
			tracker := NewTracker(TrackerOptions{Lister: lister, Board: board, Now: func() time.Time { return now }})
			var notified []string
			tracker.OnLeaving(func(_, incarnation string) { notified = append(notified, incarnation) })
			for number, step := range test.steps {
				now = now.Add(step.wait)
				lister.replicas, lister.err = step.list, step.err
				tracker.Refresh(t.Context())
				if step.mark != "" {
					tracker.MarkLeaving("127.0.0.1:1", step.mark)
				}
				if diff := cmp.Diff(step.want, publishedStates(board)); diff != "" {
					t.Errorf("step %d (-want +got):\n%s", number, diff)
				}
			}
			if diff := cmp.Diff(test.notified, notified); diff != "" {
				t.Errorf("notified (-want +got):\n%s", diff)
			}
		})
	}
}

func publishedStates(board *blackboard.Board) []topology.ReplicaState {
	var all []topology.ReplicaState
	if published := board.Replicas.Load(); published != nil {
		for _, replica := range published.Groups[testGroup] {
			all = append(all, replica.State)
		}
	}
	return all
}
