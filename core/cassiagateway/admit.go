package cassiagateway

import "time"

// admit decides at a request's arrival whether it can be served. Shards without a reachable target are given up. Shards
// whose targets are so busy that they would answer after the close are given up, too, as far as the answer can do without
// them; with more of them than that, the request is refused before it costs the targets anything.
//
// It answers a load of more requests than the targets of some shards can do: without it, each request would wait for the
// fullest shards, and all would be late.
func (g *Gateway) admit(now time.Time, q *query) (RefusalReason, bool) {
	var late []*shard
	correction := g.routeState(q.route.Name, now).waitCorrection.factor(now)
	for _, s := range q.shards {
		in := g.placementInput(now, s)
		in.ahead = s.service.waiting.ahead(q.route.Priority)
		best, wait, _ := s.service.earliest(in)
		switch {
		case best == nil:
			g.giveUp(s)
		case in.ahead > 0 && now.Add(time.Duration(correction*float64(wait))).After(q.closeAt):
			late = append(late, s)
		}
	}
	if q.coverageImpossible() {
		return RefusalUnreachable, false
	}
	if !q.route.FansOut() {
		return "", true
	}
	spare := len(q.shards) - q.givenUp - q.required()
	if len(late) > spare {
		q.overloaded = true
		return RefusalOverloaded, false
	}
	for _, s := range late {
		g.giveUp(s)
	}
	q.trace.Skipped = len(late)
	return "", true
}
