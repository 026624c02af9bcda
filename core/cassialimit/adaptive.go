package cassialimit

import (
	"time"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiaschema"
)

const (
	minLimit = 1
	// growBelow and shrinkAbove bound the attempts that wait at the target, as a number for small limits and as a
	// share of large ones, whose estimates vary more.
	growBelowQueued        = 0.4
	growBelowQueuedShare   = 0.12
	shrinkAboveQueued      = 0.8
	shrinkAboveQueuedShare = 0.2
	// latencyDecrease and shedDecrease are the factors of the limit after high latency and after a refusal.
	latencyDecrease = 0.9
	shedDecrease    = 0.6
	// pauseBase and pauseMax bound the wait after refusals by a target that runs none of this VM's attempts.
	pauseBase = 2 * time.Millisecond
	pauseMax  = 100 * time.Millisecond
	// probeEvery is how long the unloaded latency counts before probeSamples attempts run alone to measure it again.
	minProbeInterval = 2 * time.Second
	probeSamples     = 3
	// probeShare is the largest part of the time in which a slow target runs attempts alone.
	maxProbeTimeShare = 0.05
)

// adaptive finds how many attempts a target can run at once for this VM: it keeps the number that wait at the target,
// estimated from the latency beside that of attempts which run alone, near zero.
type adaptive struct {
	limit     float64
	slowStart bool
	estimate  estimate
	// steadyAt is when the limit may shrink again.
	shrinkAllowedAt  time.Time
	consecutiveSheds int
	pausedUntil      time.Time
	// probes is how many attempts have still to run alone.
	probesLeft int
}

// reset starts again from the smallest limit, growing fast until the first sign of congestion.
func (a *adaptive) reset() {
	a.limit = minLimit
	a.slowStart = true
}

// fit keeps what was learned as far as a new bound allows.
func (a *adaptive) clamp(bound int) { a.limit = min(a.limit, float64(bound)) }

// current returns the limit as a number of attempts.
func (a *adaptive) current(bound int) int {
	if a.probesLeft > 0 {
		return minLimit
	}
	return min(max(minLimit, int(a.limit)), bound)
}

// done learns from an attempt; busy tells whether the limit was in use, alone whether it started with nothing else running.
func (a *adaptive) done(now time.Time, m Done, busy, alone bool, bound int) {
	switch m.Outcome {
	case cassiaschema.ShardOutcome_answered:
		a.consecutiveSheds = 0
		a.estimate.observe(now, m.Elapsed, alone)
		a.answered(now, busy, alone, bound)
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

func (a *adaptive) answered(now time.Time, busy, alone bool, bound int) {
	if a.probesLeft > 0 {
		if alone {
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

// probeAfter returns how long the unloaded latency counts: longer on slow targets, whose other slots idle meanwhile.
func (a *adaptive) probeInterval(now time.Time) time.Duration {
	probing := probeSamples * float64(a.estimate.expected(now))
	return max(minProbeInterval, time.Duration(probing/maxProbeTimeShare))
}

func (a *adaptive) overloaded(now time.Time) {
	if a.limit <= minLimit {
		pause := cassiabackoff.Pause(pauseBase, pauseMax, a.consecutiveSheds)
		a.consecutiveSheds++
		a.pausedUntil = now.Add(pause)
	}
	a.shrink(now, shedDecrease)
}

// shrink lowers the limit at most once per round of attempts, so that one burst of bad news counts once.
func (a *adaptive) shrink(now time.Time, factor float64) {
	a.slowStart = false
	if now.Before(a.shrinkAllowedAt) {
		return
	}
	a.limit = max(minLimit, a.limit*factor)
	a.shrinkAllowedAt = now.Add(a.estimate.expected(now))
}
