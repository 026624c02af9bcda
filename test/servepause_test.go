package test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaschema"
)

// TestServeSendsNothingToTargetsThatPause guards against the same in cassiasaddle serve: attempts within the pause that a target has
// asked for, and fan-outs that fail for a shard that they need not have.
func TestServeSendsNothingToTargetsThatPause(t *testing.T) {
	const pause, callFor = 2 * time.Second, 8 * time.Second
	c := qt.New(t)
	front := newFront("search", 4, twoZones)
	cl := startCluster(t, layout{zones: twoZones, vmsPerZone: 2, fronts: []*cassiaschema.Front{front}, behaviour: `{"workMs":5}`})
	for _, target := range front.Shards[0].Targets {
		cl.setBehaviour(target.Name, fmt.Sprintf(`{"pauseSeconds":%v}`, pause.Seconds()))
	}
	begun := time.Now()
	var callers errgroup.Group
	var answered, failed atomic.Int64
	for caller := range 6 {
		callers.Go(func() error {
			for i := caller; time.Since(begun) < callFor; i++ {
				a, err := tryQuery(cl.vms[i%len(cl.vms)], "search", fmt.Sprintf(`{"caller":%d,"n":%d}`, caller, i))
				if err == nil && a.Status == http.StatusOK && a.Coverage.Answered >= len(front.Shards)-1 {
					answered.Add(1)
				} else {
					failed.Add(1)
				}
				sleep(20 * time.Millisecond)
			}
			return nil
		})
	}
	c.Assert(callers.Wait(), qt.IsNil)
	arrivals := make(map[string][]time.Time)
	for _, e := range cl.executions() {
		if at := time.UnixMicro(e.ArrivedUnixMicros); at.After(begun) {
			arrivals[e.Target] = append(arrivals[e.Target], at)
		}
	}
	for _, target := range front.Shards[0].Targets {
		worst := 0
		for _, refused := range arrivals[target.Name] {
			worst = max(worst, countBetween(arrivals[target.Name], refused.Add(availabilityGrace), refused.Add(pause)))
		}
		seen := fmt.Sprintf("%s got %d attempts of %d VMs within a pause, %d in all", target.Name, worst, len(cl.vms), len(arrivals[target.Name]))
		t.Log(seen)
		c.Check(worst <= len(cl.vms)*availabilityRepeats, qt.IsTrue, qt.Commentf("%s", seen))
	}
	t.Logf("%d queries were answered from %d shards or more, %d were not", answered.Load(), len(front.Shards)-1, failed.Load())
	c.Check(float64(answered.Load()) >= 0.95*float64(answered.Load()+failed.Load()), qt.IsTrue)
}
