package cassiagateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// runOverload simulates requests of two routes to twenty shards: searches with 20 ms of work per shard, and quick ones
// with 7 ms of work, half the desired latency and lower priority. It returns the results of each route.
func runOverload(t *testing.T, searches, quick float64) (searchResults, quickResults *routeResults) {
	sim := newSimulation(9, 20)
	sim.addPauses(200*time.Millisecond, 4500*time.Millisecond)
	searchRoute := sim.fanOut(200*time.Millisecond, 0.89)
	quickRoute := sim.fanOut(100*time.Millisecond, 0.75)
	quickRoute.Name, quickRoute.Priority, quickRoute.TopK = "quick", 2, 5
	const calm, crowded = 4 * time.Second, 8 * time.Second
	sim.loadBoth(simulatedRoute{searchRoute, 20 * time.Millisecond}, "calm", 40, simulatedRoute{quickRoute, 7 * time.Millisecond}, "calm quick", 13, calm)
	sim.loadBoth(simulatedRoute{searchRoute, 20 * time.Millisecond}, "search", searches, simulatedRoute{quickRoute, 7 * time.Millisecond}, "quick", quick, crowded)
	t.Logf("search: %v; quick: %v", sim.results["search"], sim.results["quick"])
	return sim.results["search"], sim.results["quick"]
}

// loadBoth sends requests of two routes at the same time.
func (sim *simulation) loadBoth(a simulatedRoute, nameA string, rateA float64, b simulatedRoute, nameB string, rateB float64, length time.Duration) {
	sim.startLoad(a, nameA, rateA, length)
	sim.startLoad(b, nameB, rateB, length)
	sim.runFor(length + 2*time.Second)
}

// TestCrowd simulates loads of 0.8, 1.2 and 1.9 times the capacity of the targets. At each load, at least five in six of
// the admitted searches must be answered within their desired latency, and the quick requests, which have lower
// priority, must not score better than the searches. Without admission control every request would wait for the
// fullest shards and be late.
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
