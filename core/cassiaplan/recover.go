package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// maxNonIdempotentAttempts bounds the attempts of a shard of a request that must not run twice.
const maxNonIdempotentAttempts = 2

// failure tells what an unsuccessful outcome means.
type failure struct {
	reason  MissingReason
	counter Counter
	// final is true when another attempt would not help.
	final bool
	// free is true when another attempt adds no lasting load: no target saw the last one, or its owner was lost, which
	// pays for one attempt a shard.
	free bool
	// elsewhere is true when a target that did not start the attempt sends it elsewhere; the first such refusal of a
	// shard pays for one more attempt, since still only one target runs it.
	elsewhere bool
}

var failures = map[cassiaschema.ShardOutcome]failure{
	cassiaschema.ShardOutcome_failed:        {reason: MissingFailed, counter: CountRetryFailed},
	cassiaschema.ShardOutcome_badReply:      {reason: MissingFailed, counter: CountRetryFailed},
	cassiaschema.ShardOutcome_cancelled:     {reason: MissingFailed, counter: CountRetryFailed},
	cassiaschema.ShardOutcome_overloaded:    {reason: MissingOverloaded, counter: CountRetryOverloaded, elsewhere: true},
	cassiaschema.ShardOutcome_draining:      {reason: MissingUnreachable, counter: CountRetryDraining, elsewhere: true},
	cassiaschema.ShardOutcome_unreachable:   {reason: MissingUnreachable, counter: CountRetryUnreachable, elsewhere: true},
	cassiaschema.ShardOutcome_snapshotGone:  {reason: MissingSnapshotGone, counter: CountRetrySnapshot},
	cassiaschema.ShardOutcome_repartitioned: {reason: MissingRepartitioned, counter: CountRetryEpoch},
	cassiaschema.ShardOutcome_timedOut:      {reason: MissingLate, final: true},
	cassiaschema.ShardOutcome_notOwner:      {reason: MissingNoOwner, counter: CountRetryNotOwner, free: true},
	cassiaschema.ShardOutcome_vmLeaving:     {reason: MissingUnreachable, counter: CountRetryVMLeaving, free: true},
}

// ownerLost is the failure of an attempt whose owner can not answer for it any more.
var ownerLost = failure{reason: MissingUnreachable, counter: CountRetryOwnerLost}

// fail notes an unsuccessful outcome; recoverShards decides what follows.
func (q *Query) fail(s *shard, a *attempt, outcome cassiaschema.ShardOutcome) {
	f, ok := failures[outcome]
	if !ok {
		f = failures[cassiaschema.ShardOutcome_failed]
	}
	if f.free {
		q.avoided[a.owner] = true
		a.ownerFailed = true
		f.free = !a.mayHaveStarted
	}
	if f.elsewhere && !a.mayHaveStarted && !s.refusedOnce {
		s.refusedOnce = true
		f.free = true
	}
	q.noteEpoch(s, a, outcome, &f)
	s.note(f)
}

// loseOwner ends the attempts that an owner can not answer for any more.
func (q *Query) loseOwner(m OwnerLost) {
	q.avoided[m.Owner] = true
	for _, id := range m.Attempts {
		a := q.attempts[id]
		if a == nil || !a.open || a.owner != m.Owner {
			continue
		}
		a.open = false
		a.ownerFailed = true
		a.mayHaveStarted = m.Sent
		s := q.shard(a.Shard)
		f := ownerLost
		f.free = !m.Sent || !s.ownerLost
		s.ownerLost = true
		s.note(f)
	}
}

// recoverShards asks again for the shards that have nothing in flight, or closes them.
func (q *Query) recoverShards(now time.Time) {
	q.restart(now)
	var choices []choice
	first := q.pickCanary()
	for i := range q.shards {
		s := &q.shards[(first+i)%len(q.shards)]
		if !s.pending() || s.waiting() || now.Before(s.resumeAt) || q.awaitsCanary(s, now) || q.crash.holdsBack(s) {
			continue
		}
		if options := q.nextOptions(s, now); len(options) > 0 {
			choices = append(choices, choice{shard: s, options: options})
		}
	}
	q.ask(choices, false, now)
}

// ask sends one attempt for each choice.
func (q *Query) ask(choices []choice, hedge bool, now time.Time) {
	if len(choices) == 0 {
		return
	}
	picked := cover(choices, q.view.LocalZone(), q.random.Uint64())
	for i, c := range choices {
		q.newAttempt(c.shard, picked[i], hedge, now)
		c.shard.hedgeAt = now.Add(q.view.HedgeAfter(q.request.Key))
	}
}

// nextOptions returns where to ask for a shard next; it closes the shard when nothing is left to try.
func (q *Query) nextOptions(s *shard, now time.Time) []candidate {
	first := len(s.attempts) == 0
	if !first && !q.mayRetry(s) {
		s.close(s.reason)
		return nil
	}
	worst := notUsable
	if first {
		worst = lacksSnapshot
	}
	options, reason := q.candidates(s, worst)
	if len(options) == 0 {
		if first {
			s.reason = reason
		} else if q.waitForEpoch(s, now) {
			return nil
		}
		s.close(s.reason)
		return nil
	}
	if !first && !q.takeRetry(s) {
		s.close(s.reason)
		return nil
	}
	return options
}

// mayRetry tells whether the rules of the request allow one more attempt at a shard.
func (q *Query) mayRetry(s *shard) bool {
	if s.failure.final || q.crash.condemns(s) {
		return false
	}
	if q.idempotent() {
		return true
	}
	return !s.mayHaveStarted() && len(s.attempts) < maxNonIdempotentAttempts
}

// takeRetry pays for a retry unless no target saw the attempt before.
func (q *Query) takeRetry(s *shard) bool {
	if !s.failure.free && !q.view.TakeRetry(q.request.Key) {
		q.outbox.count(CountRetryDenied)
		return false
	}
	q.outbox.count(s.failure.counter)
	return true
}
