package cassiabudget

import (
	"math"
	"math/bits"
	"time"
)

const (
	// minSenders is the number of members that may send to a target even if it accepts next to nothing. Each member may hold one
	// whole request ready, so there is one more of them for each request per second only.
	minSenders = 2
	// rateBurst is the time for which a member saves up its part of a rate.
	rateBurst = time.Second
	// uncountedShare is the share of its part that a member uses while the others may not count it.
	uncountedShare = 0.5
	// turnInterval is how long each member in turn may send one request beyond its part to a target that it has not heard from for
	// as long, to learn what the target accepts now.
	turnInterval = 4 * time.Second
	// After a target has lifted its limit, the rate that a member uses doubles in each rampInterval for rampTime, so that not all
	// members send to the target at once.
	rampInterval = 500 * time.Millisecond
	rampTime     = 3 * time.Second
	minRampRate  = Rate(1)
	// wholeRequest is the number of tokens that a request needs; it is less than 1 by more than the rounding errors of a refill.
	wholeRequest = 1 - 1e-6
	// noWait is a time longer than any member waits.
	noWait = time.Duration(math.MaxInt64 / 4)
)

// Place is the place of one member among those that send to a target.
type Place struct {
	// Members is the number of members that may be running; at least 1 is assumed.
	Members int
	// Rank is the position of the member in an order of all members that they agree on, from 0. It should differ between targets.
	Rank int
	// Uncounted is true while the other members may not count this one.
	Uncounted bool
}

// fraction returns the fraction of a rate that a member in this place may use. If there are more members than may send, some have none.
func (p Place) fraction(maxSenders int) float64 {
	senders := min(max(1, p.Members), maxSenders)
	switch {
	case p.Rank >= senders:
		return 0
	case p.Uncounted:
		return uncountedShare / float64(senders)
	}
	return 1 / float64(senders)
}

// RateLimit decides when one of several members may send a request to a target that names the rate of requests that it accepts from
// all of them together, or for which they impose a rate on themselves. The members do not coordinate: each uses the part that belongs to its Place. The zero value is without a
// limit. A RateLimit is not safe for concurrent use.
type RateLimit struct {
	limited bool
	rate    Rate
	// senders is the most members with a part of an imposed rate; 0 if the target named the rate.
	senders int
	// liftedAt is when the target named no rate any more; zero while it names one.
	liftedAt time.Time
	// heardAt is when the target last stated what it accepts, usedTurn the last turn in which this member sent a request beyond
	// its part.
	heardAt  time.Time
	usedTurn int64
	tokens   float64
	filledAt time.Time
}

// Observe records what an answer of the target states; place is needed only if it states a limit. A new limit starts without
// tokens, since the member may have sent many requests before it heard of the limit.
func (l *RateLimit) Observe(now time.Time, place Place, a Acceptance) {
	switch a.State {
	case AcceptanceLimited:
		l.refill(now, place)
		if !l.Limited(now) {
			l.tokens, l.filledAt = 0, now
		}
		l.limited, l.rate, l.liftedAt, l.heardAt = true, a.Rate, time.Time{}, now
	case AcceptanceUnlimited:
		if l.Limited(now) && l.liftedAt.IsZero() {
			l.liftedAt = now
		}
		l.heardAt = now
	}
}

// Limited reports whether the target's limit is in force or was lifted less than rampTime ago.
func (l *RateLimit) Limited(now time.Time) bool {
	return l.limited && (l.liftedAt.IsZero() || now.Sub(l.liftedAt) < rampTime)
}

// Rate returns the rate that this member may use now; it has no meaning unless Limited.
func (l *RateLimit) Rate(now time.Time, place Place) Rate {
	rate := l.TotalRate(now)
	return rate * Rate(place.fraction(l.sendersFor(rate)))
}

// TotalRate returns the rate that all members together may use now; it has no meaning unless Limited.
func (l *RateLimit) TotalRate(now time.Time) Rate {
	if l.liftedAt.IsZero() {
		return l.rate
	}
	return max(l.rate, minRampRate) * Rate(math.Exp2(now.Sub(l.liftedAt).Seconds()/rampInterval.Seconds()))
}

// Wait returns how long a request has to wait if a number of others are sent before it; 0 means that it may be sent now.
func (l *RateLimit) Wait(now time.Time, place Place, ahead int) time.Duration {
	if !l.Limited(now) {
		return 0
	}
	l.refill(now, place)
	missing := wholeRequest + float64(ahead) - l.tokens
	if missing <= 0 {
		return 0
	}
	wait := noWait
	if rate := l.Rate(now, place); rate > 0 {
		wait = time.Duration(min(missing/float64(rate)*float64(time.Second), float64(noWait)))
	}
	if ahead == 0 {
		wait = min(wait, l.untilTurn(now, place))
	}
	return wait
}

// Take records that a request is sent, for which Wait has returned 0. It returns true if Return has to follow should the request not
// reach the target.
func (l *RateLimit) Take(now time.Time, place Place) bool {
	if !l.Limited(now) {
		return false
	}
	l.refill(now, place)
	if l.tokens < wholeRequest && l.untilTurn(now, place) == 0 {
		l.usedTurn = turnAt(now)
		return false
	}
	l.tokens--
	return true
}

// Return takes back a Take that returned true.
func (l *RateLimit) Return() { l.tokens++ }

// refill adds the tokens for the time since the last call.
func (l *RateLimit) refill(now time.Time, place Place) {
	if !l.Limited(now) {
		return
	}
	rate := float64(l.Rate(now, place))
	if now.After(l.filledAt) {
		l.tokens += rate * now.Sub(l.filledAt).Seconds()
	}
	l.tokens = min(l.tokens, l.burst(place, rate))
	l.filledAt = now
}

// turnAt returns the number of the turn at a time.
func turnAt(now time.Time) int64 { return now.UnixNano() / int64(turnInterval) }

// untilTurn returns how long it takes until this member may send a request beyond its part, or noWait while it knows well enough what
// the target accepts.
func (l *RateLimit) untilTurn(now time.Time, place Place) time.Duration {
	if l.senders > 0 || now.Sub(l.heardAt) < turnInterval {
		return noWait
	}
	// A power of two changes seldom when members join, so that few members have the same turn by different counts.
	cycle := int64(1) << bits.Len(uint(max(1, place.Members)-1))
	turn := turnAt(now)
	turns := (int64(place.Rank)%cycle - turn%cycle + cycle) % cycle
	if turns == 0 && l.usedTurn == turn {
		turns = cycle
	}
	if turns == 0 {
		return 0
	}
	return time.Unix(0, (turn+turns)*int64(turnInterval)).Sub(now)
}
