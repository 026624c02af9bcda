package cassiagateway

import (
	"slices"
	"time"
)

const (
	// hedgeQuantile is the quantile of a route's attempt latency after which a hedge is sent.
	hedgeQuantile = 0.93
	// maxHedgeShare is the longest delay before a hedge, as a share of the route's desired latency. It is also the
	// delay until minSamples attempts of the route were measured.
	maxHedgeShare = 0.35
	// minHedgeDelay is the shortest delay before a hedge.
	minHedgeDelay = 8 * time.Millisecond
	// A hedge helps against a target that is slower than the others. While less than hedgeAnsweredShare of the shards of a fan-out are
	// answered, most of its attempts are late, so the way to the targets is slow or this VM is behind, and hedges would add to that. A
	// fan-out of less than minShardsToHold shards may be late by chance.
	hedgeAnsweredShare = 0.5
	minShardsToHold    = 8
)

// holdsHedges reports whether hedges have to wait since most attempts of the query are late.
func (q *query) holdsHedges() bool {
	asked := len(q.shards) - q.givenUp
	return asked >= minShardsToHold && float64(q.answered) < hedgeAnsweredShare*float64(asked)
}

// hedgeTime returns when a hedge for a shard should be sent, or the zero time if the route is not idempotent or the
// shard's attempts are used up.
func (g *Gateway) hedgeTime(now time.Time, s *shard) time.Time {
	r := s.query.route
	if !r.Idempotent || s.spentAttempts >= r.MaxAttempts {
		return time.Time{}
	}
	latency := &g.routeState(r.Name, now).latency
	wait := time.Duration(maxHedgeShare * float64(r.DesiredLatency))
	if latency.Samples() >= minSamples {
		// The upper bound matters because a hedge sent just before closeAt cannot be answered in time.
		wait = min(latency.Quantile(hedgeQuantile), wait)
	}
	return now.Add(max(wait, minHedgeDelay))
}

// sendHedges sends a hedge for each shard of a query whose hedge time has come.
func (g *Gateway) sendHedges(now time.Time, q *query) {
	if q.finished || q.holdsHedges() || !g.mayServe(q) {
		return
	}
	for _, s := range q.shards {
		if s.state != shardOpen || s.hedgeAt.IsZero() || now.Before(s.hedgeAt) {
			continue
		}
		s.hedgeAt = time.Time{}
		in := g.placementInput(now, s)
		for _, a := range s.running {
			if a.target.Zone != g.settings.Zone {
				in.unanswered = append(in.unanswered, a.target.Zone)
			}
		}
		t, found := s.service.pickTarget(in)
		if found != placed || slices.Contains(s.tried, t) || t.hasRate(now) {
			// What a limited target accepts is left to first attempts.
			continue
		}
		if !g.payForExtra(now, s, t) {
			g.countExtraRequest(q, ExtraDenied)
			continue
		}
		g.countExtraRequest(q, ExtraHedge)
		g.sendTo(now, s, t, in.typical)
	}
}
