package cassialimit

import "time"

const (
	// recentWeight and baseWeight are the weights of the newest sample in the averages.
	recentLatencyWeight   = 0.1
	unloadedLatencyWeight = 0.15
	// estimateLife is how long an estimate counts after its last sample.
	estimateLifetime = time.Second
)

// estimate tracks a target's recent latency and its latency without others of this VM's attempts.
type estimate struct {
	recentLatency, unloadedLatency float64
	sampledAt                      time.Time
	// aloneAt is when the last attempt ended that had started with nothing else running.
	unloadedAt time.Time
}

// observe adds the time that an attempt took; alone is true when it started with nothing else running. The first
// sample after a while replaces what was known before.
func (e *estimate) observe(now time.Time, elapsed time.Duration, alone bool) {
	if now.Sub(e.sampledAt) > estimateLifetime {
		e.recentLatency = 0
	}
	e.sampledAt = now
	updateAverage(&e.recentLatency, float64(elapsed), recentLatencyWeight)
	if alone {
		e.unloadedAt = now
		updateAverage(&e.unloadedLatency, float64(elapsed), unloadedLatencyWeight)
	}
}

// observeAtLeast adds an attempt that was stopped early and would have taken longer.
func (e *estimate) observeLowerBound(now time.Time, elapsed time.Duration) {
	if float64(elapsed) > e.recentLatency {
		e.sampledAt = now
		updateAverage(&e.recentLatency, float64(elapsed), recentLatencyWeight)
	}
}

func updateAverage(a *float64, sample, weight float64) {
	if *a == 0 {
		*a = sample
		return
	}
	*a += weight * (sample - *a)
}

// typical returns the time that an attempt is expected to take, zero when nothing recent is known.
func (e *estimate) expected(now time.Time) time.Duration {
	if now.Sub(e.sampledAt) > estimateLifetime {
		return 0
	}
	return time.Duration(e.recentLatency)
}

// queued estimates how many of a number of attempts in flight wait at the target.
func (e *estimate) queued(inFlight float64) float64 {
	if e.recentLatency <= e.unloadedLatency || e.unloadedLatency == 0 {
		return 0
	}
	return inFlight * (1 - e.unloadedLatency/e.recentLatency)
}
