package cassiagateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// runOverload plays more requests than the targets of twenty shards can do, of two kinds: searches of 20 ms of work a shard, and quick
// ones of 7 ms that have half of the time and rank behind. It returns what the callers of each kind got.
func runOverload(t *testing.T, searches, quick float64) (search, quickTally *routeResults) {
	sim := newSimulation(9, 20)
	sim.addPauses(200*time.Millisecond, 4500*time.Millisecond)
	browse := sim.fanOut(200*time.Millisecond, 0.89)
	urgent := sim.fanOut(100*time.Millisecond, 0.75)
	urgent.Name, urgent.Priority, urgent.TopK = "quick", 2, 5
	const calm, crowded = 4 * time.Second, 8 * time.Second
	sim.loadBoth(simulatedRoute{browse, 20 * time.Millisecond}, "calm", 40, simulatedRoute{urgent, 7 * time.Millisecond}, "calm quick", 13, calm)
	sim.loadBoth(simulatedRoute{browse, 20 * time.Millisecond}, "search", searches, simulatedRoute{urgent, 7 * time.Millisecond}, "quick", quick, crowded)
	t.Logf("search: %v; quick: %v", sim.results["search"], sim.results["quick"])
	return sim.results["search"], sim.results["quick"]
}

// loadBoth sends requests of two routes at the same time.
func (sim *simulation) loadBoth(a simulatedRoute, nameA string, rateA float64, b simulatedRoute, nameB string, rateB float64, length time.Duration) {
	sim.startLoad(a, nameA, rateA, length)
	sim.startLoad(b, nameB, rateB, length)
	sim.runFor(length + 2*time.Second)
}

// TestCrowd plays loads of 0.8, 1.2 and 1.9 times of what the targets can do. Of the searches that are admitted, five in six are
// answered in their aim at each of them, and the quick ones, which rank behind, do not fare better.
func TestCrowd(t *testing.T) {
	c := qt.New(t)
	defer func() { simulationSeed = 1 }()
	for _, load := range []struct{ searches, quick float64 }{{145, 48}, {220, 73}, {340, 115}} {
		admitted, late := 0, 0
		for simulationSeed = range uint64(4) {
			search, quick := runOverload(t, load.searches, load.quick)
			admitted += search.asked - search.refused
			late += search.late + search.failed
			c.Check(search.score() >= quick.score(), qt.IsTrue)
		}
		c.Check(late*6 <= admitted, qt.IsTrue, qt.Commentf("%v searches a second: %d of %d late", load.searches, late, admitted))
	}
}
