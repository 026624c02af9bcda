package cassiaplan

import (
	"bytes"

	"pgregory.net/rapid"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"

	_ "cassiasaddle/test/cassiaseed"
)

// sentAttempt is an attempt as the checker observed it.
type sentAttempt struct {
	Attempt
	batch SendBatch
	// ended is true once the attempt was cancelled or has a result, or its owner was lost.
	ended bool
	// provenNotStarted is true once a result or a failed send proved that the target did not start the attempt.
	provenNotStarted bool
	// freeRetry is true when the attempt ended in a way that allows a free retry.
	freeRetry bool
	delivered bool
	// ownerBypassed is true once the silence of its owner has allowed one hedge.
	ownerBypassed bool
}

// checker verifies the invariants of a query by the messages that it receives and the effects that it returns.
type checker struct {
	world    *world
	attempts map[cassiaid.AttemptID]*sentAttempt
	// order holds the attempts in the order in which they were sent.
	order  []*sentAttempt
	finish *Finish
	// sentShards holds the shards of each run that were sent at least once; the key is that of shardKey, here and
	// below.
	sentShards map[[3]uint64]bool
	retries    int
	// freeRetries counts the retries that may be sent without a grant from the retry budget.
	freeRetries int
	// ownerLostShards holds the shards of each run that lost an owner; the first loss allows one free retry.
	ownerLostShards map[[3]uint64]bool
	// refusedShards holds the shards of each run that a target refused; the first refusal allows one free retry.
	refusedShards map[[3]uint64]bool
	hedges        int
	// silentHedges counts the hedges that silent owners allow without a grant from the hedge budget.
	silentHedges int
	// overdueHedges counts the hedges that the query reports as taken from the retry budget.
	overdueHedges int
	// versions holds the pairs of snapshot and epoch that the query has sent.
	versions map[[2]uint64]bool
	timer    SetTimer
}

func newChecker(w *world) *checker {
	return &checker{world: w, attempts: map[cassiaid.AttemptID]*sentAttempt{}, sentShards: map[[3]uint64]bool{},
		versions: map[[2]uint64]bool{}, ownerLostShards: map[[3]uint64]bool{}, refusedShards: map[[3]uint64]bool{}}
}

// recordEffects checks the effects of one Update: none but counts after the finish, and no more hedges and retries than
// the budgets granted or the rules allow for free.
func (chk *checker) recordEffects(t *rapid.T, effects []Effect) {
	for _, e := range effects {
		if _, isCount := e.(Count); chk.finish != nil && !isCount {
			t.Fatalf("effect %T after Finish", e)
		}
		switch e := e.(type) {
		case SendBatch:
			for _, a := range e.Attempts {
				chk.recordSend(t, e, a)
			}
		case Cancel:
			for _, id := range e.Attempts {
				chk.attempts[id].ended = true
			}
		case Count:
			if e.Counter == CountHedgeOverdue {
				chk.overdueHedges++
			}
		case SetTimer:
			chk.timer = e
		case Finish:
			chk.finish = &e
		}
	}
	if chk.hedges > chk.world.hedgesGranted+chk.silentHedges+chk.overdueHedges {
		t.Fatalf("%d hedges sent, but %d granted, %d allowed by silent owners and %d overdue", chk.hedges, chk.world.hedgesGranted, chk.silentHedges, chk.overdueHedges)
	}
	if chk.retries+chk.overdueHedges > chk.world.retriesGranted+chk.freeRetries {
		t.Fatalf("%d retries and %d overdue hedges, but %d granted and %d free", chk.retries, chk.overdueHedges, chk.world.retriesGranted, chk.freeRetries)
	}
}

// shardKey identifies a shard in one run of the query by shard, snapshot and epoch.
func shardKey(b SendBatch, a Attempt) [3]uint64 {
	return [3]uint64{uint64(a.Shard), uint64(b.Snapshot), uint64(b.Epoch)}
}

// recordOwnerLost records the loss of an attempt's owner, before the query receives it.
func (chk *checker) recordOwnerLost(s *sentAttempt, sent bool) {
	if s.ended {
		return
	}
	s.ended = true
	s.provenNotStarted, s.freeRetry = !sent, !sent
	key := shardKey(s.batch, s.Attempt)
	if s.freeRetry || !chk.ownerLostShards[key] {
		chk.freeRetries++
	}
	chk.ownerLostShards[key] = true
}

// recordOwnerSilent records the silence of an owner, before the query receives it.
func (chk *checker) recordOwnerSilent(owner cassiaid.VMName) {
	for _, s := range chk.order {
		if s.owner() == owner && !s.ended && !s.ownerBypassed {
			s.ownerBypassed = true
			chk.silentHedges++
		}
	}
}

// recordSend checks an attempt that the query sends: its ID is new, a non-idempotent shard that may have started is not
// sent again, and the query restarts at most once.
func (chk *checker) recordSend(t *rapid.T, b SendBatch, a Attempt) {
	if chk.attempts[a.ID] != nil {
		t.Fatalf("attempt %d sent twice", a.ID)
	}
	if chk.world.front.Kind == cassiaschema.RequestKind_nonIdempotent {
		for _, other := range chk.order {
			if other.Shard == a.Shard && !other.provenNotStarted {
				t.Fatalf("non-idempotent shard %d sent again although it may have started", a.Shard)
			}
		}
	}
	chk.versions[[2]uint64{uint64(b.Snapshot), uint64(b.Epoch)}] = true
	if len(chk.versions) > 2 {
		t.Fatalf("more than one restart: %v", chk.versions)
	}
	key := shardKey(b, a)
	switch {
	case a.Hedge:
		chk.hedges++
	case chk.sentShards[key]:
		chk.retries++
	}
	chk.sentShards[key] = true
	s := &sentAttempt{Attempt: a, batch: b}
	chk.attempts[a.ID] = s
	chk.order = append(chk.order, s)
}

// recordResult records a result before the query receives it.
func (chk *checker) recordResult(r *cassiaschema.ShardResult, s *sentAttempt) {
	free := r.Outcome == cassiaschema.ShardOutcome_notOwner || r.Outcome == cassiaschema.ShardOutcome_vmLeaving
	if !s.ended {
		s.provenNotStarted = !r.Started
		s.freeRetry = (free || chk.firstRefusal(r, s) || chk.waitsForEpoch(r, s)) && !r.Started
		if s.freeRetry {
			chk.freeRetries++
		}
	}
	s.ended, s.delivered = true, true
}

// firstRefusal reports whether a result is the first refusal of a shard in a run that allows a free retry on another
// target.
func (chk *checker) firstRefusal(r *cassiaschema.ShardResult, s *sentAttempt) bool {
	switch r.Outcome {
	case cassiaschema.ShardOutcome_overloaded, cassiaschema.ShardOutcome_draining, cassiaschema.ShardOutcome_unreachable:
	default:
		return false
	}
	key := shardKey(s.batch, s.Attempt)
	first := !r.Started && !chk.refusedShards[key]
	chk.refusedShards[key] = chk.refusedShards[key] || !r.Started
	return first
}

// waitsForEpoch reports whether a target refused the attempt because of the shard map, so that it may be asked again up
// to maxEpochAttempts.
func (chk *checker) waitsForEpoch(r *cassiaschema.ShardResult, s *sentAttempt) bool {
	sent := 0
	for _, other := range chk.order {
		if shardKey(other.batch, other.Attempt) == shardKey(s.batch, s.Attempt) {
			sent++
		}
	}
	return r.Outcome == cassiaschema.ShardOutcome_repartitioned && sent < maxEpochAttempts
}

// checkFinish checks the answer or refusal against the attempts sent and the results delivered.
func (chk *checker) checkFinish(t *rapid.T) {
	if chk.finish == nil {
		t.Fatalf("the query did not finish by its deadline")
	}
	for _, s := range chk.order {
		if !s.ended {
			t.Fatalf("attempt %d is still open after Finish", s.ID)
		}
	}
	if r := chk.finish.Refusal; r != nil {
		chk.checkRefusal(t, r)
		return
	}
	a := chk.finish.Answer
	if a.Coverage.Answered != len(a.Rows) || a.Coverage.Asked != len(a.Rows)+len(a.Coverage.Missing) {
		t.Fatalf("coverage %+v does not match %d rows", a.Coverage, len(a.Rows))
	}
	if a.Coverage.Fraction()+1e-9 < chk.world.front.MinCoverage {
		t.Fatalf("coverage %v is below the front's minCoverage", a.Coverage)
	}
	seen := map[cassiaid.ShardIndex]bool{}
	for _, rows := range a.Rows {
		if seen[rows.Shard] || !chk.wasDelivered(a, rows) {
			t.Fatalf("rows of shard %d are merged twice or were not delivered for it: %s", rows.Shard, rows.Rows)
		}
		seen[rows.Shard] = true
	}
	for _, m := range a.Coverage.Missing {
		if seen[m.Shard] || m.Reason == "" {
			t.Fatalf("missing shard %d has rows or no reason", m.Shard)
		}
	}
}

// checkRefusal checks that a refusal does not claim that the request was not run while an attempt may have started.
func (chk *checker) checkRefusal(t *rapid.T, r *Refusal) {
	for _, s := range chk.order {
		if r.Ran == RanNo && !s.provenNotStarted {
			t.Fatalf("refusal says not run although attempt %d may have started", s.ID)
		}
	}
	if (r.Kind == RefusalNotRun) != (r.Ran == RanNo) && r.Kind == RefusalNotRun {
		t.Fatalf("refusal notRun has ran=%s, want no", r.Ran)
	}
}

// wasDelivered reports whether rows were delivered for this shard by an attempt on the answer's snapshot and shard map.
func (chk *checker) wasDelivered(a *Answer, rows ShardRows) bool {
	for _, s := range chk.order {
		if s.delivered && s.Shard == rows.Shard && s.batch.Snapshot == a.Snapshot && s.batch.Epoch == a.Epoch &&
			bytes.Equal(rows.Rows, rowsOf(s.batch, s.Attempt)) {
			return true
		}
	}
	return false
}
