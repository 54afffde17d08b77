package once

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/internal/store"
)

const (
	// leaseTTL keeps claims for at least a day: a lease is used for new claims
	// only for leaseRotationInterval, and commits take minutes at most.
	leaseTTL              = 25 * time.Hour
	leaseRotationInterval = 50 * time.Minute
)

// leases provides the lease that claims share. A new lease is granted on demand
// once the current one is older than leaseRotationInterval. Leases are never
// renewed, so that old claims expire. It is not safe for concurrent use.
type leases struct {
	leaser    store.Leaser
	now       func() time.Time
	lease     store.Lease
	grantedAt time.Time
}

// current returns the lease for new claims. If it fails, no claim was sent.
func (l *leases) current(ctx context.Context) (store.Lease, error) {
	requestedAt := l.now()
	if l.lease != 0 && requestedAt.Sub(l.grantedAt) < leaseRotationInterval {
		return l.lease, nil
	}
	granted, err := l.leaser.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, eris.Wrap(err, "grant claim lease")
	}
	l.lease = granted
	l.grantedAt = requestedAt
	return granted, nil
}

// handleCommitError discards the lease if the store does not know it, for
// example after a restore.
func (l *leases) handleCommitError(err error) {
	if errors.Is(err, store.ErrLeaseNotFound) {
		l.lease = 0
	}
}
