package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// attempt is the state of one Attempt.
type attempt struct {
	Attempt
	owner    cassiaid.VMName
	sentAt   time.Time
	snapshot cassiaid.Snapshot
	epoch    cassiaid.Epoch
	// open is true until the outcome is known or the attempt is cancelled.
	open bool
	// mayHaveStarted is true until a result, a failed send or a cancellation before the send proves that the target did
	// not start the attempt.
	mayHaveStarted bool
	cancelled      bool
	// ownerFailed is true when the owner rather than the target caused the failure, so the target may be asked through
	// another owner.
	ownerFailed bool
	// ownerBypassed is true once the silence of the owner has allowed an attempt through another owner.
	ownerBypassed bool
	// refusedEpoch is true when the target refused the attempt, without starting it, because its shard map epoch
	// differs.
	refusedEpoch bool
	// mayAskAgain is true when the target may be asked again because it is expected to adopt the query's shard map.
	mayAskAgain bool
}

// newAttempt records an attempt under an ID that the query has not used and queues it for sending.
func (q *Query) newAttempt(s *shard, c candidate, hedge bool, now time.Time) *attempt {
	id := cassiaid.AttemptID(q.random.Uint64())
	for id == 0 || q.attempts[id] != nil {
		id = cassiaid.AttemptID(q.random.Uint64())
	}
	a := &attempt{
		Attempt:        Attempt{ID: id, Shard: s.index, Target: c.target, Hedge: hedge},
		owner:          c.owner,
		sentAt:         now,
		snapshot:       q.snapshot,
		epoch:          q.epoch,
		open:           true,
		mayHaveStarted: true,
	}
	q.attempts[id] = a
	s.attempts = append(s.attempts, a)
	q.outbox.send(a)
	return a
}

// cancel closes an open attempt and queues a cancellation for its owner. An attempt that is still queued is removed
// instead, which proves that it did not start.
func (q *Query) cancel(a *attempt) {
	if !a.open {
		return
	}
	a.open = false
	a.cancelled = true
	if q.outbox.removeSend(a) {
		a.mayHaveStarted = false
		return
	}
	q.outbox.cancel(a)
}

// mayHaveStarted reports whether any attempt of the query, including those sent before a restart, may have started on a
// target.
func (q *Query) mayHaveStarted() bool {
	for _, a := range q.attempts {
		if a.mayHaveStarted {
			return true
		}
	}
	return false
}
