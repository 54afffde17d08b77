package admission

import (
	"sync"
	"time"
)

// Controllers holds one Controller per target, a set of replicas that serves the same
// requests, so that an overload of one target does not reject requests to another. It
// is safe for concurrent use.
type Controllers struct {
	options  Options
	byTarget sync.Map // string -> *Controller
}

// NewControllers returns Controllers whose members all use the given options, except
// that no metrics are registered.
func NewControllers(options Options) *Controllers {
	options.Registerer = nil // all controllers would register the same metric names
	return &Controllers{options: options}
}

// ForTarget returns the Controller of a target, creating it on first use.
func (c *Controllers) ForTarget(target string) *Controller {
	if existing, found := c.byTarget.Load(target); found {
		return existing.(*Controller)
	}
	options := c.options
	if options.Logger != nil {
		options.Logger = options.Logger.With("target", target)
	}
	existing, _ := c.byTarget.LoadOrStore(target, New(options))
	return existing.(*Controller)
}

// Overloaded reports whether any target is overloaded.
func (c *Controllers) Overloaded(now time.Time) bool {
	overloaded := false
	c.byTarget.Range(func(_, controller any) bool {
		overloaded = controller.(*Controller).Overloaded(now)
		return !overloaded
	})
	return overloaded
}
