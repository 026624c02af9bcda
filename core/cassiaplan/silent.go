package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// passOver asks other owners for the shards that wait for a silent one. It takes nothing from the budget, since a VM
// that does not even confirm a batch has hardly passed it on to targets; whichever answers first is merged.
func (q *Query) passOver(owner cassiaid.VMName, now time.Time) {
	q.avoided[owner] = true
	if q.phase != running || !q.idempotent() || q.crash.suspects() {
		return
	}
	var choices []choice
	for i := range q.shards {
		s := &q.shards[i]
		if !s.pending() || !s.passOver(owner) {
			continue
		}
		if options, _ := q.candidates(s, notUsable); len(options) > 0 {
			q.outbox.count(CountHedgeOwnerSilent)
			choices = append(choices, choice{shard: s, options: options})
		}
	}
	q.ask(choices, true, now)
}

// passOver lets the targets of open attempts at an owner be asked through another one, once for each attempt, and tells
// whether that leaves the shard waiting for nothing but silent owners.
func (s *shard) passOver(owner cassiaid.VMName) bool {
	marked, waits := false, false
	for _, a := range s.attempts {
		switch {
		case !a.open || a.passedOver:
		case a.owner == owner:
			a.ownerFailed, a.passedOver = true, true
			marked = true
		default:
			waits = true
		}
	}
	return marked && !waits
}
