package cassiaplan

import "cassiasaddle/core/cassiaschema"

// crashGuard limits the targets that one query can bring down: after a target was lost, one shard at a time is tried
// again until one of them is answered.
type crashGuard struct {
	// canaryShard is the shard that is tried again to see whether the query brings targets down.
	canaryShard *shard
	// canaryAnswered is true once a probe was answered.
	canaryAnswered bool
	// canaryCrashed is true once the target of a probe was lost, too.
	canaryCrashed bool
	// targetsLost counts the attempts whose target was lost.
	targetsLost int
}

// record takes the outcome of an attempt at a shard.
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

// deferRetry tells whether a shard has to wait for the probe, and makes it the probe when there is none.
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

// forbidsRetry tells whether a shard must not be tried again.
func (w *crashGuard) forbidsRetry(s *shard) bool { return s.targetLost && w.canaryCrashed }

// crashSuspected tells whether the query may bring targets down, so that no hedge should be sent.
func (w *crashGuard) crashSuspected() bool { return w.targetsLost > 0 && !w.canaryAnswered }
