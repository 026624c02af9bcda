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
	// unknownHedgeDivisor divides the deadline to give the hedge delay of a front with too few latency samples.
	unknownHedgeDivisor = 4
	// minHedgeDelay keeps fast fronts from hedging because of network jitter.
	minHedgeDelay = 2 * time.Millisecond
	// hedgeMedianFactor times the median latency plus minHedgeDelay is the upper limit of the hedge delay. More attempts
	// may then be due for a hedge than the hedge budget allows; the budget decides which of them get one.
	hedgeMedianFactor = 3
	// minHedgeSamples is how many results the latency estimate of a front needs before it sets the hedge delay.
	minHedgeSamples = 32
	// frontLatencyWindow is the number of results in the latency estimate of a front.
	frontLatencyWindow = 4096
	// retriesPerSecond is credited to the retry budget in addition to retryRatio for each first attempt, so that a front
	// with little traffic can retry at all.
	retriesPerSecond = 0.5
)

// front is the state that a Table keeps of one front.
type front struct {
	settings   *cassiaschema.Front
	slices     int
	share      Share
	hedgeRatio float64
	retryRatio float64
	hedges     cassiabudget.Budget
	retries    cassiabudget.Budget
	latency    cassialatency.Latency
	// cachedHedgeDelay is the result of hedgeDelay, 0 when it has to be computed again.
	cachedHedgeDelay time.Duration
	// peerMedian is the median of the targets' median latencies, computed again after peerMedianInterval results.
	peerMedian             time.Duration
	resultsUntilPeerMedian int
	// probeAt is the earliest time of the next probe of unreachable owners.
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

// recordLatency adds the time from the sending of an attempt to its result.
func (f *front) recordLatency(d time.Duration) {
	f.latency.Observe(d)
	f.cachedHedgeDelay = 0
}

// hedgeDelay returns the latency that is exceeded by the fraction of attempts that the hedge budget allows to hedge. It
// is limited by hedgeMedianFactor, so that a group of slow targets does not determine it, and lies between
// minHedgeDelay and half of the deadline. With too few samples it is a fixed part of the deadline.
func (f *front) hedgeDelay() time.Duration {
	if f.cachedHedgeDelay != 0 {
		return f.cachedHedgeDelay
	}
	deadline := cassiafront.Deadline(f.settings)
	if f.latency.Samples() < minHedgeSamples {
		return deadline / unknownHedgeDivisor
	}
	share := min(0.99, max(0.5, 1-f.hedgeRatio))
	limit := hedgeMedianFactor*f.latency.Quantile(0.5) + minHedgeDelay
	f.cachedHedgeDelay = min(deadline/2, max(minHedgeDelay, min(limit, f.latency.Quantile(share))))
	return f.cachedHedgeDelay
}

// setFronts replaces the fronts and keeps the state of the fronts and targets that remain.
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

// medianOfTargets returns the median of the median latencies of the front's targets, 0 if none is known.
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
