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
		if !s.pending() || !s.waitsOnlyFor(owner) {
			continue
		}
		s.passOver(owner)
		if options, _ := q.candidates(s, notUsable); len(options) > 0 {
			q.outbox.count(CountHedgeOwnerSilent)
			choices = append(choices, choice{shard: s, options: options})
		}
	}
	q.ask(choices, true, now)
}

// waitsOnlyFor tells whether the shard's only attempt in flight is at an owner that was not passed over for it yet.
func (s *shard) waitsOnlyFor(owner cassiaid.VMName) bool {
	if s.inFlight() != 1 {
		return false
	}
	for _, a := range s.attempts {
		if a.open {
			return a.owner == owner && !a.passedOver
		}
	}
	return false
}

// passOver lets the targets of open attempts at an owner be asked through another one, once for each attempt.
func (s *shard) passOver(owner cassiaid.VMName) {
	for _, a := range s.attempts {
		if a.open && a.owner == owner {
			a.ownerFailed, a.passedOver = true, true
		}
	}
}
