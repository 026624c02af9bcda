package cassiagateway

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

const (
	// minSurge is how many times its usual load a team has to send before its requests are refused for the sake of the others.
	minSurge = 2
	// shortageCorrection is the wait correction from which on a route is short of room: a few admitted requests in a row came late.
	shortageCorrection = 1.2
)

// rankQuery sets the rank of a new query among those that wait for the same targets. The weight of a team is its quota, which is in
// proportion to what the team usually sends: one that sends many times as much waits behind the others, even while it is below its quota.
func (g *Gateway) rankQuery(q *query) {
	q.priority = q.route.Priority
	var name cassiaid.TeamName
	weight := 1.0
	if q.team != nil {
		name = q.team.Name
		if q.team.HasPriority {
			q.priority = q.team.Priority
		}
		if q.team.Quota.Limited() {
			weight = float64(q.team.Quota.Rate)
		}
	}
	if g.teams != nil {
		q.turn = g.turns.Take(name, weight)
	}
}

// mayServe reports whether attempts of a query may be sent. They may not if its caller's key was taken away since, or if this VM knows too
// little of the store to tell.
func (g *Gateway) mayServe(q *query) bool {
	if q.team == nil || q.route.Anonymous {
		return true
	}
	if !g.settings.Knowledge.Usable() {
		q.unauthorized = true
		return false
	}
	if g.teams != nil && q.keyCheckedBy != g.teams {
		if g.teams.Holder(q.key) == nil {
			q.unauthorized = true
			return false
		}
		q.keyCheckedBy = g.teams
	}
	q.unauthorized = false
	return true
}

// yields reports whether a query is refused so that the requests of other teams are answered in time: room is short on its route, which the
// wait correction tells, and its team sends many times its usual load. So many requests are let through as the team usually sends.
func (g *Gateway) yields(now time.Time, q *query, correction float64) bool {
	if q.team == nil || g.teams == nil {
		return false
	}
	g.surges.Observe(now, q.team.Name)
	surge := g.surges.Factor(now, q.team.Name)
	return surge >= minSurge && correction >= shortageCorrection && g.random.Float64() > 1/surge
}
