package cassiabudget

import (
	"math"
	"time"
)

const (
	// plannedBoundShare is the share of a bound that is planned with. The rest is for the time in which members disagree on their places,
	// since one of them has just joined or left.
	plannedBoundShare = 0.9
	// plannedWindow is the window, in seconds, in which requests are sent that arrive within one second: some take up to 0.1 s longer on
	// their way than others.
	plannedWindow = 1.1
	// plannedBurst is the time for which a member saves up its part of an imposed rate, if it may hold more than one request ready.
	plannedBurst = 250 * time.Millisecond
)

// Plan is a rate that members impose on themselves for a target that does not name one. At most Senders of them have a part of it.
type Plan struct {
	Rate    Rate
	Senders int
}

// PlanWithin returns a plan of at most a rate in the long run, with which a target gets at most bound requests in any second from all
// members together.
//
// Each sender may hold one whole request ready, so in a window of w seconds n senders send at most n + w x rate requests. Half of the
// bound is the most that the rate may take, and what it leaves limits the senders: w x rate <= bound/2 and senders <= bound - w x rate.
// Fewer members than that may hold several ready, together as many as there may be senders.
// A target with a bound below 1 gets single requests from one sender, since it would never get any otherwise.
func PlanWithin(rate Rate, bound float64) Plan {
	bound = max(1, bound*plannedBoundShare)
	rate = min(rate, Rate(bound/2/plannedWindow))
	return Plan{Rate: rate, Senders: max(1, int(bound-plannedWindow*float64(rate)))}
}

// Impose makes a plan the limit. A new limit starts without tokens, as one that a target names. Since its target does not state it, no
// member sends beyond its part to learn what the target accepts.
func (l *RateLimit) Impose(now time.Time, place Place, p Plan) {
	l.refill(now, place)
	if !l.Limited(now) {
		l.tokens, l.filledAt = 0, now
	}
	l.limited, l.rate, l.senders, l.liftedAt = true, p.Rate, p.Senders, time.Time{}
}

// Lift ends an imposed limit; the rate that members use rises in steps from then on.
func (l *RateLimit) Lift(now time.Time) {
	if l.Limited(now) && l.liftedAt.IsZero() {
		l.senders, l.liftedAt, l.heardAt = 0, now, now
	}
}

// Ramp makes members start with a rate that rises in steps, as after the end of a limit of that rate. It has no effect while there is a
// limit.
func (l *RateLimit) Ramp(now time.Time, rate Rate) {
	if !l.Limited(now) {
		*l = RateLimit{limited: true, rate: rate, liftedAt: now, heardAt: now, filledAt: now}
	}
}

// sendersFor returns how many members may have a part of a rate.
func (l *RateLimit) sendersFor(rate Rate) int {
	if l.senders > 0 {
		return l.senders
	}
	return int(min(minSenders+rate, math.MaxInt32))
}

// burst returns how many requests a member in a place may hold ready that may use a rate.
func (l *RateLimit) burst(place Place, rate float64) float64 {
	if l.senders == 0 {
		return max(1, rate*rateBurst.Seconds())
	}
	// Members fewer than the senders of the plan divide what all of these may hold.
	perSender := float64(l.senders) / float64(min(max(1, place.Members), l.senders))
	return max(1, min(perSender, rate*plannedBurst.Seconds()))
}
