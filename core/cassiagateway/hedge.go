package cassiagateway

import (
	"slices"
	"time"
)

const (
	// hedgeQuantile is the share of attempts that end before a second target is asked.
	hedgeQuantile = 0.93
	// initialHedgeShare is the part of the target latency after which a second target is asked before enough attempts of
	// the route were seen.
	initialHedgeShare = 0.35
	minHedgeDelay     = 8 * time.Millisecond
)

// hedgeTime returns when a second target of a shard should be asked, or the zero time.
func (g *Gateway) hedgeTime(now time.Time, s *shard) time.Time {
	r := s.query.route
	if !r.Idempotent || s.spentAttempts >= r.MaxAttempts {
		return time.Time{}
	}
	latency := &g.routeState(r.Name, now).latency
	wait := time.Duration(initialHedgeShare * float64(r.TargetLatency))
	if latency.Samples() >= minSamples {
		// A hedge that is sent too late for the answer's close helps nobody.
		wait = min(latency.Quantile(hedgeQuantile), wait)
	}
	return now.Add(max(wait, minHedgeDelay))
}

// sendHedges asks a second target of each shard whose first one is late.
func (g *Gateway) sendHedges(now time.Time, q *query) {
	if q.finished {
		return
	}
	for _, s := range q.shards {
		if s.state != shardOpen || s.hedgeAt.IsZero() || now.Before(s.hedgeAt) {
			continue
		}
		s.hedgeAt = time.Time{}
		in := g.placementInput(now, s)
		t, found := s.service.pickTarget(in)
		if found != placed || slices.Contains(s.tried, t) {
			continue
		}
		if !g.payForRepeat(now, s, t) {
			g.countRepeat(q, RepeatDenied)
			continue
		}
		g.countRepeat(q, RepeatHedge)
		g.sendTo(now, s, t, in.typical)
	}
}
