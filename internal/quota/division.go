package quota

import (
	"errors"
	"math"
	"time"

	"github.com/doorpond/doorpond/internal/routing"
)

// Bounds are the service-level bounds of a limit: in each window of length Window, a tenant's
// requests must not exceed (rate x Window + burst) x (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Max returns the number of requests that a limit allows in a window.
func (b Bounds) Max(limit routing.RateLimit) float64 {
	return (limit.PerSecond*b.Window.Seconds()+limit.Burst)*(1+b.Overage) + b.Slack
}

// Division is what an account may admit, and what the bound sets aside for failures.
type Division struct {
	// Rate and Burst are those of the account. They exceed the limit's, so that a request that
	// arrives earlier than it was counted at its sender is not refused.
	Rate, Burst float64
	// Initial is the balance of an account that no node knows.
	Initial float64
	// Failures is the part of the bound that is left for requests that nodes admit without
	// knowing of each other's.
	Failures float64
}

const (
	// rateShare is the part of the slack that raises the rate of the account.
	rateShare = 0.1
	// initialShare is the part of the slack that is the balance after a restart of all nodes.
	initialShare = 0.08
	// failureSeconds and failureBursts are what the bound sets aside for failures, in seconds
	// of the rate and in bursts: both sides of a partition spend the account until they notice,
	// and reports are in transit after each of two restarts.
	failureSeconds = 0.75
	failureBursts  = 0.25
)

// marginFactor is the error of a side's share of demand with one request. The sides of a partition
// were last heard at times that differ by up to two heartbeats.
const marginFactor = 0.6

// margin returns the part of a side's share in a partition that it does not use, so that the shares
// of both sides, which they compute from different reports, do not exceed the bound. demand is the
// rate that the shares were computed from.
func (d Division) margin(demand float64) float64 {
	if demand <= 0 {
		return 0
	}
	requests := demand * longDemand.Seconds()
	return min(0.5, max(0, marginFactor/math.Sqrt(requests)-d.Failures/2/(d.Rate*longDemand.Seconds()+d.Burst)))
}

// errNoSlack means that the bound leaves nothing for failures.
var errNoSlack = errors.New("the bound of the shared quota leaves no slack")

// errTooManyNodes means that reports are too rare for the window.
var errTooManyNodes = errors.New("too many entry nodes for the window of the shared quota")

// Divide divides the slack of a limit's bound.
func (b Bounds) Divide(limit routing.RateLimit) Division {
	window := b.Window.Seconds()
	slack := b.Max(limit) - limit.PerSecond*window - limit.Burst
	d := Division{Rate: limit.PerSecond + rateShare*slack/window, Initial: initialShare * slack}
	failures := min(0.8*slack, failureSeconds*limit.PerSecond+failureBursts*limit.Burst+2*d.Initial+0.1*slack)
	d.Burst = max(1, limit.Burst+(1-rateShare)*slack-failures)
	d.Failures = b.Max(limit) - d.Rate*window - d.Burst
	return d
}

// Check returns an error if the bounds leave nothing for failures, or if the nodes of a fleet of
// this size are noticed to be silent too late: both sides of a partition spend the account until then.
func (b Bounds) Check(entryNodes int) error {
	if b.Window <= 0 || b.Overage <= 0 && b.Slack <= 0 {
		return errNoSlack
	}
	if silenceAfter(entryNodes-1) > b.Window/2 {
		return errTooManyNodes
	}
	return nil
}
