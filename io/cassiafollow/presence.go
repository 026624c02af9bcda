package cassiafollow

import (
	"context"
	"time"

	"cassiasaddle/core/cassiabackoff"
)

const (
	// PresenceLifetime is the time after which a VM that crashed or was cut off is removed from the list of VMs. Each
	// VM's share of connections and of retry budgets is derived from the list, so the shares are too small for this
	// time after a VM is lost. That costs less than frequent renewals.
	PresenceLifetime    = 8 * time.Second
	renewalsPerLifetime = 3
	withdrawTimeout     = 500 * time.Millisecond
)

// LeaseID identifies a lease.
type LeaseID uint64

// Lease is a lease with the era in which the store granted it; the zero value is no lease. A store that comes back from an
// older copy may grant the same ID to another VM.
type Lease struct {
	ID  LeaseID
	Era Era
}

// PresenceRegistry is a list of the running VMs, each with an entry under a lease.
type PresenceRegistry interface {
	// Announce adds a VM to the list and returns the lease that its entry depends on; the entry expires a lifetime after the
	// last renewal.
	Announce(ctx context.Context, vm VM, lifetime time.Duration) (Lease, error)
	// Renew extends a lease by its lifetime.
	Renew(ctx context.Context, lease Lease) error
	// Withdraw ends a lease and so removes the entry.
	Withdraw(ctx context.Context, lease Lease) error
}

// MaintainPresence keeps a VM in the registry until ctx is done, then removes it. It renews the lease three times in
// each lifetime, and adds the VM again when a renewal failed or when unlisted reports that the entry is gone although
// the lease still runs. It returns nil: only shares of connections and retry budgets depend on the list, so failures
// are logged and retried.
//
// With keep, the entry stays until its lease ends, as that of a VM that stops: a process that follows finds it.
func MaintainPresence(ctx context.Context, registry PresenceRegistry, vm VM, lifetime time.Duration, keep bool, unlisted func() bool, log Log) error {
	var lease Lease
	failures := 0
	for ctx.Err() == nil {
		var err error
		if lease == (Lease{}) || unlisted() {
			lease, err = registry.Announce(ctx, vm, lifetime)
		} else {
			err = registry.Renew(ctx, lease)
		}
		delay := lifetime / renewalsPerLifetime
		if err != nil && ctx.Err() == nil {
			log("presenceFailed", "error", err)
			lease = Lease{}
			delay = cassiabackoff.Delay(maxBackoff, delay, failures)
			failures++
		} else {
			failures = 0
		}
		sleep(ctx, jitter(delay, 0.25))
	}
	if lease == (Lease{}) {
		return nil
	}
	withdrawCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	if keep {
		vm.Stopping = true
		if _, err := registry.Announce(withdrawCtx, vm, lifetime); err == nil {
			return nil
		}
		// An entry that says nothing of the stop would have other VMs wait for this one.
	}
	if err := registry.Withdraw(withdrawCtx, lease); err != nil {
		log("presenceNotWithdrawn", "error", err)
	}
	return nil
}
