package cassiaquarantine

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Verdict is the decision whether an attempt may be sent to a target.
type Verdict int

// Values of Verdict.
const (
	// VerdictRun lets the attempt run as usual.
	VerdictRun Verdict = iota
	// VerdictAlone lets the attempt run, but only while no other attempt runs on its target.
	VerdictAlone
	// VerdictRefuseNow refuses this attempt; a later one may be admitted. The request is a suspect, and either another attempt of
	// it is running or, after the longest wait, the other owners may still not know of its last loss.
	VerdictRefuseNow
	// VerdictWait delays the attempt. Either no target is known to have answered the request and another attempt of it runs for
	// the same shard, or the request has lost a target and the other owners may not know of it yet.
	VerdictWait
	// VerdictQuarantined refuses the attempt because its request is quarantined.
	VerdictQuarantined
)

// String returns the name of the verdict as it appears in logs.
func (v Verdict) String() string {
	switch v {
	case VerdictRun:
		return "run"
	case VerdictAlone:
		return "alone"
	case VerdictRefuseNow:
		return "refuseNow"
	case VerdictWait:
		return "wait"
	case VerdictQuarantined:
		return "quarantined"
	}
	return "unknown"
}

// Admit decides whether an attempt of request f for a shard may run. The caller asks when the attempt arrives and again before it
// starts.
func (q *Quarantine) Admit(f cassiaid.Fingerprint, shard cassiaid.ShardIndex) Verdict {
	now := q.clock.Now()
	if q.Remaining(f) > 0 {
		return VerdictQuarantined
	}
	switch suspected := q.suspected(now, f, shard); {
	case suspected && q.unsharedRuns[f] > 0:
		return VerdictWait
	case suspected && q.BlocksOtherVMs(f, shard):
		return VerdictRefuseNow
	case suspected:
		return VerdictAlone
	case !q.answered.Has(now, Window, f) && q.Running(f, shard):
		return VerdictWait
	}
	return VerdictRun
}

// AdmitAfterWait is like Admit, but for an attempt that has waited for the longest time allowed: it never returns VerdictWait.
func (q *Quarantine) AdmitAfterWait(f cassiaid.Fingerprint, shard cassiaid.ShardIndex) Verdict {
	verdict := q.Admit(f, shard)
	switch {
	case verdict != VerdictWait:
		return verdict
	case q.suspected(q.clock.Now(), f, shard):
		return VerdictRefuseNow
	}
	return VerdictRun
}

// AdmitRun is like AdmitAfterWait, for both fingerprints of a run. It returns the stricter verdict.
func (q *Quarantine) AdmitRun(r Run) Verdict {
	verdict := VerdictRun
	for _, f := range r.Fingerprints() {
		switch v := q.AdmitAfterWait(f, r.Shard); {
		case v == VerdictQuarantined, v == VerdictRefuseNow && verdict != VerdictQuarantined, verdict == VerdictRun:
			verdict = v
		}
	}
	return verdict
}

// SuspectsContent reports whether a run has to run alone because of its content.
func (q *Quarantine) SuspectsContent(r Run) bool {
	return r.Content != 0 && q.suspected(q.clock.Now(), r.Content, r.Shard)
}

// Proven reports whether a target is known to have answered the request within Window.
func (q *Quarantine) Proven(f cassiaid.Fingerprint) bool {
	return q.answered.Has(q.clock.Now(), Window, f)
}

// SuspectRunsOn reports whether a suspect runs on a target. Suspects that run there together would be lost together, and
// neither could be blamed.
func (q *Quarantine) SuspectRunsOn(target cassiaid.TargetName) bool {
	for _, a := range q.attempts {
		if a.target == target && a.run.Alone && !a.lossRecorded {
			return true
		}
	}
	return false
}

// BlocksOtherVMs reports whether other VMs must not start request f for a shard: it is quarantined, it has lost a target of which
// the other owners may not know yet, or an attempt of it runs here. An attempt that does not run alone and is for another shard
// counts only while no target is known to have answered the request.
func (q *Quarantine) BlocksOtherVMs(f cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	if q.unsharedRuns[f] > 0 || q.Remaining(f) > 0 {
		return true
	}
	unanswered := !q.answered.Has(q.clock.Now(), Window, f)
	for _, a := range q.running[f] {
		if !a.lossRecorded && (unanswered || a.run.Alone || a.run.Shard == shard) {
			return true
		}
	}
	return false
}

// Undecided reports whether a request is a suspect for a shard: it has lost a target there and is neither quarantined nor cleared
// by an answer.
func (q *Quarantine) Undecided(f cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	s := q.suspects[f]
	return s != nil && q.Remaining(f) == 0 && len(s.ofShard(shard)) > 0
}

// Running reports whether an attempt of a request runs for a shard on a target that is not known to be lost.
func (q *Quarantine) Running(f cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	for _, a := range q.running[f] {
		if a.run.Shard == shard && !a.lossRecorded {
			return true
		}
	}
	return false
}

// suspected reports whether the part of request f for a shard might crash a target: this part lost a target within Window, or the
// request lost one on any shard and no target is known to have answered it within Window, or the request was quarantined recently
// and this part has not been answered within Window. Losses of a part of a content do not count while any caller's answer does.
func (q *Quarantine) suspected(now time.Time, f cassiaid.Fingerprint, shard cassiaid.ShardIndex) bool {
	if q.quarantinedRecently(now, f) && !q.answeredParts.Has(now, Window, requestPart{f, shard}) {
		return true
	}
	s := q.suspects[f]
	if s == nil {
		return false
	}
	q.expireLosses(now, f, s)
	if len(s.ofShard(shard)) > 0 && !(s.isContent() && q.answeredParts.Has(now, Window, requestPart{f, shard})) {
		return true
	}
	return len(s.losses) > 0 && !q.answered.Has(now, Window, f)
}

// NeedsCanary reports whether a front's policy requires a canary for a request: no target is known to have answered it within
// Window, and the policy is always, or a target was lost within Window, or the request was quarantined recently. A canary is the
// one shard of a request that is asked first; the other shards wait for its answer (see cassiaplan).
func (q *Quarantine) NeedsCanary(f cassiaid.Fingerprint, policy cassiaschema.Canary) bool {
	now := q.clock.Now()
	if policy == cassiaschema.Canary_never || q.answered.Has(now, Window, f) {
		return false
	}
	return policy == cassiaschema.Canary_always || q.lostTargetRecently(now) || q.quarantinedRecently(now, f)
}

// lostTargetRecently reports whether any target was lost within Window.
func (q *Quarantine) lostTargetRecently(now time.Time) bool {
	for _, l := range q.losses {
		if now.Sub(l.at) <= Window {
			return true
		}
	}
	return false
}
