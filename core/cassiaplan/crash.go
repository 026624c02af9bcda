package cassiaplan

import "cassiasaddle/core/cassiaschema"

// crashWatch limits the targets that one query can bring down: after a target was lost, one shard at a time is tried
// again until one of them is answered.
type crashWatch struct {
	// probe is the shard that is tried again to see whether the query brings targets down.
	probe *shard
	// cleared is true once a probe was answered.
	cleared bool
	// condemned is true once the target of a probe was lost, too.
	condemned bool
	// lost counts the attempts whose target was lost.
	lost int
}

// see takes the outcome of an attempt at a shard.
func (w *crashWatch) see(s *shard, r *cassiaschema.ShardResult) {
	switch {
	case r.GetTargetLost():
		w.condemned = w.condemned || s == w.probe && !w.cleared && w.lost > 0
		w.lost++
		s.targetLost = true
	case r.GetOutcome() == cassiaschema.ShardOutcome_answered && s == w.probe:
		w.cleared = true
	}
}

// holdsBack tells whether a shard has to wait for the probe, and makes it the probe when there is none.
func (w *crashWatch) holdsBack(s *shard) bool {
	if !s.targetLost || w.cleared || w.condemned {
		return false
	}
	if w.probe != nil && w.probe != s && w.probe.pending() {
		return true
	}
	w.probe = s
	return false
}

// condemns tells whether a shard must not be tried again.
func (w *crashWatch) condemns(s *shard) bool { return s.targetLost && w.condemned }

// suspects tells whether the query may bring targets down, so that no hedge should be sent.
func (w *crashWatch) suspects() bool { return w.lost > 0 && !w.cleared }
