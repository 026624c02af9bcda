package cassiafollow

import (
	"context"
	"time"

	"cassiasaddle/core/cassiabackoff"
)

const (
	// PresenceLifetime is how long a VM stays listed after it was lost without notice. Shares of connections and of retry
	// budgets follow the list, and a share that is too small for some seconds costs less than frequent renewals.
	PresenceLifetime    = 8 * time.Second
	renewalsPerLifetime = 3
	withdrawTimeout     = 500 * time.Millisecond
)

// LeaseID identifies a lease; 0 is none.
type LeaseID uint64

// PresenceRegistry is a list of VMs that live.
type PresenceRegistry interface {
	// Announce lists a VM until the lease that it returns ends.
	Announce(ctx context.Context, vm VM, lifetime time.Duration) (LeaseID, error)
	// Renew prolongs a lease.
	Renew(ctx context.Context, lease LeaseID) error
	// Withdraw ends a lease.
	Withdraw(ctx context.Context, lease LeaseID) error
}

// Attend keeps a VM listed until ctx is done, by a lease of a lifetime. Its entry may be gone though the lease runs, which
// unlisted tells. Nothing but shares depends on the list, so failures only cost time.
func Attend(ctx context.Context, registry PresenceRegistry, vm VM, lifetime time.Duration, unlisted func() bool, log Log) error {
	var lease LeaseID
	failures := 0
	for ctx.Err() == nil {
		var err error
		if lease == 0 || unlisted() {
			lease, err = registry.Announce(ctx, vm, lifetime)
		} else {
			err = registry.Renew(ctx, lease)
		}
		pause := lifetime / renewalsPerLifetime
		if err != nil && ctx.Err() == nil {
			log("presenceFailed", "error", err)
			lease = 0
			pause = cassiabackoff.Pause(maxBackoff, pause, failures)
			failures++
		} else {
			failures = 0
		}
		sleep(ctx, jitter(pause, 0.25))
	}
	if lease == 0 {
		return nil
	}
	withdrawCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	if err := registry.Withdraw(withdrawCtx, lease); err != nil {
		log("presenceNotWithdrawn", "error", err)
	}
	return nil
}
