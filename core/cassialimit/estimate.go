package cassialimit

import "time"

const (
	// recentLatencyWeight and unloadedLatencyWeight are the weights of the newest sample in the exponentially weighted averages.
	recentLatencyWeight   = 0.1
	unloadedLatencyWeight = 0.15
	// estimateLifetime is how long the recent latency is valid after its last sample.
	estimateLifetime = time.Second
)

// estimate tracks a target's recent latency and its unloaded latency: that of attempts that start while this VM runs no other
// attempt on the target. Both are averages in nanoseconds; zero means that there is no sample.
type estimate struct {
	recentLatency, unloadedLatency float64
	sampledAt                      time.Time
	// unloadedAt is the time of the last sample of the unloaded latency.
	unloadedAt time.Time
}

// observe adds the duration of an attempt; startedIdle is true when no other attempt was running when it started. After a gap of
// more than estimateLifetime the sample replaces the recent latency.
func (e *estimate) observe(now time.Time, elapsed time.Duration, startedIdle bool) {
	if now.Sub(e.sampledAt) > estimateLifetime {
		e.recentLatency = 0
	}
	e.sampledAt = now
	updateAverage(&e.recentLatency, float64(elapsed), recentLatencyWeight)
	if startedIdle {
		e.unloadedAt = now
		updateAverage(&e.unloadedLatency, float64(elapsed), unloadedLatencyWeight)
	}
}

// observeLowerBound adds an attempt that was stopped after elapsed and would have taken longer. It has no effect unless elapsed
// exceeds the recent latency.
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

// expected returns the expected duration of an attempt, or zero without a sample within estimateLifetime.
func (e *estimate) expected(now time.Time) time.Duration {
	if now.Sub(e.sampledAt) > estimateLifetime {
		return 0
	}
	return time.Duration(e.recentLatency)
}

// queued estimates how many of the attempts in flight wait in the target's queue.
func (e *estimate) queued(inFlight float64) float64 {
	if e.recentLatency <= e.unloadedLatency || e.unloadedLatency == 0 {
		return 0
	}
	return inFlight * (1 - e.unloadedLatency/e.recentLatency)
}
