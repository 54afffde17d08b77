package admission

import (
	"sync"
	"time"
)

// Controllers holds a Controller for each set of replicas that requests go to: an
// overload of one must not refuse requests to another. It is safe for
// concurrent use.
type Controllers struct {
	options  Options
	byTarget sync.Map // string -> *Controller
}

// NewControllers makes Targets; each Controller has the same options.
func NewControllers(options Options) *Controllers {
	options.Registerer = nil // the controllers' metrics have the same names
	return &Controllers{options: options}
}

// ForTarget returns the Controller of a target.
func (t *Controllers) ForTarget(target string) *Controller {
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

// Overloaded is true while requests to any target have lately been refused.
func (t *Controllers) Overloaded(now time.Time) bool {
	loaded := false
	t.byTarget.Range(func(_, controller any) bool {
		loaded = controller.(*Controller).Overloaded(now)
		return !loaded
	})
	return loaded
}
