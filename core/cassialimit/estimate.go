package cassialimit

import "time"

const (
	// recentWeight is the weight of the newest sample in the recent latency.
	recentWeight = 0.2
	// baseRise and baseFall are the weights of samples above and below the unloaded latency.
	baseRise = 0.02
	baseFall = 0.3
)

// estimate tracks a target's recent latency and its latency without a queue at the target.
type estimate struct {
	recent, base float64
}

func (e *estimate) observe(elapsed time.Duration) {
	sample := float64(elapsed)
	if e.recent == 0 {
		e.recent, e.base = sample, sample
		return
	}
	e.recent += recentWeight * (sample - e.recent)
	weight := baseRise
	if sample < e.base {
		weight = baseFall
	}
	e.base += weight * (sample - e.base)
}

// typical returns the time that an attempt is expected to take.
func (e *estimate) typical() time.Duration { return time.Duration(e.recent) }

// unloaded returns the time that an attempt takes without others before it.
func (e *estimate) unloaded() time.Duration { return time.Duration(e.base) }
