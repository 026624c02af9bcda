package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// handleOwnerSilent asks other owners for the shards that wait only for silent owners; the first answer is merged.
// These hedges take nothing from the budget, since a VM that has not even acknowledged a batch is unlikely to have
// passed it on to targets.
func (q *Query) handleOwnerSilent(owner cassiaid.VMName, now time.Time) {
	q.avoidedOwners[owner] = true
	if q.phase != phaseRunning || !q.idempotent() || q.crashGuard.crashSuspected() {
		return
	}
	var shards []shardCandidates
	for i := range q.shards {
		s := &q.shards[i]
		if !s.pending() || !s.bypassOwner(owner) {
			continue
		}
		if candidates, _ := q.candidates(s, unusable); len(candidates) > 0 {
			q.outbox.count(CountHedgeOwnerSilent)
			shards = append(shards, shardCandidates{shard: s, candidates: candidates})
		}
	}
	q.ask(shards, true, now)
}

// bypassOwner allows the targets of open attempts at an owner to be asked through another owner, once for each attempt.
// It reports whether the shard then waits for silent owners only.
func (s *shard) bypassOwner(owner cassiaid.VMName) bool {
	marked, othersOpen := false, false
	for _, a := range s.attempts {
		switch {
		case !a.open || a.ownerBypassed:
		case a.owner == owner:
			a.ownerFailed, a.ownerBypassed = true, true
			marked = true
		default:
			othersOpen = true
		}
	}
	return marked && !othersOpen
}
