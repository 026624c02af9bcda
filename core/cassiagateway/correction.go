package cassiagateway

import (
	"math"
	"time"
)

const (
	// correctionIncrease and cautionDown are what the caution of a route is multiplied by for each request that ends after its close, and for
	// each other one. It settles where about one request in twenty is late.
	correctionIncrease = 1.1
	correctionDecrease = 0.995
	// maxCorrection bounds it.
	maxCorrection = 4.0
	// correctionHalfLife is how soon half of it is gone, so that a route that admits nothing tries again.
	correctionHalfLife = 2 * time.Second
	// lateTolerance is how long after its close an answer still counts as in time, for timers that fire late.
	lateTolerance = 5 * time.Millisecond
)

// waitCorrection is how many times longer than estimated the wait for a target is taken to be when a request is admitted; the zero value is 1.
// A VM sees its own queue alone; how much the other VMs add to the targets' shows in requests that were admitted and came late.
type waitCorrection struct {
	excess    float64
	decayedAt time.Time
}

// factor returns the caution at a time.
func (c *waitCorrection) factor(now time.Time) float64 {
	c.excess *= math.Exp2(-now.Sub(c.decayedAt).Seconds() / correctionHalfLife.Seconds())
	c.decayedAt = now
	return 1 + c.excess
}

// observe takes whether a request that was admitted came late.
func (c *waitCorrection) observe(now time.Time, late bool) {
	factor := correctionDecrease
	if late {
		factor = correctionIncrease
	}
	c.excess = min(maxCorrection, max(1, c.factor(now)*factor)) - 1
}

// observeLateness learns whether a request that was admitted ended after its close.
func (g *Gateway) observeLateness(now time.Time, q *query) {
	if q.route.FansOut() {
		g.routeState(q.route.Name, now).waitCorrection.observe(now, now.After(q.closeAt.Add(lateTolerance)))
	}
}
