package cassiagateway

import (
	"math"
	"time"
)

const (
	// correctionIncrease is the factor applied to a route's correction for each request that ended after its closeAt,
	// correctionDecrease the one for each request in time. The two balance at about one late request in twenty.
	correctionIncrease = 1.1
	correctionDecrease = 0.995
	// maxCorrection is the upper limit of a correction.
	maxCorrection = 4.0
	// correctionHalfLife is the half-life of the part of the correction above 1. It must decay without requests, or a
	// route that admits none would never admit any again.
	correctionHalfLife = 2 * time.Second
	// lateTolerance is how long after closeAt an answer still counts as in time, since timers fire late.
	lateTolerance = 5 * time.Millisecond
)

// waitCorrection is a factor by which the estimated wait for a target is multiplied when a request is admitted; the zero
// value is a factor of 1. A VM sees only its own queue: the load that other VMs put on the targets shows as admitted
// requests that end late.
type waitCorrection struct {
	excess    float64
	decayedAt time.Time
}

// factor returns the current factor, between 1 and maxCorrection.
func (c *waitCorrection) factor(now time.Time) float64 {
	c.excess *= math.Exp2(-now.Sub(c.decayedAt).Seconds() / correctionHalfLife.Seconds())
	c.decayedAt = now
	return 1 + c.excess
}

// observe adjusts the factor after an admitted request; late is true if it ended after its closeAt.
func (c *waitCorrection) observe(now time.Time, late bool) {
	factor := correctionDecrease
	if late {
		factor = correctionIncrease
	}
	c.excess = min(maxCorrection, max(1, c.factor(now)*factor)) - 1
}

// observeLateness adjusts the wait correction of a fan-out route by whether an admitted request ended after its closeAt.
func (g *Gateway) observeLateness(now time.Time, q *query) {
	if q.route.FansOut() {
		g.routeState(q.route.Name, now).waitCorrection.observe(now, now.After(q.closeAt.Add(lateTolerance)))
	}
}
