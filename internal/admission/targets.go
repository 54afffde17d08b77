package admission

import (
	"sync"
	"time"
)

// Targets holds a Controller for each set of replicas that requests go to: an
// overload of one must not refuse requests to another. It is safe for
// concurrent use.
type Targets struct {
	options  Options
	byTarget sync.Map // string -> *Controller
}

// NewTargets makes Targets; each Controller has the same options.
func NewTargets(options Options) *Targets {
	options.Registerer = nil // the controllers' metrics have the same names
	return &Targets{options: options}
}

// Of returns the Controller of a target.
func (t *Targets) Of(target string) *Controller {
	if known, found := t.byTarget.Load(target); found {
		return known.(*Controller)
	}
	options := t.options
	if options.Logger != nil {
		options.Logger = options.Logger.With("target", target)
	}
	known, _ := t.byTarget.LoadOrStore(target, New(options))
	return known.(*Controller)
}

// Loaded is true while requests to any target have lately been refused.
func (t *Targets) Loaded(now time.Time) bool {
	loaded := false
	t.byTarget.Range(func(_, controller any) bool {
		loaded = controller.(*Controller).Loaded(now)
		return !loaded
	})
	return loaded
}
