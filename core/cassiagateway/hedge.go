package cassiagateway

import (
	"slices"
	"time"
)

const (
	// hedgeQuantile is the share of attempts that end before a second target is asked.
	hedgeQuantile = 0.93
	// unknownHedgeShare is the part of the target latency after which a second target is asked before enough attempts of
	// the route were seen.
	unknownHedgeShare = 0.35
	minHedge          = 8 * time.Millisecond
)

// hedgeTime returns when a second target of a shard should be asked, or the zero time.
func (g *Gateway) hedgeTime(now time.Time, s *shard) time.Time {
	r := s.query.route
	if !r.Idempotent || s.reached >= r.MaxAttempts {
		return time.Time{}
	}
	latency := &g.route(r.Name, now).latency
	wait := time.Duration(unknownHedgeShare * float64(r.TargetLatency))
	if latency.Samples() >= minSamples {
		// A hedge that is sent too late for the answer's close helps nobody.
		wait = min(latency.Quantile(hedgeQuantile), wait)
	}
	return now.Add(max(wait, minHedge))
}

// hedgeDue asks a second target of each shard whose first one is late.
func (g *Gateway) hedgeDue(now time.Time, q *query) {
	if q.finished {
		return
	}
	for _, s := range q.shards {
		if s.state != shardOpen || s.hedgeAt.IsZero() || now.Before(s.hedgeAt) {
			continue
		}
		s.hedgeAt = time.Time{}
		w := g.wish(now, s)
		t, found := s.service.place(w)
		if found != placed || slices.Contains(s.tried, t) {
			continue
		}
		if !g.pay(now, s, t) {
			g.repeated(q, RepeatDenied)
			continue
		}
		g.repeated(q, RepeatHedge)
		g.sendTo(now, s, t, w.usual)
	}
}
