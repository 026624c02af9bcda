package cassiagateway

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiarendezvous"
)

const (
	// minReportedChange is the smallest change of a rate that is reported, as a share of the rate reported before.
	minReportedChange = 0.1
	// maxLimitedRetryAfter is the longest Retry-After of a query that was refused because of the rate that its targets accept.
	// Callers wait for no longer.
	maxLimitedRetryAfter = 10 * time.Second
	// maxReturnSpread is the period over which refused callers are spread from the time on at which one of them can be served. If
	// it were longer, callers that come back too early would keep the others away.
	maxReturnSpread = 2 * time.Second
)

// rank is this VM's rank among the VMs for one target. It holds for the list of VMs with that number, while so many VMs are counted.
type rank struct{ fleetNumber, members, position int }

// observeAcceptance applies what an answer of a target states about the rate of requests that the target accepts.
func (g *Gateway) observeAcceptance(now time.Time, t *target, a cassiabudget.Acceptance) {
	var place cassiabudget.Place
	if a.State == cassiabudget.AcceptanceLimited {
		place = g.place(now, t)
	}
	t.limit.Observe(now, place, a)
	if t.limit.Limited(now) {
		g.watch(t)
	}
	g.reportAcceptance(t, a)
	if a.State == cassiabudget.AcceptanceLimited {
		g.dropRestricted(now, t.service)
	}
}

// reportAcceptance reports changes of what a target states about the rate of requests that it accepts.
func (g *Gateway) reportAcceptance(t *target, a cassiabudget.Acceptance) {
	before := t.reportedAcceptance
	event := EventLimited
	switch {
	case a.State == cassiabudget.AcceptanceUnknown,
		a.State == before.State && math.Abs(float64(a.Rate-before.Rate)) <= minReportedChange*float64(before.Rate):
		return
	case a.State == cassiabudget.AcceptanceMalformed:
		event = EventMalformedLimit
	case a.State == cassiabudget.AcceptanceUnlimited:
		event = EventUnlimited
	}
	t.reportedAcceptance = a
	if a.State != cassiabudget.AcceptanceUnlimited || before.State != cassiabudget.AcceptanceUnknown {
		g.emit(ViewChanged{Event: event, Target: t.Name, Zone: t.Zone, Rate: a.Rate})
	}
}

// place returns this VM's place among the VMs that send to a target. Their order is one of rendezvous hashing, so that each VM
// agrees on it and targets with low rates get their requests from different VMs.
func (g *Gateway) place(now time.Time, t *target) cassiabudget.Place {
	members := g.vmCount(now)
	if t.rank.fleetNumber != g.fleetNumber || t.rank.members != members {
		t.rank = rank{fleetNumber: g.fleetNumber, members: members}
		own := rendezvousScore(t.Name, g.settings.Name)
		for _, vm := range g.share.Counted(now) {
			if vm != g.settings.Name && rendezvousScore(t.Name, vm) > own {
				t.rank.position++
			}
		}
	}
	place := g.share.Place(now, t.rank.position)
	if !g.fleetKnown {
		place.Members = members
	}
	return place
}

func rendezvousScore(t cassiaid.TargetName, vm cassiaid.VMName) float64 {
	return cassiarendezvous.Score(xxhash.Sum64String(string(t)+" "+string(vm)), 1)
}

// limitWait returns how long a request has to wait because of a target's pause and the rate that it accepts, if a number of others
// are sent to it before.
func (g *Gateway) limitWait(now time.Time, t *target, ahead int) time.Duration {
	wait := t.pause(now)
	for _, l := range []*cassiabudget.RateLimit{&t.limit, &t.cold.imposed} {
		if l.Limited(now) {
			wait = max(wait, l.Wait(now, g.place(now, t), ahead))
		}
	}
	return wait
}

// hasRestrictedTarget reports whether a target of the service has a limit or a pause.
func (s *service) hasRestrictedTarget(now time.Time) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.restricted(now) })
}

// nextLimitedAt returns when the next waiting shard can be sent because a target accepts another request or its pause ends, or the
// zero time if none waits for that.
func (g *Gateway) nextLimitedAt(now time.Time) time.Time {
	var next time.Time
	for _, t := range g.watched {
		if !t.usable() || !t.restricted(now) || t.service.waiting.head() == nil {
			continue
		}
		if at := now.Add(g.limitWait(now, t, 0)); at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// serveRestricted sends the waiting shards of services with a target that has a limit or has ended a pause, as far as the targets
// accept them now.
func (g *Gateway) serveRestricted(now time.Time) {
	for _, t := range g.watched {
		if (t.hasRate(now) || t.pauseEnded(now)) && t.service.waiting.head() != nil {
			g.serveWaiting(now, t.service)
		}
	}
}

// dropRestricted gives up the waiting shards of a service that can't be sent in time, because of what its targets have stated.
func (g *Gateway) dropRestricted(now time.Time, service *service) {
	if !service.hasRestrictedTarget(now) {
		return
	}
	ahead := 0
	for _, s := range slices.Clone(service.waiting.shards) {
		if !s.isWaiting() {
			continue
		}
		in := g.placementInput(now, s)
		in.ahead = ahead
		if best := service.earliest(in); best.sendIn == 0 || s.waitsLong(now, best) {
			ahead++
			continue
		}
		s.query.limited = true
		s.state = shardOpen
		g.giveUp(s)
		g.advance(now, s.query)
	}
}

// limitedRetryAfter returns when a refused query can be sent: when each shard that it lacks accepts one more request than those that
// wait already, and those that were refused before it.
func (g *Gateway) limitedRetryAfter(now time.Time, q *query) time.Duration {
	at := now.Add(minRetryAfter)
	for _, s := range q.shards {
		if s.state == shardAnswered || !s.service.hasRestrictedTarget(now) {
			continue
		}
		if returnAt := g.reserveReturn(now, s); returnAt.After(at) {
			at = returnAt
		}
	}
	return min(at.Sub(now), maxLimitedRetryAfter)
}

// reserveReturn returns when a service accepts the shard of a refused query, and leaves that place to it.
func (g *Gateway) reserveReturn(now time.Time, s *shard) time.Time {
	in := g.placementInput(now, s)
	in.ahead = len(s.service.waiting.shards)
	best := s.service.earliest(in)
	var own, total cassiabudget.Rate
	for _, t := range s.service.targets {
		switch {
		case !t.usable() || !t.restricted(now) || !in.allowed.allows(t.Zone):
		case t.hasRate(now):
			ownRate, totalRate := g.rates(now, t)
			own, total = own+ownRate, total+totalRate
		default:
			// After its pause it runs one attempt of this VM at a time.
			own += cassiabudget.Rate(1 / max(in.typical, time.Millisecond).Seconds())
		}
	}
	sendIn := best.sendIn
	if own == 0 {
		// Callers come back to any VM, so what all of them may send counts.
		own = total
		sendIn = min(sendIn, intervalOf(own))
	}
	returnAt := now.Add(sendIn)
	if s.service.nextReturn.After(returnAt) {
		returnAt = s.service.nextReturn
	}
	s.service.nextReturn = minTime(returnAt.Add(intervalOf(own)), now.Add(sendIn+maxReturnSpread))
	return returnAt
}

// intervalOf returns the time between two requests at a rate, at most maxLimitedRetryAfter.
func intervalOf(rate cassiabudget.Rate) time.Duration {
	if rate <= 0 {
		return maxLimitedRetryAfter
	}
	return time.Duration(min(float64(time.Second)/float64(rate), float64(maxLimitedRetryAfter)))
}
