package policy_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/failure"
	"github.com/doorpond/doorpond/internal/policy"
)

func TestDefaultTableIsValid(t *testing.T) {
	if err := policy.Validate(policy.DefaultTable()); err != nil {
		t.Error(err)
	}
	if policy.NewIndex(policy.DefaultTable()).Resolve("any", "caller") == nil {
		t.Error("no policy for a group without an assignment")
	}
}

func TestValidateErrors(t *testing.T) {
	row := func(change func(*policy.Row)) func(*policy.Table) {
		return func(table *policy.Table) { change(&table.Policies[0]) }
	}
	cases := []struct {
		name   string
		change func(*policy.Table)
		want   string
	}{
		{"no name", row(func(r *policy.Row) { r.Name = "" }), `policy "": name = : is required`},
		{"name with spaces", row(func(r *policy.Row) { r.Name = "a b" }), `name = a b: must consist of letters`},
		{"selection", row(func(r *policy.Row) { r.Shards.Selection = "some" }), `policy "default": shards.selection = some: must be one of all, broadcast`},
		{"fraction", row(func(r *policy.Row) { r.Shards.Fraction = 0 }), `shards.fraction = 0: must be greater than 0`},
		{"index weight", row(func(r *policy.Row) { r.Shards.IndexWeights = map[string]float64{"i": -1} }), `shards.index_weights[i] = -1: must be at least 0`},
		{"too many index weights", row(func(r *policy.Row) {
			r.Shards.IndexWeights = map[string]float64{}
			for i := range policy.MaxIndexWeights + 1 {
				r.Shards.IndexWeights[fmt.Sprint(i)] = 1
			}
		}), `at most 1000 index weights`},
		{"replica weights", row(func(r *policy.Row) { r.Replicas = policy.Replicas{} }), `at least one of zone_weight`},
		{"weight too high", row(func(r *policy.Row) { r.Replicas.ZoneWeight = 1001 }), `replicas.zone_weight = 1001: must be at most 1000`},
		{"timeout", row(func(r *policy.Row) { r.Wait.Timeout = 0 }), `wait.timeout = 0s: must be greater than 0`},
		{"quantile", row(func(r *policy.Row) { r.Wait.HedgeQuantile = 1 }), `wait.hedge_quantile = 1: must be less than 1`},
		{"hedge without attempts", row(func(r *policy.Row) { r.Retry.Attempts = 1 }), `requires at least 2 attempts`},
		{"hedge floor over timeout", row(func(r *policy.Row) { r.Wait.HedgeFloor = r.Wait.Timeout + 1 }), `must not exceed wait.timeout`},
		{"grace over timeout", row(func(r *policy.Row) { r.Completeness.Grace = r.Wait.Timeout + 1 }), `completeness.grace`},
		{"minimum over target", row(func(r *policy.Row) { r.Completeness.Target, r.Completeness.Min = 0.5, 0.6 }), `completeness.least = 0.6`},
		{"priority", row(func(r *policy.Row) { r.Priority = "urgent" }), `priority = urgent: must be one of critical, high, normal, batch`},
		{"concurrency", row(func(r *policy.Row) { r.Limits.Concurrency = 0 }), `limits.concurrency = 0: must be at least 1`},
		{"duplicate policy", func(x *policy.Table) { x.Policies = append(x.Policies, x.Policies[0]) }, `duplicate policy name`},
		{"duplicate group", func(x *policy.Table) { x.Assignments = append(x.Assignments, x.Assignments[0]) }, `duplicate assignment for this group`},
		{"unknown policy", func(x *policy.Table) { x.Assignments[0].Shares[0].Policy = "x" }, `assignment "default": shares.policy = x: there is no such policy`},
		{"no shares", func(x *policy.Table) { x.Assignments[0].Shares = nil }, `shares = []: must be at least 1`},
		{"duplicate share", func(x *policy.Table) {
			x.Assignments[0].Shares = append(x.Assignments[0].Shares, x.Assignments[0].Shares[0])
		}, `policy is listed more than once`},
		{"share weight", func(x *policy.Table) { x.Assignments[0].Shares[0].Weight = 0 }, `shares[0].weight = 0: must be at least 1`},
		{"too many policies", func(x *policy.Table) { x.Policies = make([]policy.Row, policy.MaxPolicies+1) }, `at most 1000 policies`},
		{"too large", func(x *policy.Table) { x.LastChange.Summary = []string{strings.Repeat("x", policy.MaxTableBytes)} }, `bytes of JSON are allowed`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := policy.DefaultTable()
			c.change(table)
			err := policy.Validate(table)
			if err == nil || failure.KindOf(err) != failure.InvalidRequest || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

func TestDurationText(t *testing.T) {
	row := policy.DefaultRow("p")
	row.Wait.Timeout = policy.Duration(1500 * time.Millisecond)
	row.Shards.IndexWeights = map[string]float64{"cards": 2}
	asJSON, err := json.Marshal(row)
	if err != nil || !strings.Contains(string(asJSON), `"timeout":"1.5s"`) {
		t.Fatalf("%s, %v", asJSON, err)
	}
	var fromJSON policy.Row
	if err := json.Unmarshal(asJSON, &fromJSON); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(row, fromJSON); diff != "" {
		t.Error(diff)
	}
	asYAML, err := yaml.Marshal(row)
	if err != nil || !strings.Contains(string(asYAML), "timeout: 1.5s") {
		t.Fatalf("%s, %v", asYAML, err)
	}
	var fromYAML policy.Row
	if err := yaml.Unmarshal(asYAML, &fromYAML); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(row, fromYAML); diff != "" {
		t.Error(diff)
	}
	if err := json.Unmarshal([]byte(`{"wait":{"timeout":60}}`), &fromJSON); err == nil {
		t.Error("duration without a unit was accepted")
	}
}
