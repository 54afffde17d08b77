package experiment

import (
	"bytes"
	"io"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/policy"
)

// File is an experiment: each scenario is run at each rate with each strategy.
type File struct {
	Name       string `yaml:"name"`
	Deployment string `yaml:"deployment"`
	// Mode is ModeVirtual if it is left out.
	Mode       Mode     `yaml:"mode"`
	Seed       uint64   `yaml:"seed"`
	Strategies []string `yaml:"strategies"`
	// Policies are further strategies: doorpond under another policy row. What
	// a row leaves out is as in policy.DefaultRow.
	Policies []Policy `yaml:"policies"`
	// Duration is how long queries arrive.
	Duration policy.Duration `yaml:"duration"`
	// Warmup at the start is left out of the figures.
	Warmup policy.Duration `yaml:"warmup"`
	// ListLag is how long the machine list is behind.
	ListLag policy.Duration `yaml:"list_lag"`
	// Rates are shares of the capacity of the back ends.
	Rates     []float64  `yaml:"rates"`
	Classes   []Class    `yaml:"classes"`
	Scenarios []Scenario `yaml:"scenarios"`
}

// Class is one kind of caller.
type Class struct {
	Name     string          `yaml:"name"`
	Priority client.Priority `yaml:"priority"`
	// Share of all queries; the shares add up to 1.
	Share float64 `yaml:"share"`
}

// Scenario is a list of faults, with its own rates if it has any.
type Scenario struct {
	Name   string    `yaml:"name"`
	Rates  []float64 `yaml:"rates"`
	Faults []Fault   `yaml:"faults"`
}

// Policy is a policy row whose gaps are filled from policy.DefaultRow.
type Policy struct{ Row policy.Row }

// UnmarshalYAML decodes the row over the default one.
func (p *Policy) UnmarshalYAML(text []byte) error {
	p.Row = policy.DefaultRow("")
	return yaml.UnmarshalWithOptions(text, &p.Row, yaml.Strict())
}

// Load reads and checks an experiment file.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read the experiment file")
	}
	file, err := Decode(bytes.NewReader(text))
	return file, eris.Wrapf(err, "experiment file %s", path)
}

// Decode reads and checks an experiment; unknown keys are errors.
func Decode(reader io.Reader) (*File, error) {
	file := &File{}
	if err := yaml.NewDecoder(reader, yaml.Strict()).Decode(file); err != nil {
		return nil, eris.Wrap(err, "decode")
	}
	return file, file.Check()
}

// shareTolerance is how far the shares of classes may be from 1.
const shareTolerance = 1e-6

// Check fills in the mode and returns the first thing wrong with the file.
func (f *File) Check() error {
	if f.Mode == "" {
		f.Mode = ModeVirtual
	}
	if deploymentByName(f.Deployment) == nil {
		return eris.Errorf("deployment: there is no %q", f.Deployment)
	}
	if f.Warmup < 0 || f.Duration <= f.Warmup {
		return eris.Errorf("duration: %v is not longer than the warmup of %v", f.Duration, f.Warmup)
	}
	for _, name := range f.Strategies {
		if !knownStrategy(name) {
			return eris.Errorf("strategies: there is no %q", name)
		}
	}
	if len(f.Strategies)+len(f.Policies) == 0 || len(f.Scenarios) == 0 {
		return eris.New("strategies, scenarios: at least one of each is needed")
	}
	if err := f.checkMode(); err != nil {
		return err
	}
	if err := f.checkPolicies(); err != nil {
		return err
	}
	if err := f.checkClasses(); err != nil {
		return err
	}
	for i := range f.Scenarios {
		if err := f.checkScenario(&f.Scenarios[i]); err != nil {
			return eris.Wrapf(err, "scenario %q", f.Scenarios[i].Name)
		}
	}
	return nil
}

func (f *File) checkPolicies() error {
	table := policy.DefaultTable()
	for _, extra := range f.Policies {
		table.Policies = append(table.Policies, extra.Row)
	}
	return eris.Wrap(policy.Validate(table), "policies")
}

func (f *File) checkClasses() error {
	total := 0.0
	for _, class := range f.Classes {
		total += class.Share
	}
	if total < 1-shareTolerance || total > 1+shareTolerance {
		return eris.Errorf("classes: the shares add up to %g", total)
	}
	return nil
}

func (f *File) checkScenario(scenario *Scenario) error {
	if len(f.ratesOf(scenario)) == 0 {
		return eris.New("rates: none are given")
	}
	for _, rate := range f.ratesOf(scenario) {
		if rate <= 0 {
			return eris.Errorf("rates: %g is not above 0", rate)
		}
	}
	for i := range scenario.Faults {
		if err := scenario.Faults[i].check(time.Duration(f.Duration)); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) ratesOf(scenario *Scenario) []float64 {
	if len(scenario.Rates) > 0 {
		return scenario.Rates
	}
	return f.Rates
}
