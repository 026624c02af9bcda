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

// honestLoad asks like load and keeps the first answer that is not honest.
type honestLoad struct {
	group                   errgroup.Group
	stopped                 atomic.Bool
	answered, whole, others atomic.Int64
	mutex                   sync.Mutex
	lie                     string
}

func (c *cluster) startHonestLoad(front string, callers int) *honestLoad {
	l := &honestLoad{}
	for caller := range callers {
		l.group.Go(func() error {
			for n := 0; !l.stopped.Load(); n++ {
				a, err := tryAsk(c.vms[(caller+n)%len(c.vms)], front, fmt.Sprintf(`{"caller":%d,"n":%d}`, caller, n))
				if err != nil || a.Status != http.StatusOK {
					l.others.Add(1)
					continue
				}
				l.answered.Add(1)
				if a.Coverage.Answered == a.Coverage.Asked {
					l.whole.Add(1)
				}
				if lie := lieIn(a); lie != "" {
					l.mutex.Lock()
					l.lie = lie
					l.mutex.Unlock()
				}
			}
			return nil
		})
	}
	return l
}

// lieIn tells what is wrong with an answer's snapshot, rows or coverage.
func lieIn(a answer) string {
	shards, hashes := map[string]bool{}, map[string]bool{}
	for _, r := range a.Rows {
		if r.Snapshot != a.Snapshot {
			return fmt.Sprintf("rows of snapshot %d in an answer of %d", r.Snapshot, a.Snapshot)
		}
		shards[r.Shard], hashes[r.BodyHash] = true, true
	}
	for _, m := range a.Coverage.Missing {
		if shards[m.Shard] {
			return "rows of a shard stated as missing: " + m.Shard
		}
	}
	switch {
	case len(shards) != a.Coverage.Answered || len(a.Rows) != a.Coverage.Answered:
		return fmt.Sprintf("rows of %d shards, %d stated", len(shards), a.Coverage.Answered)
	case a.Coverage.Answered+len(a.Coverage.Missing) != a.Coverage.Asked:
		return "shards neither answered nor missing"
	case len(hashes) > 1:
		return "rows of two requests in one answer"
	}
	return ""
}

// end stops the load after further whole answers and requires that none was dishonest.
func (l *honestLoad) end(c *qt.C, further int64) {
	c.Helper()
	l.waitWhole(c, further)
	l.stopped.Store(true)
	c.Assert(l.group.Wait(), qt.IsNil)
	c.Logf("answered %d, whole %d, refused or failed %d", l.answered.Load(), l.whole.Load(), l.others.Load())
	c.Assert(l.lie, qt.Equals, "")
}

// endWhole ends the load as end does and requires that every call got a whole answer.
func (l *honestLoad) endWhole(c *qt.C, further int64) {
	c.Helper()
	l.end(c, further)
	c.Check(l.answered.Load(), qt.Equals, l.whole.Load())
	c.Check(l.others.Load(), qt.Equals, int64(0))
}

func (l *honestLoad) waitWhole(c *qt.C, further int64) {
	c.Helper()
	enough := l.whole.Load() + further
	eventually(c, startTimeout, "more whole answers", func() bool { return l.whole.Load() >= enough })
}

// TestSnapshotChange moves the targets to newer snapshots one by one, in another order each time, under load.
func TestSnapshotChange(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(8))
	l := cl.startHonestLoad("search", 6)
	l.waitWhole(c, 50)
	for version := uint64(43); version < 47; version++ {
		for i, s := range cl.layout.fronts[0].Shards {
			target := s.Targets[(i+int(version))%2].Name
			cl.behave(target, fmt.Sprintf(`{"heldSnapshots":[%d,%d]}`, version-1, version))
		}
		for i, s := range cl.layout.fronts[0].Shards {
			target := s.Targets[(i+int(version)+1)%2].Name
			cl.behave(target, fmt.Sprintf(`{"heldSnapshots":[%d]}`, version))
		}
		l.waitWhole(c, 20)
	}
	l.end(c, 50)
	c.Assert(cl.ask(cl.vms[0], "search", `{}`).Snapshot, qt.Equals, uint64(46))
}

// TestRepartition moves the targets to a new shard map one by one, then the settings, under load.
func TestRepartition(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(8))
	l := cl.startHonestLoad("search", 4)
	l.waitWhole(c, 50)
	changed := sameTargets(cl.layout.fronts[0], newFront("search", 6, twoZones))
	changed.ShardMapEpoch = 2
	for _, s := range cl.layout.fronts[0].Shards {
		for _, r := range s.Targets {
			cl.behave(r.Name, `{"shardMapEpoch":2}`)
		}
	}
	cl.apply(team, cl.teamYAML([]*cassiaschema.Front{changed}), teamToken)
	l.end(c, 50)
	a := cl.ask(cl.vms[0], "search", `{}`)
	checkWhole(c, a, 6)
	c.Assert(a.ShardMapEpoch, qt.Equals, uint64(2))
}

// sameTargets gives the targets of a front the addresses that another one has for them.
func sameTargets(known, front *cassiaschema.Front) *cassiaschema.Front {
	for i, s := range front.Shards {
		for k, r := range s.Targets {
			r.Address = known.Shards[i].Targets[k].Address
		}
	}
	return front
}

// TestBadReplies has targets answer twice, too late, broken off, for another attempt and from another snapshot.
func TestBadReplies(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, searchLayout(8))
	cl.behave("all", `{"replyFaults":{"duplicate":0.05,"truncate":0.03,"wrongAttempt":0.03,"wrongSnapshot":0.03,"late":0.02,"lateMs":50,"cutBeforeReply":0.02}}`)
	l := cl.startHonestLoad("search", 4)
	l.end(c, 100)
}
