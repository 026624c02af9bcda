package test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaschema"
)

// TestServeBoundsRepliesWithoutEnd guards against targets that send heads or rows without end using up the memory of the VM that calls
// them, so that it ends and the queries of other fronts with it.
func TestServeBoundsRepliesWithoutEnd(t *testing.T) {
	const callers, duration = 24, 5 * time.Second
	for _, fault := range []string{"endlessHead", "endlessBody"} {
		t.Run(fault, func(t *testing.T) {
			c := qt.New(t)
			zones := twoZones[:1]
			cl := startCluster(t, layout{zones: zones, vmsPerZone: 1, logLevel: "error",
				fronts: []*cassiaschema.Front{newFront("search", 8, zones), newFront("faulty", 40, zones)}})
			for shard := range 40 {
				cl.setBehaviour(fmt.Sprintf("faulty-%02d-zone-a", shard), fmt.Sprintf(`{"replyFaults":{"%s":1}}`, fault))
			}
			v := cl.vms[0]
			checkComplete(c, cl.query(v, "search", `{}`), 8)
			var group errgroup.Group
			until := time.Now().Add(duration)
			for range callers {
				group.Go(func() error {
					for time.Now().Before(until) {
						if _, err := tryQuery(v, "faulty", `{}`); err != nil {
							return err
						}
					}
					return nil
				})
			}
			for time.Now().Before(until) {
				checkComplete(c, cl.query(v, "search", `{}`), 8)
				sleep(10 * time.Millisecond)
			}
			c.Check(group.Wait(), qt.IsNil)
			peak := v.process.peakMemory(t)
			t.Logf("peak memory %d MB", peak>>20)
			c.Check(peak < envMemory, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
		})
	}
}
