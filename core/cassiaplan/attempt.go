package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// attempt is what the query remembers of one Attempt.
type attempt struct {
	Attempt
	owner    cassiaid.VMName
	sent     time.Time
	snapshot cassiaid.Snapshot
	epoch    cassiaid.Epoch
	// open is true until the outcome is known or no longer wanted.
	open bool
	// mayHaveStarted is true until a definite proof that the target did not start it.
	mayHaveStarted bool
	cancelled      bool
	// ownerFailed is true when the owner, not the target, was the obstacle.
	ownerFailed bool
	// ownerBypassed is true once another owner was asked beside this one's silence.
	ownerBypassed bool
	// refusedEpoch is true when the target refused the attempt for its shard map without starting it.
	refusedEpoch bool
	// mayAskAgain is true when the target may be asked again since it is to take over the query's shard map.
	mayAskAgain bool
}

// newAttempt registers an attempt under an identifier that this query has not used.
func (q *Query) newAttempt(s *shard, c candidate, hedge bool, now time.Time) *attempt {
	id := cassiaid.AttemptID(q.random.Uint64())
	for id == 0 || q.attempts[id] != nil {
		id = cassiaid.AttemptID(q.random.Uint64())
	}
	a := &attempt{
		Attempt:        Attempt{ID: id, Shard: s.index, Target: c.target, Hedge: hedge},
		owner:          c.owner,
		sent:           now,
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

// cancel gives an open attempt up and tells its owner.
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

// mayHaveRun tells whether any attempt of any run of the query may have started.
func (q *Query) mayHaveRun() bool {
	for _, a := range q.attempts {
		if a.mayHaveStarted {
			return true
		}
	}
	return false
}
