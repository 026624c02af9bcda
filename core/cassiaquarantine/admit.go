package cassiaquarantine

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Verdict tells whether an attempt may go to a target.
type Verdict int

// Verdicts on an attempt.
const (
	// VerdictRun lets the attempt run as usual.
	VerdictRun Verdict = iota
	// VerdictAlone lets the attempt run while nothing else runs on its target.
	VerdictAlone
	// VerdictHold refuses the attempt for the moment, since another one of the same suspect runs.
	VerdictHold
	// VerdictWait lets the attempt wait for a moment: nobody is known to have answered its request and another attempt of
	// it runs for the same shard, or the other owners do not know yet of a target that it lost.
	VerdictWait
	// VerdictRefuse refuses the attempt because its request is quarantined.
	VerdictRefuse
)

// Admit decides on an attempt; it is asked when the attempt comes and again before it starts.
func (q *Quarantine) Admit(f cassiaid.Fingerprint, shard cassiaid.ShardIndex) Verdict {
	now := q.clock.Now()
	if q.Remaining(f) > 0 {
		return VerdictRefuse
	}
	switch suspected := q.suspected(now, f, shard); {
	case suspected && q.unsharedRuns[f] > 0:
		return VerdictWait
	case suspected && q.Retrying(f, shard):
		return VerdictHold
	case suspected:
		return VerdictAlone
	case !q.answered.Has(now, Window, f) && q.Running(f, shard):
		return VerdictWait
	}
	return VerdictRun
}

// AdmitLate decides on an attempt that has waited for as long as it may.
func (q *Quarantine) AdmitLate(f cassiaid.Fingerprint, shard cassiaid.ShardIndex) Verdict {
	verdict := q.Admit(f, shard)
	switch {
	case verdict != VerdictWait:
		return verdict
	case q.suspected(q.clock.Now(), f, shard):
		return VerdictHold
	}
	return VerdictRun
}

// Retrying tells whether a suspect must not start elsewhere for a shard: it is quarantined, it has lost a target of which
// not all owners know, or it runs here alone, for the same shard, or at all when nobody has answered it.
func (q *Quarantine) Retrying(f cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	if q.unsharedRuns[f] > 0 || q.Remaining(f) > 0 {
		return true
	}
	unanswered := !q.answered.Has(q.clock.Now(), Window, f)
	for _, a := range q.attempts {
		if a.run.Fingerprint == f && !a.lossRecorded && (unanswered || a.run.Alone || a.run.Shard == shard) {
			return true
		}
	}
	return false
}

// Undecided tells whether a request is suspected but neither quarantined nor cleared for a shard.
func (q *Quarantine) Undecided(f cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	s := q.suspects[f]
	return s != nil && q.Remaining(f) == 0 && len(s.ofShard(shard)) > 0
}

// Running tells whether an attempt of a request runs for a shard on a target that is not known to be lost.
func (q *Quarantine) Running(f cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	for _, a := range q.attempts {
		if a.run.Fingerprint == f && a.run.Shard == shard && !a.lossRecorded {
			return true
		}
	}
	return false
}

// suspected tells whether a run of the request's part might lose a target: the part was lost before, or the request
// was lost on any shard and has been answered by none, or it was quarantined lately.
func (q *Quarantine) suspected(now time.Time, f cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	if q.quarantinedRecently(now, f) && !q.answeredParts.Has(now, Window, requestPart{f, shard}) {
		return true
	}
	s := q.suspects[f]
	if s == nil {
		return false
	}
	q.expireLosses(now, f, s)
	if len(s.ofShard(shard)) > 0 {
		return true
	}
	return len(s.losses) > 0 && !q.answered.Has(now, Window, f)
}

// Unproven tells whether a front's policy wants care with a request because nobody is known to have answered it.
func (q *Quarantine) Unproven(f cassiaid.Fingerprint, policy cassiaschema.Canary) bool {
	now := q.clock.Now()
	if policy == cassiaschema.Canary_never || q.answered.Has(now, Window, f) {
		return false
	}
	return policy == cassiaschema.Canary_always || q.lostTargetRecently(now) || q.quarantinedRecently(now, f)
}

// losing tells whether a target was lost within the window.
func (q *Quarantine) lostTargetRecently(now time.Time) bool {
	for _, l := range q.losses {
		if now.Sub(l.at) <= Window {
			return true
		}
	}
	return false
}
