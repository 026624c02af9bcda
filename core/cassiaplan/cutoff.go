package cassiaplan

import (
	"fmt"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Times for which a query waits, from its first attempt on, for owners that are known to be unreachable.
const (
	// cutOffGrace covers the resend of a lost packet.
	cutOffGrace = 50 * time.Millisecond
	// cutOffGraceHedgeFactor is how many times the hedge delay the grace is at least.
	cutOffGraceHedgeFactor = 2
	// preferCoverageGrace is added for fronts that prefer coverage.
	preferCoverageGrace = 100 * time.Millisecond
)

// refuseCutOff refuses a query at its start when too few of its shards have an owner within reach. A probe is let
// through now and then, which may not be one that must not run twice.
func (q *Query) refuseCutOff() {
	if !q.view.AnyUnreachable() {
		return
	}
	unreachable := 0
	for i := range q.shards {
		if q.cutOff(&q.shards[i]) {
			unreachable++
		}
	}
	if len(q.shards)-unreachable >= q.neededShards() || q.idempotent() && q.view.TakeProbe(q.request.Key) {
		return
	}
	q.outbox.count(CountCutOffAtStart)
	q.refuse(Refusal{Kind: RefusalNotRun, Ran: RanNo, RetryAfter: retryAfter,
		Message: fmt.Sprintf("no owner of %d of %d shards can be reached and the front needs %d shards; nothing was sent, it is safe to retry",
			unreachable, len(q.shards), q.neededShards())})
}

// giveUpCutOff closes the shards whose owners are all unreachable once the query has nothing else to wait for. A
// request that must not run twice is waited for, since its outcome is worth learning.
func (q *Query) giveUpCutOff(now time.Time) {
	if !q.idempotent() || !q.view.AnyUnreachable() {
		return
	}
	waiting := 0
	var unreachable []*shard
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case !s.pending():
		case q.cutOff(s) && !now.Before(q.graceEnd(s)):
			unreachable = append(unreachable, s)
		default:
			waiting++
		}
	}
	if len(unreachable) == 0 || q.merged+waiting >= q.neededShards() && (waiting > 0 || q.prefersCoverage()) {
		return
	}
	q.outbox.count(CountCutOffGivenUp)
	for _, s := range unreachable {
		q.abandon(s, MissingUnreachable)
	}
}

func (q *Query) prefersCoverage() bool {
	return q.front.GetPreference() == cassiaschema.Preference_preferCoverage
}

// graceEnd returns when a shard that is cut off is no longer waited for.
func (q *Query) graceEnd(s *shard) time.Time {
	if len(s.attempts) == 0 {
		return q.request.Deadline
	}
	grace := max(cutOffGrace, cutOffGraceHedgeFactor*q.view.HedgeAfter(q.request.Key))
	if q.prefersCoverage() {
		grace += preferCoverageGrace
	}
	return s.attempts[0].sent.Add(grace)
}

// cutOff tells whether no owner that could still bring a shard's rows is within reach.
func (q *Query) cutOff(s *shard) bool {
	for _, a := range s.attempts {
		if a.open && !q.view.Unreachable(a.owner) {
			return false
		}
	}
	for _, t := range s.targets {
		if s.settled(cassiaid.TargetName(t.GetName())) {
			continue
		}
		for _, owner := range q.view.Owners(q.request.Key, s.index, cassiaid.Zone(t.GetAvailabilityZone())) {
			if !q.avoidedOwners[owner] && !q.view.Unreachable(owner) {
				return false
			}
		}
	}
	return true
}

// settled tells whether an attempt at a target has an outcome that rules another one out.
func (s *shard) settled(target cassiaid.TargetName) bool {
	for _, a := range s.attempts {
		if a.Target == target && !a.open && !a.ownerFailed && !a.mayAskAgain {
			return true
		}
	}
	return false
}
