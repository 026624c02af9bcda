package cassiaplan

import (
	"fmt"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Limits on how long a query waits, from the first attempt at a shard, while all owners of that shard are known to be
// unreachable. Such a shard is called cut off.
const (
	// cutOffGrace leaves time for a lost packet to be resent.
	cutOffGrace = 50 * time.Millisecond
	// cutOffGraceHedgeFactor is the minimum of the grace as a multiple of the hedge delay.
	cutOffGraceHedgeFactor = 2
	// preferCoverageGrace is added for fronts with preference preferCoverage.
	preferCoverageGrace = 100 * time.Millisecond
)

// refuseIfCutOff refuses a query at its start when fewer shards than it needs have a reachable owner. From time to time
// it lets an idempotent query through as a probe that detects recovered owners; a request that must not run twice is
// never used as a probe.
func (q *Query) refuseIfCutOff() {
	if !q.view.AnyUnreachable() {
		return
	}
	cutOffShards := 0
	for i := range q.shards {
		if q.cutOff(&q.shards[i]) {
			cutOffShards++
		}
	}
	if len(q.shards)-cutOffShards >= q.neededShards() || q.idempotent() && q.view.TakeReachabilityProbe(q.request.Key) {
		return
	}
	q.outbox.count(CountCutOffAtStart)
	q.refuse(Refusal{Kind: RefusalNotRun, Ran: RanNo, RetryAfter: retryAfter,
		Message: fmt.Sprintf("no owner of %d of %d shards can be reached and the front needs %d shards; nothing was sent, it is safe to retry",
			cutOffShards, len(q.shards), q.neededShards())})
}

// giveUpCutOffShards closes the cut-off shards whose grace is over, if the other pending shards are too few to reach the
// needed coverage or if there are none. Once the needed coverage is reached, fronts that prefer coverage keep waiting. A
// non-idempotent request always keeps waiting, because the caller needs its outcome.
func (q *Query) giveUpCutOffShards(now time.Time) {
	if !q.idempotent() || !q.view.AnyUnreachable() {
		return
	}
	waiting := 0
	var cutOffShards []*shard
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case !s.pending():
		case q.cutOff(s) && !now.Before(q.graceEnd(s)):
			cutOffShards = append(cutOffShards, s)
		default:
			waiting++
		}
	}
	if len(cutOffShards) == 0 || q.merged+waiting >= q.neededShards() && (waiting > 0 || q.prefersCoverage()) {
		return
	}
	q.outbox.count(CountCutOffGivenUp)
	for _, s := range cutOffShards {
		q.abandon(s, MissingUnreachable)
	}
}

func (q *Query) prefersCoverage() bool {
	return q.front.GetPreference() == cassiaschema.Preference_preferCoverage
}

// graceEnd returns when the query stops waiting for a cut-off shard.
func (q *Query) graceEnd(s *shard) time.Time {
	if len(s.attempts) == 0 {
		return q.request.Deadline
	}
	grace := max(cutOffGrace, cutOffGraceHedgeFactor*q.view.HedgeAfter(q.request.Key))
	if q.prefersCoverage() {
		grace += preferCoverageGrace
	}
	return s.attempts[0].sentAt.Add(grace)
}

// cutOff reports whether every owner that could still deliver the rows of a shard is unreachable.
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

// settled reports whether an attempt on a target has ended in a way that rules out another attempt there.
func (s *shard) settled(target cassiaid.TargetName) bool {
	for _, a := range s.attempts {
		if a.Target == target && !a.open && !a.ownerFailed && !a.mayAskAgain {
			return true
		}
	}
	return false
}
