package cassiatree

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/standin/cassiaplatform"
)

// testWatchWait is short, so that a test of a few seconds covers many watches.
const testWatchWait = 300 * time.Millisecond

// TestStoreCallsGrowSlowerThanTheFleet checks that each watcher makes one call to the store per watch period while
// nothing changes, and that the number of calls while edits are made grows less than twofold from 8 to 32 VMs.
func TestStoreCallsGrowSlowerThanTheFleet(t *testing.T) {
	const zones, periods, edits = 4, 5, 4
	idleCalls, editCalls := make(map[int]int), make(map[int]int)
	sizes := []int{4, 8, 16, 32}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t)
			vms := f.addMany(size, zones)
			vms[0].applyRoot("kaffi")
			f.requireGeneration(convergeTimeout, vms, 1)
			var slowest time.Duration
			idleCalls[size] = f.callsDuring(func() { <-time.After(periods * testWatchWait) })
			editCalls[size] = f.callsDuring(func() {
				for i := range cassiaid.Revision(edits) {
					accepted, err := vms[size-1].apply(f.ctx, "kaffi", i, teamText("kaffi", fmt.Sprintf("0.%d", i+1)))
					f.c.Assert(err, qt.IsNil)
					begin := time.Now()
					f.requireGeneration(convergeTimeout, vms, accepted.Generation)
					slowest = max(slowest, time.Since(begin))
				}
			})
			t.Logf("%d VMs: %d calls in %d watch periods, %d calls for %d edits, in force everywhere within %s",
				size, idleCalls[size], periods, editCalls[size], edits, slowest.Round(time.Millisecond))
		})
	}
	c := qt.New(t)
	// Two watchers in each of four zones make eight watches per period; a watch may overlap either end of the measurement.
	for _, size := range sizes {
		c.Check(idleCalls[size] <= min(size, 8)*(periods+2), qt.IsTrue, qt.Commentf("%v", idleCalls))
	}
	c.Check(editCalls[32] < 2*editCalls[8], qt.IsTrue, qt.Commentf("%v", editCalls))
}

func (f *fleet) callsDuring(work func()) int {
	before := f.platform.Counters()["total"]
	work()
	return f.platform.Counters()["total"] - before
}

// TestNewVMStartsWhileTheStoreIsDown checks that a new VM adopts the highest generation of its peers while the store is
// down, also if a peer lags behind, and that a VM without peers and store is not ready.
func TestNewVMStartsWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(t)
	vms := f.addMany(5, 2)
	vms[0].applyRoot("kaffi")
	f.requireGeneration(convergeTimeout, vms, 1)
	lagging := f.add("lagging", "zone0")
	lagging.current.Store(vms[0].Current())
	_, err := vms[0].apply(f.ctx, "kaffi", 0, teamText("kaffi", "0.2"))
	f.c.Assert(err, qt.IsNil)
	f.requireGeneration(convergeTimeout, vms, 2)
	f.platform.SetFaults(cassiaplatform.Faults{Down: true})

	f.remove(vms[1])
	for _, name := range []cassiaid.VMName{vms[1].name, "fresh"} {
		fresh := f.add(name, "zone1")
		seen, unsubscribe := fresh.Subscribe()
		fresh.run()
		f.eventually(convergeTimeout, "settings in force on a new VM", func() bool { return len(seen) > 0 })
		unsubscribe()
		f.c.Assert(fresh.Generation(), qt.Equals, cassiaid.Generation(2))
	}

	isolated := newFleet(t)
	isolated.platform.SetFaults(cassiaplatform.Faults{Down: true})
	v := isolated.addMany(1, 1)[0]
	isolated.eventually(convergeTimeout, "more than 3 calls to the store", func() bool { return isolated.platform.Counters()["total"] > 3 })
	f.c.Assert(v.Ready(), qt.IsFalse)
	isolated.platform.SetFaults(cassiaplatform.Faults{})
	isolated.eventually(convergeTimeout, "ready after the outage", v.Ready)
}

// TestOutageKeepsSettings checks that during a store outage the settings stay in force, edits are refused as unavailable
// and the VMs' calls to the store are limited by backoff. Edits after the outage, also with a slow store, must be in force
// on all VMs within five seconds.
func TestOutageKeepsSettings(t *testing.T) {
	const outage = 2 * time.Second
	f := newFleet(t)
	vms := f.addMany(12, 3)
	vms[0].applyRoot("kaffi")
	f.requireGeneration(convergeTimeout, vms, 1)
	calls := f.callsDuring(func() {
		f.platform.SetFaults(cassiaplatform.Faults{Down: true})
		<-time.After(outage)
	})
	// Each of the six watchers makes at most six calls, with backoffs of at least 100, 200, 400, 800 and 1600 ms between.
	f.c.Check(calls <= 6*6, qt.IsTrue, qt.Commentf("%d calls", calls))
	for _, v := range vms {
		f.c.Assert(v.Generation(), qt.Equals, cassiaid.Generation(1))
	}
	ctx, cancel := context.WithTimeout(f.ctx, 500*time.Millisecond)
	defer cancel()
	_, err := vms[0].Apply(ctx, cassiasettings.Proposal{Subtree: "kaffi", EditID: newEditID(),
		YAML: []byte(teamText("kaffi", "0.2"))}, "kaffi")
	var unavailable *UnavailableError
	f.c.Assert(errors.As(err, &unavailable), qt.IsTrue, qt.Commentf("%v", err))
	f.platform.SetFaults(cassiaplatform.Faults{})
	for base, faults := range []cassiaplatform.Faults{{}, {DelayMs: 300}} {
		f.platform.SetFaults(faults)
		accepted, err := vms[base].apply(f.ctx, "kaffi", cassiaid.Revision(base), teamText("kaffi", fmt.Sprintf("0.%d", base+2)))
		f.c.Assert(err, qt.IsNil)
		f.requireGeneration(convergeTimeout, vms, accepted.Generation)
	}
}

// TestCutZoneGoesOnAndHeals cuts one zone off from the other zone and from the store. Its VMs must keep their settings
// meanwhile, and must have all edits of the other zone after the zones are connected again.
func TestCutZoneGoesOnAndHeals(t *testing.T) {
	f := newFleet(t)
	vms := f.addMany(8, 2)
	vms[0].applyRoot("kaffi")
	f.requireGeneration(convergeTimeout, vms, 1)
	f.cut("zone1", true)
	var connected, isolated []*fleetVM
	for _, v := range vms {
		if v.zone == "zone1" {
			isolated = append(isolated, v)
		} else {
			connected = append(connected, v)
		}
	}
	for base, share := range []string{"0.1", "0.2"} {
		_, err := vms[0].apply(f.ctx, "kaffi", cassiaid.Revision(base), teamText("kaffi", share))
		f.c.Assert(err, qt.IsNil)
	}
	f.requireGeneration(convergeTimeout, connected, 3)
	for _, v := range isolated {
		f.c.Assert(v.Generation(), qt.Equals, cassiaid.Generation(1))
	}
	reply, err := vms[0].client("").Generations(f.ctx, 3)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(len(reply.Members), qt.Equals, 4)
	f.cut("zone1", false)
	f.requireGeneration(convergeTimeout, vms, 3)
	reply, err = vms[0].client("").Generations(f.ctx, 3)
	f.c.Assert(err, qt.IsNil)
	for _, m := range reply.Members {
		f.c.Assert(m.Generation, qt.Equals, cassiaid.Generation(3))
	}
}

// TestStoreThatLostEdits writes an old head to the store. No VM may install it, no edit may be applied on top of it, and
// restore must write the generation in force back.
func TestStoreThatLostEdits(t *testing.T) {
	f := newFleet(t)
	vms := f.addMany(4, 2)
	vms[0].applyRoot("kaffi")
	old := f.platform.Get(headKey).Value
	_, err := vms[0].apply(f.ctx, "kaffi", 0, teamText("kaffi", "0.2"))
	f.c.Assert(err, qt.IsNil)
	f.requireGeneration(convergeTimeout, vms, 2)
	f.platform.Put(headKey, old)
	f.eventually(convergeTimeout, "a watcher ignores the store that is behind", func() bool { return vms[0].counter("settings_ignoredStoreBehind") > 0 })
	_, err = vms[0].apply(f.ctx, "kaffi", 0, teamText("kaffi", "0.3"))
	f.c.Assert(asErrorReply(err).Kind, qt.Equals, ErrorStoreBehind, qt.Commentf("%v", err))
	for _, v := range vms {
		f.c.Assert(v.Generation(), qt.Equals, cassiaid.Generation(2))
	}
	_, err = vms[1].client("kaffi").Restore(f.ctx)
	f.c.Assert(asErrorReply(err).Kind, qt.Equals, ErrorForbidden)
	_, err = vms[1].client(adminToken).Restore(f.ctx)
	f.c.Assert(err, qt.IsNil)
	_, err = vms[1].client(adminToken).Restore(f.ctx)
	f.c.Assert(asErrorReply(err).Kind, qt.Equals, ErrorBadRequest)
	accepted, err := vms[0].apply(f.ctx, "kaffi", 1, teamText("kaffi", "0.3"))
	f.c.Assert(err, qt.IsNil)
	f.requireGeneration(convergeTimeout, vms, accepted.Generation)
}

// TestStoredNonsenseIsNeverInForce writes invalid settings directly to the store. No VM may install them, and the settings
// in force must not change.
func TestStoredNonsenseIsNeverInForce(t *testing.T) {
	f := newFleet(t)
	vms := f.addMany(4, 2)
	vms[0].applyRoot("kaffi")
	f.requireGeneration(convergeTimeout, vms, 1)
	head := proto.Clone(vms[0].Current().Head()).(*cassiaschema.SettingsHead)
	head.Generation++
	head.Subtrees = append(head.Subtrees, &cassiaschema.SubtreeHead{Subtree: "kaffi", Revision: 1, EditId: "nonsense"})
	edit := &cassiaschema.SettingsEdit{Subtree: "kaffi", Revision: 1, EditId: "nonsense", Yaml: []byte("nonsense: true")}
	f.platform.Put(editKey("kaffi", "nonsense"), marshal(f.c, edit))
	f.platform.Put(headKey, marshal(f.c, head))
	f.eventually(convergeTimeout, "rejected by all VMs, which are all watchers", func() bool {
		for _, v := range vms {
			if v.counter("settings_rejectedInvalid") == 0 {
				return false
			}
		}
		return true
	})
	for _, v := range vms {
		f.c.Assert(v.Generation(), qt.Equals, cassiaid.Generation(1))
		f.c.Assert(v.Current().Revision("kaffi"), qt.Equals, cassiaid.Revision(0))
	}
}

func marshal(c *qt.C, m proto.Message) []byte {
	content, err := proto.Marshal(m)
	c.Assert(err, qt.IsNil)
	return content
}
