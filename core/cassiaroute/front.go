package cassiaroute

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiafront"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassialatency"
	"cassiasaddle/core/cassiaschema"
)

const (
	// unknownHedgeDivisor divides the deadline into the wait before a hedge while the latency is not known.
	unknownHedgeDivisor = 4
	// minHedgeDelay keeps fast fronts from hedging on the jitter of links.
	minHedgeDelay = 2 * time.Millisecond
	// hedgeMedianFactor is how many times the median an attempt may take before a hedge though more than the budget's share
	// of the attempts takes longer; the budget then decides which of them get one.
	hedgeMedianFactor = 3
	// minHedgeSamples is how many shard results the estimate needs.
	minHedgeSamples = 32
	// frontLatencyWindow is the number of shard results that the front's latency remembers.
	frontLatencyWindow = 4096
	// retriesPerSecond lets a front with little traffic retry at all.
	retriesPerSecond = 0.5
)

// front is what a Table knows of one front.
type front struct {
	settings   *cassiaschema.Front
	slices     int
	share      Share
	hedgeRatio float64
	retryRatio float64
	hedges     cassiabudget.Budget
	retries    cassiabudget.Budget
	latency    cassialatency.Latency
	// cachedHedgeDelay caches the wait before a hedge.
	cachedHedgeDelay time.Duration
	// peerMedian is the median of the targets' medians, computed again after peersEvery results.
	peerMedian             time.Duration
	resultsUntilPeerMedian int
	// probeAt is when the next probe of unreachable owners is due.
	probeAt time.Time
}

func newFront(settings *cassiaschema.Front, before *front) *front {
	f := &front{}
	if before != nil {
		*f = *before
	}
	f.settings = settings
	f.slices = Slices(settings)
	f.share = ShareOf(settings.GetTargetLimits())
	f.hedgeRatio = cassiafront.HedgeBudget(settings)
	f.retryRatio = cassiafront.RetryBudget(settings)
	f.latency.Window = frontLatencyWindow
	return f
}

// recordLatency adds the time from an attempt's sending to its result.
func (f *front) recordLatency(d time.Duration) {
	f.latency.Observe(d)
	f.cachedHedgeDelay = 0
}

// hedgeDelay returns the latency that the budget's share of attempts exceeds, but not so much that a straggling part of
// the targets sets it; between a floor and half of the deadline.
func (f *front) hedgeDelay() time.Duration {
	if f.cachedHedgeDelay != 0 {
		return f.cachedHedgeDelay
	}
	deadline := cassiafront.Deadline(f.settings)
	if f.latency.Samples() < minHedgeSamples {
		return deadline / unknownHedgeDivisor
	}
	share := min(0.99, max(0.5, 1-f.hedgeRatio))
	usual := hedgeMedianFactor*f.latency.Quantile(0.5) + minHedgeDelay
	f.cachedHedgeDelay = min(deadline/2, max(minHedgeDelay, min(usual, f.latency.Quantile(share))))
	return f.cachedHedgeDelay
}

// setFronts replaces the fronts and keeps what is known of targets that stay.
func (t *Table) setFronts(fronts map[cassiaid.FrontKey]*cassiaschema.Front) {
	known := t.fronts
	knownTargets := t.targets
	t.fronts = make(map[cassiaid.FrontKey]*front, len(fronts))
	t.targets = make(map[cassiaid.TargetName]*target, len(knownTargets))
	clear(t.owners)
	for key, settings := range fronts {
		f := newFront(settings, known[key])
		t.fronts[key] = f
		for _, s := range settings.GetShards() {
			t.addShard(f, s, knownTargets)
		}
	}
}

func (t *Table) addShard(f *front, settings *cassiaschema.Shard, known map[cassiaid.TargetName]*target) {
	s := &shard{front: f}
	for _, replica := range settings.GetTargets() {
		name := cassiaid.TargetName(replica.GetName())
		r := t.targets[name]
		if r == nil {
			if r = known[name]; r == nil {
				r = &target{name: name}
			}
			r.shards = nil
			t.targets[name] = r
		}
		r.shards = append(r.shards, s)
		s.replicas = append(s.replicas, r)
	}
}

// medianOfTargets returns the median of the typical latencies of the front's targets.
func (f *front) medianOfTargets(targets map[cassiaid.TargetName]*target) time.Duration {
	var medians []time.Duration
	for _, s := range f.settings.GetShards() {
		for _, replica := range s.GetTargets() {
			if r := targets[cassiaid.TargetName(replica.GetName())]; r != nil && r.medianLatency > 0 {
				medians = append(medians, r.medianLatency)
			}
		}
	}
	if len(medians) == 0 {
		return 0
	}
	slices.Sort(medians)
	return medians[len(medians)/2]
}
