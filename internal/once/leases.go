package once

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
)

const (
	// leaseTTL keeps a claim for at least a day: a lease is used for new
	// claims for leaseUse only, and a commit may last minutes at most.
	leaseTTL = 25 * time.Hour
	leaseUse = 50 * time.Minute
)

// leases grants the lease that claims share: one for each leaseUse in which
// there are claims. It is never renewed, so that old claims vanish. One
// goroutine uses it.
type leases struct {
	leaser store.Leaser
	now    func() time.Time
	lease  store.Lease
	since  time.Time
}

// current returns a lease for new claims. An error means that no claim was
// sent.
func (l *leases) current(ctx context.Context) (store.Lease, error) {
	began := l.now()
	if l.lease != 0 && began.Sub(l.since) < leaseUse {
		return l.lease, nil
	}
	granted, err := l.leaser.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, eris.Wrap(err, "grant the claims' lease")
	}
	l.lease = granted
	l.since = began
	return granted, nil
}

// after drops the lease when a commit failed because the store does not know
// it, as after the store was restored.
func (l *leases) after(err error) {
	if errors.Is(err, store.ErrLeaseNotFound) {
		l.lease = 0
	}
}
