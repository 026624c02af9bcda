package cassiatree

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
)

// TestVMThatLostItsConnectionsStillCatchesUp guards against a VM that counts as caught up because its connections to the others had ended while
// it was paused.
func TestVMThatLostItsConnectionsStillCatchesUp(t *testing.T) {
	f := newFleet(t)
	vms := f.addMany(4, 2)
	vms[0].applyRoot("kaffi")
	f.requireGeneration(convergeTimeout, vms, 1)
	paused := f.add("paused", "zone0")
	paused.current.Store(vms[0].Current())
	_, err := vms[0].apply(f.ctx, "kaffi", 0, teamText("kaffi", "0.2"))
	f.c.Assert(err, qt.IsNil)
	f.requireGeneration(convergeTimeout, vms, 2)
	for _, v := range vms {
		paused.lost.Store(v.name, true)
	}
	var caughtUp errgroup.Group
	var known bool
	var inForce cassiaid.Generation
	caughtUp.Go(func() error {
		known = paused.CatchUp(f.ctx)
		inForce = paused.Generation()
		return nil
	})
	// The VM installs nothing before it runs.
	time.Sleep(50 * time.Millisecond)
	paused.run()
	f.c.Assert(caughtUp.Wait(), qt.IsNil)
	f.c.Check(known, qt.IsTrue)
	f.c.Check(inForce, qt.Equals, cassiaid.Generation(2))
}

// TestVMThatHearsNobodyHasNotCaughtUp guards against the same where no other VM answers at all.
func TestVMThatHearsNobodyHasNotCaughtUp(t *testing.T) {
	f := newFleet(t)
	vms := f.addMany(2, 2)
	vms[0].applyRoot("kaffi")
	f.requireGeneration(convergeTimeout, vms, 1)
	ctx, cancel := context.WithTimeout(f.ctx, 50*time.Millisecond)
	defer cancel()
	f.c.Check(vms[0].CatchUp(ctx), qt.IsTrue)
	vms[0].peersCut.Store(true)
	f.c.Check(vms[0].CatchUp(ctx), qt.IsFalse)
}
