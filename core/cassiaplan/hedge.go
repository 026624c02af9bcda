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

// hedge asks a second replica of the shards that take longer than usual.
func (q *Query) hedge(now time.Time) {
	if !q.mayHedge() {
		return
	}
	var choices []choice
	for i := range q.shards {
		s := &q.shards[i]
		if !q.hedgeDue(s, now) {
			continue
		}
		options := q.hedgeOptions(s, now)
		if len(options) == 0 {
			s.hedgeAt = q.request.Deadline
			continue
		}
		if later := q.hedgeLater(s, options, now); later > 0 {
			q.outbox.count(CountHedgeNoSooner)
			s.hedgeAt = now.Add(later)
			continue
		}
		if !q.payHedge(s, now) {
			q.outbox.count(CountHedgeDenied)
			s.hedgeDenials++
			s.hedgeAt = now.Add(q.view.HedgeAfter(q.request.Key) << s.hedgeDenials)
			continue
		}
		q.outbox.count(CountHedge)
		choices = append(choices, choice{shard: s, options: options})
	}
	q.ask(choices, true, now)
}

// hedgeOptions returns where a hedge may be sent, also replicas that are out of use for their latency if they can still
// answer in time.
func (q *Query) hedgeOptions(s *shard, now time.Time) []candidate {
	options, _ := q.candidates(s, onlySlow)
	if len(options) == 0 || q.view.Unreachable(options[0].owner) {
		return nil
	}
	if options[0].fit == onlySlow && !now.Add(options[0].cost).Before(q.request.Deadline) {
		return nil
	}
	return options
}

// payHedge takes a hedge from its budget. One that is overdue may take it from the retry budget: the attempt in flight
// has all but failed, and would be retried had its target said so.
func (q *Query) payHedge(s *shard, now time.Time) bool {
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
	return q.idempotent() && q.view.HedgeAfter(q.request.Key) > 0 && !q.crash.suspects()
}

func (q *Query) hedgeDue(s *shard, now time.Time) bool {
	return q.hedgeOpen(s) && !now.Before(s.hedgeAt)
}

// hedgeOpen tells whether a shard may still get a hedge.
func (q *Query) hedgeOpen(s *shard) bool {
	open := s.inFlight()
	return s.pending() && open > 0 && open < maxInFlight && s.hedgeDenials < maxHedgeDenials
}

// hedgeLater returns how long to wait until one of the replicas is expected to answer before the attempt in flight does.
// That one needs the rest of what its target usually takes, and once it has taken longer, as long again as it has
// taken. A hedge beside it that needs more only takes the slots of a shard all of whose replicas are slow.
func (q *Query) hedgeLater(s *shard, options []candidate, now time.Time) time.Duration {
	a := s.firstOpen()
	v := q.target(a.Target)
	v.Load = max(0, v.Load-1)
	waited := now.Sub(a.sent)
	quickest := slices.MinFunc(options, func(x, y candidate) int { return cmp.Compare(x.cost, y.cost) }).cost
	if quickest <= max(cost(v)-waited, waited) {
		return 0
	}
	return quickest - waited
}
