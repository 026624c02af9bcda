package cassiagateway

import "time"

// admit decides on arrival whether a query can be served; if not, it returns the reason. Shards without a reachable
// target are given up. So are shards whose targets are so busy that they would answer after the query's closeAt, as
// long as the required coverage remains; if too many are that busy, the query is refused before it puts load on any
// target. A query of a route without fan-out is refused only if no target is reachable, or if it would wait too long for the rates
// that its targets accept.
//
// This limits the load when requests exceed the capacity of some shards. Without it every request would wait for the
// fullest shards, and all answers would be late.
func (g *Gateway) admit(now time.Time, q *query) (RefusalReason, bool) {
	var late []*shard
	correction := g.routeState(q.route.Name, now).waitCorrection.factor(now)
	if g.yields(now, q, correction) {
		q.overloaded = true
		return RefusalOverloaded, false
	}
	addLate := func(s *shard, wait time.Duration) {
		late = append(late, s)
		if wait > q.trace.LongestWait {
			q.trace.LongestWait, q.trace.LongestWaitService = wait, s.service.name
		}
	}
	for _, s := range q.shards {
		in := g.placementInput(now, s)
		in.ahead = s.service.waiting.ahead(s)
		best := s.service.earliest(in)
		switch {
		case best.target == nil:
			g.giveUp(s)
		case !q.route.FansOut():
			if best.sendIn > 0 && !g.mayWait(now, s, best) {
				q.limited = true
				return RefusalLimited, false
			}
		case best.sendIn > 0 && now.Add(best.wait).After(q.closeAt):
			q.limited = true
			addLate(s, best.wait)
		case in.ahead > 0 && now.Add(time.Duration(correction*float64(best.wait))).After(q.closeAt):
			addLate(s, best.wait)
		}
	}
	q.trace.Unreachable = q.givenUp
	if q.coverageImpossible() {
		return RefusalUnreachable, false
	}
	if !q.route.FansOut() {
		return "", true
	}
	spare := len(q.shards) - q.givenUp - q.required()
	q.trace.Late, q.trace.Spare = len(late), spare
	if len(late) > spare {
		q.overloaded = true
		if q.limited {
			return RefusalLimited, false
		}
		return RefusalOverloaded, false
	}
	for _, s := range late {
		g.giveUp(s)
	}
	q.trace.Skipped = len(late)
	return "", true
}
