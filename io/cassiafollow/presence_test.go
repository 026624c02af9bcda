package cassiafollow

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// fakeRegistry counts calls; its leases never expire.
type fakeRegistry struct{ announced, renewed atomic.Int32 }

func (r *fakeRegistry) Announce(context.Context, VM, time.Duration) (Lease, error) {
	return Lease{ID: LeaseID(r.announced.Add(1))}, nil
}

func (r *fakeRegistry) Renew(context.Context, Lease) error { r.renewed.Add(1); return nil }

func (r *fakeRegistry) Withdraw(context.Context, Lease) error { return nil }

// TestRemovedEntryIsWrittenAgain guards against a VM that stays out of the list because its entry was removed while its
// lease could still be renewed.
func TestRemovedEntryIsWrittenAgain(t *testing.T) {
	c := qt.New(t)
	const lifetime = 30 * time.Millisecond
	registry := &fakeRegistry{}
	var removed atomic.Bool
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return MaintainPresence(ctx, registry, VM{Name: "vm-1"}, lifetime, removed.Load, func(string, ...any) {})
	})
	eventually := func(condition func() bool) {
		c.Helper()
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for end := time.Now().Add(5 * time.Second); !condition(); <-ticker.C {
			c.Assert(time.Now().Before(end), qt.IsTrue)
		}
	}
	eventually(func() bool { return registry.renewed.Load() >= 3 })
	c.Check(registry.announced.Load(), qt.Equals, int32(1))
	removed.Store(true)
	eventually(func() bool { return registry.announced.Load() >= 2 })
	stop()
	c.Assert(group.Wait(), qt.IsNil)
}
