package cassiaplan

import "time"

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
		options, due := q.hedgeOptions(s, now)
		if len(options) == 0 {
			s.hedgeAt = due
			continue
		}
		if !q.view.TakeHedge(q.request.Key) {
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

// hedgeOptions returns where a hedge may be sent now, or when to look again. A replica that is out of use for its
// latency may get one once the shard has waited for as long as that replica takes, if it can still answer in time.
func (q *Query) hedgeOptions(s *shard, now time.Time) ([]candidate, time.Time) {
	options, _ := q.candidates(s, onlySlow)
	switch {
	case len(options) == 0 || q.view.Unreachable(options[0].owner):
		return nil, q.request.Deadline
	case options[0].fit < onlySlow:
		return options, q.request.Deadline
	}
	cost := options[0].cost
	due := s.attempts[len(s.attempts)-1].sent.Add(cost)
	switch {
	case now.Before(due):
		return nil, due
	case now.Add(cost).Before(q.request.Deadline):
		return options, due
	}
	return nil, q.request.Deadline
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
