package freshness

import (
	"context"
	"time"
)

// Source fetches and applies the current revisions from one place. It reports whether that has
// answered.
type Source func(ctx context.Context) bool

// Ask asks sources in order until one has answered, and reports whether one has. The next source is
// asked as soon as the previous one has failed, or after delay if that has not answered.
func Ask(ctx context.Context, sources []Source, delay time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan bool, len(sources))
	for pending := 0; pending > 0 || len(sources) > 0; {
		if len(sources) > 0 {
			source := sources[0]
			sources = sources[1:]
			go func() { answers <- source(ctx) }()
			pending++
		}
		answered, received := awaitAnswer(ctx, answers, delay, len(sources) == 0)
		if answered {
			return true
		}
		if received {
			pending--
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// awaitAnswer waits for an answer, for up to delay unless the last source has been asked.
func awaitAnswer(ctx context.Context, answers <-chan bool, delay time.Duration, last bool) (answered, received bool) {
	var expired <-chan time.Time
	if !last {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case answered = <-answers:
		return answered, true
	case <-expired:
		return false, false
	case <-ctx.Done():
		return false, false
	}
}
