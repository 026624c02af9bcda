package test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaschema"
)

// verifiedLoad sends queries as load does and checks each answer for consistency.
type verifiedLoad struct {
	group                      errgroup.Group
	stopped                    atomic.Bool
	answered, complete, failed atomic.Int64
	mutex                      sync.Mutex
	violation                  string
}

func (c *cluster) startVerifiedLoad(front string, callers int) *verifiedLoad {
	l := &verifiedLoad{}
	for caller := range callers {
		l.group.Go(func() error {
			for n := 0; !l.stopped.Load(); n++ {
				a, err := tryQuery(c.vms[(caller+n)%len(c.vms)], front, fmt.Sprintf(`{"caller":%d,"n":%d}`, caller, n))
				if err != nil || a.Status != http.StatusOK {
					l.failed.Add(1)
					continue
				}
				l.answered.Add(1)
				if a.Coverage.Answered == a.Coverage.Asked {
					l.complete.Add(1)
				}
				if violation := findViolation(a); violation != "" {
					l.mutex.Lock()
					l.violation = violation
					l.mutex.Unlock()
				}
			}
			return nil
		})
	}
	return l
}

// findViolation describes an inconsistency between an answer's snapshot, rows and coverage, or returns "" if there is none.
func findViolation(a answer) string {
	shards, hashes := map[string]bool{}, map[string]bool{}
	for _, r := range a.Rows {
		if r.Snapshot != a.Snapshot {
			return fmt.Sprintf("a row of snapshot %d in an answer of snapshot %d", r.Snapshot, a.Snapshot)
		}
		shards[r.Shard], hashes[r.BodyHash] = true, true
	}
	for _, m := range a.Coverage.Missing {
		if shards[m.Shard] {
			return "rows of a shard that is stated as missing: " + m.Shard
		}
	}
	switch {
	case len(shards) != a.Coverage.Answered || len(a.Rows) != a.Coverage.Answered:
		return fmt.Sprintf("rows of %d shards, but %d shards stated as answered, or several rows of a shard", len(shards), a.Coverage.Answered)
	case a.Coverage.Answered+len(a.Coverage.Missing) != a.Coverage.Asked:
		return "the numbers of answered and missing shards don't add up to the number asked"
	case len(hashes) > 1:
		return "rows of different requests in one answer"
	}
	return ""
}

// stop stops the load after a number of further complete answers and requires that all answers were consistent.
func (l *verifiedLoad) stop(c *qt.C, further int64) {
	c.Helper()
	l.waitComplete(c, further)
	l.stopped.Store(true)
	c.Assert(l.group.Wait(), qt.IsNil)
	c.Logf("answered %d, complete %d, refused or failed %d", l.answered.Load(), l.complete.Load(), l.failed.Load())
	c.Assert(l.violation, qt.Equals, "")
}

// stopAllComplete stops the load as stop does and requires that every query got a complete answer.
func (l *verifiedLoad) stopAllComplete(c *qt.C, further int64) {
	c.Helper()
	l.stop(c, further)
	c.Check(l.answered.Load(), qt.Equals, l.complete.Load())
	c.Check(l.failed.Load(), qt.Equals, int64(0))
}

func (l *verifiedLoad) waitComplete(c *qt.C, further int64) {
	c.Helper()
	enough := l.complete.Load() + further
	eventually(c, waitTimeout, "enough further complete answers", func() bool { return l.complete.Load() >= enough })
}

// TestSnapshotChange moves the targets to newer snapshots one by one under load, in a different order each time.
func TestSnapshotChange(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(8))
	l := cl.startVerifiedLoad("search", 6)
	l.waitComplete(c, 50)
	for version := uint64(43); version < 47; version++ {
		for i, s := range cl.layout.fronts[0].Shards {
			target := s.Targets[(i+int(version))%2].Name
			cl.setBehaviour(target, fmt.Sprintf(`{"heldSnapshots":[%d,%d]}`, version-1, version))
		}
		for i, s := range cl.layout.fronts[0].Shards {
			target := s.Targets[(i+int(version)+1)%2].Name
			cl.setBehaviour(target, fmt.Sprintf(`{"heldSnapshots":[%d]}`, version))
		}
		l.waitComplete(c, 20)
	}
	l.stop(c, 50)
	c.Assert(cl.query(cl.vms[0], "search", `{}`).Snapshot, qt.Equals, uint64(46))
}

// TestRepartition moves the targets to a new shard map one by one under load, then applies settings with that shard map.
func TestRepartition(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(8))
	l := cl.startVerifiedLoad("search", 4)
	l.waitComplete(c, 50)
	changed := withAddressesOf(cl.layout.fronts[0], newFront("search", 6, twoZones))
	changed.ShardMapEpoch = 2
	for _, s := range cl.layout.fronts[0].Shards {
		for _, r := range s.Targets {
			cl.setBehaviour(r.Name, `{"shardMapEpoch":2}`)
		}
	}
	cl.apply(team, cl.teamYAML([]*cassiaschema.Front{changed}), teamToken)
	l.stop(c, 50)
	a := cl.query(cl.vms[0], "search", `{}`)
	checkComplete(c, a, 6)
	c.Assert(a.ShardMapEpoch, qt.Equals, uint64(2))
}

// withAddressesOf sets the targets of a front to the addresses that they have in another front, and returns the front.
func withAddressesOf(known, front *cassiaschema.Front) *cassiaschema.Front {
	for i, s := range front.Shards {
		for k, r := range s.Targets {
			r.Address = known.Shards[i].Targets[k].Address
		}
	}
	return front
}

// TestBadReplies makes targets send replies that are duplicated, late, truncated, cut off, for another attempt or from another
// snapshot.
func TestBadReplies(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(8))
	cl.setBehaviour("all", `{"replyFaults":{"duplicate":0.05,"truncate":0.03,"wrongAttempt":0.03,"wrongSnapshot":0.03,"late":0.02,"lateMs":50,"cutBeforeReply":0.02}}`)
	l := cl.startVerifiedLoad("search", 4)
	l.stop(c, 100)
}
