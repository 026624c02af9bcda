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
func (w *crashGuard) record(s *shard, r *cassiaschema.ShardResult) {
	switch {
	case r.GetTargetLost():
		w.canaryCrashed = w.canaryCrashed || s == w.canaryShard && !w.canaryAnswered && w.targetsLost > 0
		w.targetsLost++
		s.targetLost = true
	case r.GetOutcome() == cassiaschema.ShardOutcome_answered && s == w.canaryShard:
		w.canaryAnswered = true
	}
}

// deferRetry reports whether the retry of a shard must wait for the canary shard. If no canary shard is pending, the
// shard becomes it.
func (w *crashGuard) deferRetry(s *shard) bool {
	if !s.targetLost || w.canaryAnswered || w.canaryCrashed {
		return false
	}
	if w.canaryShard != nil && w.canaryShard != s && w.canaryShard.pending() {
		return true
	}
	w.canaryShard = s
	return false
}

// forbidsRetry reports whether a shard must not be retried because it lost a target and a canary retry lost another.
func (w *crashGuard) forbidsRetry(s *shard) bool { return s.targetLost && w.canaryCrashed }

// crashSuspected reports whether the query may be crashing targets, in which case no hedge should be sent.
func (w *crashGuard) crashSuspected() bool { return w.targetsLost > 0 && !w.canaryAnswered }
