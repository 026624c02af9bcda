package test

import (
	"fmt"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaschema"
)

// TestKilledVMWithStragglers combines two faults: a VM is killed while a tenth of the attempts take 20 times as long.
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

// minCompleteShare is the specified share of queries that get a complete answer.
const minCompleteShare = 0.99

// TestLossyLinksWithLostReplica combines two faults: links between zones lose packets while one replica of each shard is lost.
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
	// A request that was running on several targets when they were lost at the same time may have crashed them. It is therefore
	// not retried for each of them, so its answer may be partial.
	c.Check(float64(l.complete.Load()) >= minCompleteShare*float64(l.answered.Load()+l.failed.Load()), qt.IsTrue)
	for _, v := range cl.vms {
		checkComplete(c, cl.query(v, "search", `{"fit":"slim"}`), 8)
	}
}

// TestFrozenOwnerWithSnapshotChange combines two faults: the targets move to newer snapshots while a VM is paused. The VM
// resumes with the outdated state.
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
	eventually(t, adaptTimeout, "the resumed VM answers from the newest snapshot", func() bool {
		a := cl.query(frozen, "search", `{"fit":"slim"}`)
		return findViolation(a) == "" && a.Coverage.Answered == 8 && a.Snapshot == 45
	})
}
