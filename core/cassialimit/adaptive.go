package cassialimit

import (
	"time"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiaschema"
)

const (
	minLimit = 1
	// The limit grows while fewer attempts than growBelowQueued are estimated to wait at the target, and shrinks while more than
	// shrinkAboveQueued do. For large limits, whose estimates vary more, the bounds are growBelowQueuedShare and
	// shrinkAboveQueuedShare of the limit.
	growBelowQueued        = 0.4
	growBelowQueuedShare   = 0.12
	shrinkAboveQueued      = 0.8
	shrinkAboveQueuedShare = 0.2
	// latencyDecrease and shedDecrease are the factors on the limit after high latency and after a refusal by the target.
	latencyDecrease = 0.9
	shedDecrease    = 0.6
	// pauseBase and pauseMax bound the pause after a refusal by the target while the limit is already at minLimit.
	pauseBase = 2 * time.Millisecond
	pauseMax  = 100 * time.Millisecond
	// minProbeInterval is the shortest age of the unloaded latency at which it is measured again, by probeSamples attempts that run
	// alone.
	minProbeInterval = 2 * time.Second
	probeSamples     = 3
	// maxProbeTimeShare is the largest share of the time that a slow target spends on these attempts.
	maxProbeTimeShare = 0.05
)

// adaptive finds how many attempts a target can run concurrently for this VM. It keeps the number of attempts that wait at the
// target near zero, estimating it from the ratio of the unloaded latency to the recent latency.
type adaptive struct {
	limit     float64
	slowStart bool
	estimate  estimate
	// shrinkAllowedAt is the earliest time at which the limit may shrink again.
	shrinkAllowedAt  time.Time
	consecutiveSheds int
	pausedUntil      time.Time
	// probesLeft is the number of attempts that still have to run alone to measure the unloaded latency.
	probesLeft int
}

// reset sets the limit to minLimit and enters slow start: the limit grows by one per answer until the first sign of congestion.
func (a *adaptive) reset() {
	a.limit = minLimit
	a.slowStart = true
}

// clamp lowers the limit to a new bound and keeps the estimates.
func (a *adaptive) clamp(bound int) { a.limit = min(a.limit, float64(bound)) }

// current returns the limit as a whole number of attempts, between minLimit and bound.
func (a *adaptive) current(bound int) int {
	if a.probesLeft > 0 {
		return minLimit
	}
	return min(max(minLimit, int(a.limit)), bound)
}

// done updates the limit after an attempt. busy is true when the limit was fully used, startedIdle when no other attempt was
// running when this one started.
func (a *adaptive) done(now time.Time, m Done, busy, startedIdle bool, bound int) {
	switch m.Outcome {
	case cassiaschema.ShardOutcome_answered:
		a.consecutiveSheds = 0
		a.estimate.observe(now, m.Elapsed, startedIdle)
		a.answered(now, busy, startedIdle, bound)
	case cassiaschema.ShardOutcome_overloaded:
		a.overloaded(now)
	case cassiaschema.ShardOutcome_unreachable:
		a.reset()
	case cassiaschema.ShardOutcome_timedOut:
		a.estimate.observeLowerBound(now, m.Elapsed)
		a.shrink(now, latencyDecrease)
	case cassiaschema.ShardOutcome_cancelled:
		a.estimate.observeLowerBound(now, m.Elapsed)
	}
}

func (a *adaptive) answered(now time.Time, busy, startedIdle bool, bound int) {
	if a.probesLeft > 0 {
		if startedIdle {
			a.probesLeft--
		}
		return
	}
	queued := a.estimate.queued(a.limit)
	switch {
	case busy && queued > max(shrinkAboveQueued, shrinkAboveQueuedShare*a.limit):
		a.shrink(now, latencyDecrease)
	case busy && a.slowStart:
		a.limit = min(float64(bound), a.limit+1)
	case busy && queued < max(growBelowQueued, growBelowQueuedShare*a.limit):
		a.limit = min(float64(bound), a.limit+1/a.limit)
	}
	if a.limit > minLimit && now.Sub(a.estimate.unloadedAt) > a.probeInterval(now) {
		a.probesLeft = probeSamples
	}
}

// probeInterval returns the age at which the unloaded latency is measured again. It is longer for slow targets, because their other
// slots are idle during the measurement.
func (a *adaptive) probeInterval(now time.Time) time.Duration {
	probing := probeSamples * float64(a.estimate.expected(now))
	return max(minProbeInterval, time.Duration(probing/maxProbeTimeShare))
}

func (a *adaptive) overloaded(now time.Time) {
	if a.limit <= minLimit {
		pause := cassiabackoff.Delay(pauseBase, pauseMax, a.consecutiveSheds)
		a.consecutiveSheds++
		a.pausedUntil = now.Add(pause)
	}
	a.shrink(now, shedDecrease)
}

// shrink multiplies the limit by a factor, at most once per expected duration of an attempt, so that a burst of failures or slow
// answers counts once.
func (a *adaptive) shrink(now time.Time, factor float64) {
	a.slowStart = false
	if now.Before(a.shrinkAllowedAt) {
		return
	}
	a.limit = max(minLimit, a.limit*factor)
	a.shrinkAllowedAt = now.Add(a.estimate.expected(now))
}
