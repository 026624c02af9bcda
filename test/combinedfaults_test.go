package test

import (
	"fmt"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaschema"
)

// TestKilledVMWithStragglers is a pair: a VM is killed while a tenth of the attempts take 20 times as long.
func TestKilledVMWithStragglers(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(8))
	cl.setBehaviour("all", `{"slowShare":0.1,"slowFactor":20}`)
	victim := cl.vms[3]
	cl.vms = cl.vms[:3]
	l := cl.startVerifiedLoad("search", 4)
	l.waitComplete(c, 50)
	victim.process.signal(syscall.SIGKILL)
	l.stopAllComplete(c, 100)
}

// minCompleteShare is the stated share of answers that are good.
const minCompleteShare = 0.99

// TestLossyLinksWithLostReplica is a pair: links between zones lose packets while targets are lost, one of each shard.
func TestLossyLinksWithLostReplica(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, layout{zones: twoZones, vmsPerZone: 2, relayed: true,
		fronts: []*cassiaschema.Front{newFront("search", 8, twoZones)}})
	cl.setLinkFaults(func(from, to *vm) bool { return from.zone != to.zone }, lossyLinks)
	l := cl.startVerifiedLoad("search", 4)
	l.waitComplete(c, 50)
	for _, s := range cl.layout.fronts[0].Shards {
		cl.setBehaviour(s.Targets[0].Name, `{"lost":true}`)
	}
	l.stop(c, 1000)
	// What runs on several targets that are lost at once is not sent again for each of them, lest it had crashed them.
	c.Check(float64(l.complete.Load()) >= minCompleteShare*float64(l.answered.Load()+l.failed.Load()), qt.IsTrue)
	for _, v := range cl.vms {
		checkComplete(c, cl.query(v, "search", `{"fit":"slim"}`), 8)
	}
}

// TestFrozenOwnerWithSnapshotChange is a pair: the targets move to a newer snapshot while a VM is paused, which then
// wakes with what it knew before.
func TestFrozenOwnerWithSnapshotChange(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(8))
	frozen := cl.vms[1]
	awake := []*vm{cl.vms[0], cl.vms[2], cl.vms[3]}
	cl.vms = awake
	l := cl.startVerifiedLoad("search", 4)
	l.waitComplete(c, 50)
	frozen.process.signal(syscall.SIGSTOP)
	for version := uint64(43); version < 46; version++ {
		cl.setBehaviour("all", fmt.Sprintf(`{"heldSnapshots":[%d]}`, version))
		l.waitComplete(c, 20)
	}
	frozen.process.signal(syscall.SIGCONT)
	l.stop(c, 50)
	eventually(t, healTimeout, "the woken VM answers from the newest snapshot", func() bool {
		a := cl.query(frozen, "search", `{"fit":"slim"}`)
		return findViolation(a) == "" && a.Coverage.Answered == 8 && a.Snapshot == 45
	})
}
