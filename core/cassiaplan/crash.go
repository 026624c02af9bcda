package cassiaplan

import "cassiasaddle/core/cassiaschema"

// crashGuard limits how many targets one query can crash: after a target was lost, only one shard at a time is retried
// until one of them is answered.
type crashGuard struct {
	// canaryShard is the shard that is asked or retried alone to find out whether the query crashes targets.
	canaryShard *shard
	// canaryAnswered is true once the canary shard was answered.
	canaryAnswered bool
	// canaryCrashed is true once a retry on the canary shard has lost a target after an earlier loss.
	canaryCrashed bool
	// targetsLost counts the attempts whose target was lost.
	targetsLost int
}

// record updates the guard with the result of an attempt for a shard.
func (g *crashGuard) record(s *shard, r *cassiaschema.ShardResult) {
	switch {
	case r.GetTargetLost():
		g.canaryCrashed = g.canaryCrashed || s == g.canaryShard && !g.canaryAnswered && g.targetsLost > 0
		g.targetsLost++
		s.targetLost = true
	case r.GetOutcome() == cassiaschema.ShardOutcome_answered && s == g.canaryShard:
		g.canaryAnswered = true
	}
}

// deferRetry reports whether the retry of a shard must wait for the canary shard. If no canary shard is pending, the
// shard becomes it.
func (g *crashGuard) deferRetry(s *shard) bool {
	if !s.targetLost || g.canaryAnswered || g.canaryCrashed {
		return false
	}
	if g.canaryShard != nil && g.canaryShard != s && g.canaryShard.pending() {
		return true
	}
	g.canaryShard = s
	return false
}

// forbidsRetry reports whether a shard must not be retried because it lost a target and a canary retry lost another.
func (g *crashGuard) forbidsRetry(s *shard) bool { return s.targetLost && g.canaryCrashed }

// crashSuspected reports whether the query may be crashing targets, in which case no hedge should be sent.
func (g *crashGuard) crashSuspected() bool { return g.targetsLost > 0 && !g.canaryAnswered }
