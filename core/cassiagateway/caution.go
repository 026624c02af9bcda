package cassiagateway

import (
	"math"
	"time"
)

const (
	// cautionUp and cautionDown are what the caution of a route is multiplied by for each request that ends after its close, and for
	// each other one. It settles where about one request in twenty is late.
	cautionUp   = 1.1
	cautionDown = 0.995
	// maxCaution bounds it.
	maxCaution = 4.0
	// cautionHalfLife is how soon half of it is gone, so that a route that admits nothing tries again.
	cautionHalfLife = 2 * time.Second
	// lateSlack is how long after its close an answer still counts as in time, for timers that fire late.
	lateSlack = 5 * time.Millisecond
)

// caution is how many times longer than estimated the wait for a target is taken to be when a request is admitted; the zero value is 1.
// A VM sees its own queue alone; how much the other VMs add to the targets' shows in requests that were admitted and came late.
type caution struct {
	excess  float64
	learned time.Time
}

// factor returns the caution at a time.
func (c *caution) factor(now time.Time) float64 {
	c.excess *= math.Exp2(-now.Sub(c.learned).Seconds() / cautionHalfLife.Seconds())
	c.learned = now
	return 1 + c.excess
}

// learn takes whether a request that was admitted came late.
func (c *caution) learn(now time.Time, late bool) {
	factor := cautionDown
	if late {
		factor = cautionUp
	}
	c.excess = min(maxCaution, max(1, c.factor(now)*factor)) - 1
}

// learnLateness learns whether a request that was admitted ended after its close.
func (g *Gateway) learnLateness(now time.Time, q *query) {
	if q.route.FansOut() {
		g.route(q.route.Name, now).caution.learn(now, now.After(q.closeAt.Add(lateSlack)))
	}
}
