package test

import (
	"net/http"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaschema"
)

var twoZones = []string{"zone-a", "zone-b"}

func searchLayout(shards int) layout {
	return layout{zones: twoZones, vmsPerZone: 2, fronts: []*cassiaschema.Front{newFront("search", shards, twoZones)}}
}

// oneZoneLayout returns the layout of searchLayout with a second front, local, whose targets are all in the first zone.
func oneZoneLayout() layout {
	l := searchLayout(8)
	l.fronts = append(l.fronts, newFront("local", 8, twoZones[:1]))
	return l
}

// checkComplete requires a consistent answer that covers all shards.
func checkComplete(c *qt.C, a answer, shards int) {
	c.Helper()
	c.Assert(a.Status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", a.Kind, a.Message))
	c.Assert(a.Coverage.Answered, qt.Equals, shards, qt.Commentf("missing %v", a.Coverage.Missing))
	checkConsistent(c, a)
}

// checkConsistent requires that the rows match the stated coverage and are all from the answer's snapshot.
func checkConsistent(c *qt.C, a answer) {
	c.Helper()
	c.Assert(a.Rows, qt.HasLen, a.Coverage.Answered)
	c.Assert(a.Coverage.Answered+len(a.Coverage.Missing), qt.Equals, a.Coverage.Asked)
	shards := map[string]bool{}
	for _, r := range a.Rows {
		c.Assert(r.Snapshot, qt.Equals, a.Snapshot)
		shards[r.Shard] = true
	}
	for _, m := range a.Coverage.Missing {
		c.Assert(shards[m.Shard], qt.IsFalse)
		c.Assert(m.Reason, qt.Not(qt.Equals), "")
	}
	c.Assert(shards, qt.HasLen, a.Coverage.Answered)
}

// TestStoreDown requires that queries are answered with the last accepted settings while the platform is down.
func TestStoreDown(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(8))
	cl.setPlatformFaults(`{"down":true}`)
	for _, v := range cl.vms {
		checkComplete(c, cl.query(v, "search", `{"fit":"slim"}`), 8)
	}
	status, _ := cl.tryApply(team, cl.teamYAML(cl.layout.fronts), teamToken, 1)
	c.Assert(status, qt.Not(qt.Equals), 0)
	checkComplete(c, cl.query(cl.vms[0], "search", `{"fit":"wide"}`), 8)
}

// TestLostReplica requires that losing a target doesn't reduce coverage while its shard has another replica.
func TestLostReplica(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(8))
	checkComplete(c, cl.query(cl.vms[0], "search", `{"fit":"slim"}`), 8)
	cl.setBehaviour("search-03-zone-b", `{"lost":true}`)
	for _, v := range cl.vms {
		checkComplete(c, cl.query(v, "search", `{"fit":"wide"}`), 8)
	}
}

// TestFrozenOwner requires that a paused VM doesn't reduce coverage, even of a front whose targets are all in its zone. The
// standby owner sends the attempts to the targets that the paused VM owns.
func TestFrozenOwner(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, oneZoneLayout())
	checkComplete(c, cl.query(cl.vms[0], "search", `{"fit":"slim"}`), 8)
	cl.vms[1].process.signal(syscall.SIGSTOP)
	for range 5 {
		for _, front := range []string{"search", "local"} {
			checkComplete(c, cl.query(cl.vms[0], front, `{"fit":"wide"}`), 8)
			checkComplete(c, cl.query(cl.vms[2], front, `{"fit":"wide"}`), 8)
		}
	}
}
