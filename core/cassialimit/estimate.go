package cassialimit

import "time"

const (
	// recentWeight and baseWeight are the weights of the newest sample in the averages.
	recentWeight = 0.1
	baseWeight   = 0.15
	// estimateLife is how long an estimate counts after its last sample.
	estimateLife = time.Second
)

// estimate tracks a target's recent latency and its latency without others of this VM's attempts.
type estimate struct {
	recent, base float64
	sampledAt    time.Time
	// aloneAt is when the last attempt ended that had started with nothing else running.
	aloneAt time.Time
}

// observe adds the time that an attempt took; alone is true when it started with nothing else running. The first
// sample after a while replaces what was known before.
func (e *estimate) observe(now time.Time, elapsed time.Duration, alone bool) {
	if now.Sub(e.sampledAt) > estimateLife {
		e.recent = 0
	}
	e.sampledAt = now
	average(&e.recent, float64(elapsed), recentWeight)
	if alone {
		e.aloneAt = now
		average(&e.base, float64(elapsed), baseWeight)
	}
}

// observeAtLeast adds an attempt that was stopped early and would have taken longer.
func (e *estimate) observeAtLeast(now time.Time, elapsed time.Duration) {
	if float64(elapsed) > e.recent {
		e.sampledAt = now
		average(&e.recent, float64(elapsed), recentWeight)
	}
}

func average(a *float64, sample, weight float64) {
	if *a == 0 {
		*a = sample
		return
	}
	*a += weight * (sample - *a)
}

// typical returns the time that an attempt is expected to take, zero when nothing recent is known.
func (e *estimate) typical(now time.Time) time.Duration {
	if now.Sub(e.sampledAt) > estimateLife {
		return 0
	}
	return time.Duration(e.recent)
}

// queued estimates how many of a number of attempts in flight wait at the target.
func (e *estimate) queued(inFlight float64) float64 {
	if e.recent <= e.base || e.base == 0 {
		return 0
	}
	return inFlight * (1 - e.base/e.recent)
}
