package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaschema"
)

// TestOverlappingDeadlyRequests sends requests that crash their targets. Each is sent six times, a millisecond apart, to all VMs
// in turn, and may crash at most maxCrashedTargets targets. One front selects a single shard by key, the other queries all shards.
func TestOverlappingDeadlyRequests(t *testing.T) {
	const (
		calls, rounds, shards = 6, 4, 20
		// gap is the time between two calls. A target runs the request for several gaps before it crashes, so that calls overlap.
		gap = time.Millisecond
	)
	c := qt.New(t)
	lookup, search := newFront("lookup", 4, twoZones), newFront("search", shards, twoZones)
	lookup.Fanout = cassiaschema.Fanout_oneShardByKey
	for i, s := range lookup.Shards {
		for r := range 4 {
			s.Targets = append(s.Targets, &cassiaschema.Target{
				Name: fmt.Sprintf("lookup-%02d-%d", i, r), AvailabilityZone: twoZones[r%len(twoZones)],
			})
		}
	}
	cl := startCluster(t, layout{zones: twoZones, vmsPerZone: 2, fronts: []*cassiaschema.Front{lookup, search},
		behaviour: `{"crashMarker":"deadly","crashAfterMs":5,"restartMs":300}`})
	allComplete := func(front, body string) bool {
		for _, v := range cl.vms {
			a := cl.query(v, front, body, "Shard-Key", "household-7")
			if a.Status != http.StatusOK || a.Coverage.Answered != a.Coverage.Asked {
				return false
			}
		}
		return true
	}
	for round := range rounds {
		for _, front := range []string{"lookup", "search"} {
			for n := range 5 {
				body := fmt.Sprintf(`{"innocent":%d}`, round*10+n)
				eventually(t, waitTimeout, "complete answers from all VMs", func() bool { return allComplete(front, body) })
			}
			deadly := fmt.Sprintf(`{"deadly":%d}`, round)
			if front == "search" {
				deadly = fmt.Sprintf(`{"deadly":"everywhere %d"}`, round)
			}
			var group errgroup.Group
			for n := range calls {
				group.Go(func() error {
					time.Sleep(time.Duration(n) * gap)
					a, err := tryQuery(cl.vms[n%len(cl.vms)], front, deadly, "Shard-Key", "household-7")
					c.Check(a.Status, qt.Not(qt.Equals), http.StatusOK)
					return err
				})
			}
			c.Assert(group.Wait(), qt.IsNil)
			crashes := cl.crashesCausedBy(deadly)
			t.Logf("%s, round %d: %d targets crashed", front, round, crashes)
			c.Check(crashes > 0 && crashes <= maxCrashedTargets, qt.IsTrue)
		}
	}
}
