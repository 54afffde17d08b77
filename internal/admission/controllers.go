package admission

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Controllers holds one Controller per target, a set of replicas that serves the same
// requests, so that an overload of one target does not reject requests to another. It
// is safe for concurrent use.
type Controllers struct {
	options  Options
	byTarget sync.Map // string -> *Controller
}

// NewControllers returns Controllers whose members all use the given options. They count refusals
// together, and register no other metrics.
func NewControllers(options Options) *Controllers {
	options.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "doorpondd_target_refusals_total", Help: "Forwarded requests refused at a target before anything was sent, by reason.",
	}, []string{"reason"})
	if options.Registerer != nil {
		options.Registerer.MustRegister(options.refused)
	}
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

// CountRefusal counts a request that is refused for a reason other than a Controller's.
func (c *Controllers) CountRefusal(reason string) { c.options.refused.WithLabelValues(reason).Inc() }
