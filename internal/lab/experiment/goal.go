package experiment

import (
	"cmp"
	"fmt"
	"slices"
)

// The goals.
const (
	// slowP99Goal is the greatest p99 as a share of the best baseline's with
	// slow replicas.
	slowP99Goal = 0.5
	// healthExtraGoal and faultExtraGoal are the greatest extra load.
	healthExtraGoal = 0.05
	faultExtraGoal  = 0.10
	// goodputGoal is the least goodput over capacity as a share of that at
	// capacity.
	goodputGoal = 0.9
	// coverageTolerance forgives single sub-requests.
	coverageTolerance = 0.0005
)

// Goal is one comparison of doorpond with what it should reach.
type Goal struct {
	Name     string  `json:"name"`
	Measured float64 `json:"measured"`
	Bound    float64 `json:"bound"`
	Met      bool    `json:"met"`
	// Against is the baseline that set the bound, if one did.
	Against string `json:"against,omitempty"`
}

func atMost(name string, measured, bound float64, against string) Goal {
	return Goal{Name: name, Measured: measured, Bound: bound, Met: measured <= bound, Against: against}
}

func atLeast(name string, measured, bound float64, against string) Goal {
	return Goal{Name: name, Measured: measured, Bound: bound, Met: measured >= bound, Against: against}
}

// String returns the goal on one line.
func (g Goal) String() string {
	verdict := "MISSED"
	if g.Met {
		verdict = "met"
	}
	return fmt.Sprintf("%s: %.4g, bound %.4g (%s)", g.Name, g.Measured, g.Bound, verdict)
}

// outcomeOf returns a strategy's outcome, or nil.
func (c *Case) outcomeOf(name string) *Outcome {
	for i := range c.Outcomes {
		if c.Outcomes[i].Strategy == name {
			return &c.Outcomes[i]
		}
	}
	return nil
}

func (c *Case) baselines() []*Outcome {
	var found []*Outcome
	for i := range c.Outcomes {
		if isBaseline(c.Outcomes[i].Strategy) {
			found = append(found, &c.Outcomes[i])
		}
	}
	return found
}

// judge compares doorpond with the goals in every case.
func (r *Result) judge() {
	for i := range r.Cases {
		measured := &r.Cases[i]
		own := measured.outcomeOf(StrategyDoorpond)
		if own == nil {
			continue
		}
		measured.judgeLoad(own)
		measured.judgeBaselines(own)
		r.judgeGoodput(measured, own)
	}
}

func (c *Case) judgeLoad(own *Outcome) {
	if c.faulty() || c.Rate >= 1 {
		c.Goals = append(c.Goals, atMost("extra load in a fault", own.Focus.ExtraLoad, faultExtraGoal, ""))
		return
	}
	c.Goals = append(c.Goals, atMost("extra load in health", own.Focus.ExtraLoad, healthExtraGoal, ""))
}

// slowScenario is the scenario that the goal for p99 is about.
const slowScenario = "slow_replicas"

func (c *Case) judgeBaselines(own *Outcome) {
	baselines := c.baselines()
	if len(baselines) == 0 {
		return
	}
	c.judgeAnswers("coverage of answers", own, baselines, func(f *Figures) float64 { return f.Coverage })
	c.judgeAnswers("whole answers per query", own, baselines, func(f *Figures) float64 { return f.Whole })
	if c.Scenario != slowScenario {
		return
	}
	fastest := slices.MinFunc(baselines, func(a, b *Outcome) int {
		return cmp.Compare(a.Focus.P99, b.Focus.P99)
	})
	c.Goals = append(c.Goals, atMost("p99 in ms", own.Focus.P99, slowP99Goal*fastest.Focus.P99, fastest.Strategy))
}

// judgeAnswers wants a share to be at least the best baseline's. Coverage alone
// could be bought by refusing queries, so whole answers are compared as well.
func (c *Case) judgeAnswers(name string, own *Outcome, baselines []*Outcome, measure func(*Figures) float64) {
	best := slices.MaxFunc(baselines, func(a, b *Outcome) int {
		return cmp.Compare(measure(&a.Focus), measure(&b.Focus))
	})
	bound := measure(&best.Focus) - coverageTolerance
	c.Goals = append(c.Goals, atLeast(name, measure(&own.Focus), bound, best.Strategy))
}

// judgeGoodput compares a case over the capacity with the same scenario at
// the capacity.
func (r *Result) judgeGoodput(over *Case, own *Outcome) {
	if over.Rate <= 1 {
		return
	}
	for i := range r.Cases {
		at := &r.Cases[i]
		if at.Scenario != over.Scenario || at.Rate != 1 {
			continue
		}
		if reference := at.outcomeOf(StrategyDoorpond); reference != nil {
			over.Goals = append(over.Goals,
				atLeast("goodput a second", own.Focus.Goodput, goodputGoal*reference.Focus.Goodput, ""))
		}
	}
}
