package cassiaplan

import (
	"cmp"
	"slices"
	"time"
)

// maxInFlight bounds the attempts at one shard that run at the same time.
const maxInFlight = 2

// maxHedgeDenials bounds how often the budget is asked for a shard's hedge; the pauses between double.
const maxHedgeDenials = 5

// sendHedges asks a second replica of the shards that take longer than usual.
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

// hedgeCandidates returns where a hedge may be sent, also replicas that are out of use for their latency if they can still
// answer in time.
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

// takeHedge takes a hedge from its budget. One that is overdue may take it from the retry budget: the attempt in flight
// has all but failed, and would be retried had its target said so.
func (q *Query) takeHedge(s *shard, now time.Time) bool {
	if q.view.TakeHedge(q.request.Key) {
		return true
	}
	waited := now.Sub(s.firstOpen().sent)
	if waited < overdueFactor*q.view.HedgeAfter(q.request.Key) || !q.view.TakeRetry(q.request.Key) {
		return false
	}
	q.outbox.count(CountHedgeOverdue)
	return true
}

// mayHedge tells whether a second attempt may run beside the first one.
func (q *Query) mayHedge() bool {
	return q.idempotent() && q.view.HedgeAfter(q.request.Key) > 0 && !q.crashGuard.crashSuspected()
}

func (q *Query) hedgeDue(s *shard, now time.Time) bool {
	return q.mayHedgeShard(s) && !now.Before(s.hedgeAt)
}

// mayHedgeShard tells whether a shard may still get a hedge.
func (q *Query) mayHedgeShard(s *shard) bool {
	open := s.inFlight()
	return s.pending() && open > 0 && open < maxInFlight && s.hedgeDenials < maxHedgeDenials
}

// hedgeDelay returns how long to wait until one of the replicas is expected to answer before the attempt in flight does.
// That one needs the rest of what its target usually takes, and once it has taken longer, as long again as it has
// taken. A hedge beside it that needs more only takes the slots of a shard all of whose replicas are slow.
func (q *Query) hedgeDelay(s *shard, candidates []candidate, now time.Time) time.Duration {
	a := s.firstOpen()
	v := q.target(a.Target)
	v.Load = max(0, v.Load-1)
	waited := now.Sub(a.sent)
	quickest := slices.MinFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.latency, y.latency) }).latency
	if quickest <= max(expectedLatency(v)-waited, waited) {
		return 0
	}
	return quickest - waited
}
