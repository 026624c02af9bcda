package cassiaplan

import (
	"cmp"
	"slices"
	"time"
)

// maxInFlight is the maximum number of concurrent attempts for one shard.
const maxInFlight = 2

// maxHedgeDenials is the number of budget denials after which a shard gets no hedge; the delay before the
// next try doubles with each denial.
const maxHedgeDenials = 5

// sendHedges asks a second replica for each shard that takes longer than usual.
func (q *Query) sendHedges(now time.Time) {
	if !q.mayHedge() {
		return
	}
	var shards []shardCandidates
	for i := range q.shards {
		s := &q.shards[i]
		if !q.hedgeDue(s, now) {
			continue
		}
		candidates := q.hedgeCandidates(s, now)
		if len(candidates) == 0 {
			s.hedgeAt = q.request.Deadline
			continue
		}
		if later := q.hedgeDelay(s, candidates, now); later > 0 {
			q.outbox.count(CountHedgeNoSooner)
			s.hedgeAt = now.Add(later)
			continue
		}
		if !q.takeHedge(s, now) {
			q.outbox.count(CountHedgeDenied)
			s.hedgeDenials++
			s.hedgeAt = now.Add(q.view.HedgeAfter(q.request.Key) << s.hedgeDenials)
			continue
		}
		q.outbox.count(CountHedge)
		shards = append(shards, shardCandidates{shard: s, candidates: candidates})
	}
	q.ask(shards, true, now)
}

// hedgeCandidates returns the replicas that a hedge may go to. This includes replicas ejected for their latency if they
// can still answer before the deadline.
func (q *Query) hedgeCandidates(s *shard, now time.Time) []candidate {
	candidates, _ := q.candidates(s, ejectedForLatency)
	if len(candidates) == 0 || q.view.Unreachable(candidates[0].owner) {
		return nil
	}
	if candidates[0].fitness == ejectedForLatency && !now.Add(candidates[0].latency).Before(q.request.Deadline) {
		return nil
	}
	return candidates
}

// takeHedge takes a hedge from the hedge budget. If that is empty, a shard whose first open attempt has been in flight
// for at least overdueFactor times the hedge delay may use the retry budget, since that attempt has practically failed
// and would be retried if the target had reported the failure.
func (q *Query) takeHedge(s *shard, now time.Time) bool {
	if q.view.TakeHedge(q.request.Key) {
		return true
	}
	waited := now.Sub(s.firstOpen().sentAt)
	if waited < overdueFactor*q.view.HedgeAfter(q.request.Key) || !q.view.TakeRetry(q.request.Key) {
		return false
	}
	q.outbox.count(CountHedgeOverdue)
	return true
}

// mayHedge reports whether the query may send hedges at all.
func (q *Query) mayHedge() bool {
	return q.idempotent() && q.view.HedgeAfter(q.request.Key) > 0 && !q.crashGuard.crashSuspected()
}

// hedgeDue reports whether it is time to hedge a shard.
func (q *Query) hedgeDue(s *shard, now time.Time) bool {
	return q.mayHedgeShard(s) && !now.Before(s.hedgeAt)
}

// mayHedgeShard reports whether a shard may still get a hedge.
func (q *Query) mayHedgeShard(s *shard) bool {
	open := s.inFlight()
	return s.pending() && open > 0 && open < maxInFlight && s.hedgeDenials < maxHedgeDenials
}

// hedgeDelay returns how long to wait before a hedge would be expected to answer sooner than the attempt in flight; 0
// means that it would already. The attempt in flight is expected to need the rest of its target's expected latency and,
// once it is past that, as long again as it has already taken. A slower hedge would only occupy slots of a shard whose
// replicas are all slow.
func (q *Query) hedgeDelay(s *shard, candidates []candidate, now time.Time) time.Duration {
	a := s.firstOpen()
	v := q.target(a.Target)
	v.InFlight = max(0, v.InFlight-1)
	waited := now.Sub(a.sentAt)
	shortestLatency := slices.MinFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.latency, y.latency) }).latency
	if shortestLatency <= max(expectedLatency(v)-waited, waited) {
		return 0
	}
	return shortestLatency - waited
}
