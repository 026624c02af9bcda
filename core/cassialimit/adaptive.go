package cassialimit

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

const (
	minLimit = 1
	// congestedFactor and congestedMargin tell from which latency on a target queues work itself.
	congestedFactor = 2
	congestedMargin = time.Millisecond
	// latencyDecrease and shedDecrease are the factors of the limit after high latency and after a refusal.
	latencyDecrease = 0.9
	shedDecrease    = 0.6
	// pauseBase and pauseMax bound the wait after refusals by a target that runs none of this VM's attempts.
	pauseBase = 2 * time.Millisecond
	pauseMax  = 100 * time.Millisecond
)

// adaptive finds how many attempts a target can run at once for this VM.
type adaptive struct {
	limit     float64
	slowStart bool
	estimate  estimate
	// steadyAt is when the limit may shrink again.
	steadyAt time.Time
	sheds    int
	pausedTo time.Time
}

// reset starts again from the smallest limit, growing fast until the first sign of congestion.
func (a *adaptive) reset() {
	a.limit = minLimit
	a.slowStart = true
}

// current returns the limit as a number of attempts.
func (a *adaptive) current(bound int) int { return min(max(minLimit, int(a.limit)), bound) }

// done learns from an attempt that ended while busy told whether the limit was in use.
func (a *adaptive) done(now time.Time, m Done, busy bool, bound int) {
	switch m.Outcome {
	case cassiaschema.ShardOutcome_answered:
		a.sheds = 0
		a.estimate.observe(m.Elapsed)
		a.answered(now, busy, bound)
	case cassiaschema.ShardOutcome_overloaded:
		a.shed(now)
	case cassiaschema.ShardOutcome_timedOut:
		a.shrink(now, latencyDecrease)
	}
}

func (a *adaptive) answered(now time.Time, busy bool, bound int) {
	threshold := congestedFactor*a.estimate.unloaded() + congestedMargin
	switch {
	case a.estimate.typical() > threshold:
		a.shrink(now, latencyDecrease)
	case busy && a.slowStart:
		a.limit = min(float64(bound), a.limit+1)
	case busy:
		a.limit = min(float64(bound), a.limit+1/a.limit)
	}
}

func (a *adaptive) shed(now time.Time) {
	if a.limit <= minLimit {
		pause := min(pauseMax, pauseBase<<min(a.sheds, 8))
		a.sheds++
		a.pausedTo = now.Add(pause)
	}
	a.shrink(now, shedDecrease)
}

// shrink lowers the limit at most once per round of attempts, so that one burst of bad news counts once.
func (a *adaptive) shrink(now time.Time, factor float64) {
	a.slowStart = false
	if now.Before(a.steadyAt) {
		return
	}
	a.limit = max(minLimit, a.limit*factor)
	a.steadyAt = now.Add(a.estimate.typical())
}
