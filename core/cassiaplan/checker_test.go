package cassiaplan

import (
	"bytes"

	"pgregory.net/rapid"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"

	_ "cassiasaddle/test/cassiaseed"
)

// sentAttempt is what the judge saw of one attempt.
type sentAttempt struct {
	Attempt
	batch SendBatch
	// ended is true once the attempt was cancelled, ended or its owner was lost.
	ended bool
	// provenNotStarted is true once a result proved that it did not start.
	provenNotStarted bool
	// freeRetry is true when it ended without reaching a target.
	freeRetry bool
	delivered bool
	// ownerBypassed is true once its silent owner allowed one hedge beside it.
	ownerBypassed bool
}

// checker watches a query from outside: the messages it got and the effects it gave.
type checker struct {
	world       *world
	attempts    map[cassiaid.AttemptID]*sentAttempt
	order       []*sentAttempt
	finish      *Finish
	startedRuns map[[3]uint64]bool
	retries     int
	freeRetries int
	// ownerLostRuns holds the shards of each run whose owner was lost; the first loss pays for one repeat.
	ownerLostRuns map[[3]uint64]bool
	// refusedRuns holds the shards of each run that a target refused; the first refusal pays for one repeat.
	refusedRuns  map[[3]uint64]bool
	hedges       int
	silentHedges int
	// overdueHedges counts the hedges that the query says it took from the retry budget.
	overdueHedges int
	versions      map[[2]uint64]bool
	timer         SetTimer
}

func newChecker(w *world) *checker {
	return &checker{world: w, attempts: map[cassiaid.AttemptID]*sentAttempt{}, startedRuns: map[[3]uint64]bool{},
		versions: map[[2]uint64]bool{}, ownerLostRuns: map[[3]uint64]bool{}, refusedRuns: map[[3]uint64]bool{}}
}

func (j *checker) recordEffects(t *rapid.T, effects []Effect) {
	for _, e := range effects {
		if _, isCount := e.(Count); j.finish != nil && !isCount {
			t.Fatalf("effect %T after the finish", e)
		}
		switch e := e.(type) {
		case SendBatch:
			for _, a := range e.Attempts {
				j.recordSend(t, e, a)
			}
		case Cancel:
			for _, id := range e.Attempts {
				j.attempts[id].ended = true
			}
		case Count:
			if e.Counter == CountHedgeOverdue {
				j.overdueHedges++
			}
		case SetTimer:
			j.timer = e
		case Finish:
			j.finish = &e
		}
	}
	if j.hedges > j.world.hedgesGranted+j.silentHedges+j.overdueHedges {
		t.Fatalf("%d hedges, %d granted, %d past silent owners and %d overdue", j.hedges, j.world.hedgesGranted, j.silentHedges, j.overdueHedges)
	}
	if j.retries+j.overdueHedges > j.world.retriesGranted+j.freeRetries {
		t.Fatalf("%d repeats and %d overdue hedges, %d granted and %d free", j.retries, j.overdueHedges, j.world.retriesGranted, j.freeRetries)
	}
}

// runOf names a shard in one run of the query.
func runOf(b SendBatch, a Attempt) [3]uint64 {
	return [3]uint64{uint64(a.Shard), uint64(b.Snapshot), uint64(b.Epoch)}
}

// recordOwnerLost notes the loss of an attempt's owner before the query sees it.
func (j *checker) recordOwnerLost(s *sentAttempt, sent bool) {
	if s.ended {
		return
	}
	s.ended = true
	s.provenNotStarted, s.freeRetry = !sent, !sent
	run := runOf(s.batch, s.Attempt)
	if s.freeRetry || !j.ownerLostRuns[run] {
		j.freeRetries++
	}
	j.ownerLostRuns[run] = true
}

// recordOwnerSilent notes the silence of an owner before the query sees it.
func (j *checker) recordOwnerSilent(owner cassiaid.VMName) {
	for _, s := range j.order {
		if s.owner() == owner && !s.ended && !s.ownerBypassed {
			s.ownerBypassed = true
			j.silentHedges++
		}
	}
}

func (j *checker) recordSend(t *rapid.T, b SendBatch, a Attempt) {
	if j.attempts[a.ID] != nil {
		t.Fatalf("attempt %d sent twice", a.ID)
	}
	if j.world.front.Kind == cassiaschema.RequestKind_nonIdempotent {
		for _, other := range j.order {
			if other.Shard == a.Shard && !other.provenNotStarted {
				t.Fatalf("shard %d sent again although it may have started", a.Shard)
			}
		}
	}
	j.versions[[2]uint64{uint64(b.Snapshot), uint64(b.Epoch)}] = true
	if len(j.versions) > 2 {
		t.Fatalf("more than one restart: %v", j.versions)
	}
	run := runOf(b, a)
	switch {
	case a.Hedge:
		j.hedges++
	case j.startedRuns[run]:
		j.retries++
	}
	j.startedRuns[run] = true
	s := &sentAttempt{Attempt: a, batch: b}
	j.attempts[a.ID] = s
	j.order = append(j.order, s)
}

// recordResult notes a result before the query sees it.
func (j *checker) recordResult(r *cassiaschema.ShardResult, s *sentAttempt) {
	free := r.Outcome == cassiaschema.ShardOutcome_notOwner || r.Outcome == cassiaschema.ShardOutcome_vmLeaving
	if !s.ended {
		s.provenNotStarted = !r.Started
		s.freeRetry = (free || j.firstRefusal(r, s) || j.waitsForEpoch(r, s)) && !r.Started
		if s.freeRetry {
			j.freeRetries++
		}
	}
	s.ended, s.delivered = true, true
}

// firstRefusal tells whether a result is the first in a run by which a target sends a shard elsewhere.
func (j *checker) firstRefusal(r *cassiaschema.ShardResult, s *sentAttempt) bool {
	switch r.Outcome {
	case cassiaschema.ShardOutcome_overloaded, cassiaschema.ShardOutcome_draining, cassiaschema.ShardOutcome_unreachable:
	default:
		return false
	}
	run := runOf(s.batch, s.Attempt)
	first := !r.Started && !j.refusedRuns[run]
	j.refusedRuns[run] = j.refusedRuns[run] || !r.Started
	return first
}

// waitsForEpoch tells whether a target refused for the shard map, so that it may be asked again within a bound.
func (j *checker) waitsForEpoch(r *cassiaschema.ShardResult, s *sentAttempt) bool {
	sent := 0
	for _, other := range j.order {
		if runOf(other.batch, other.Attempt) == runOf(s.batch, s.Attempt) {
			sent++
		}
	}
	return r.Outcome == cassiaschema.ShardOutcome_repartitioned && sent < maxEpochAttempts
}

// checkFinish checks the final answer against what was sent and delivered.
func (j *checker) checkFinish(t *rapid.T) {
	if j.finish == nil {
		t.Fatalf("no finish at the deadline")
	}
	for _, s := range j.order {
		if !s.ended {
			t.Fatalf("attempt %d neither ended nor cancelled", s.ID)
		}
	}
	if r := j.finish.Refusal; r != nil {
		j.checkRefusal(t, r)
		return
	}
	a := j.finish.Answer
	if a.Coverage.Answered != len(a.Rows) || a.Coverage.Asked != len(a.Rows)+len(a.Coverage.Missing) {
		t.Fatalf("false coverage %+v of %d rows", a.Coverage, len(a.Rows))
	}
	if a.Coverage.Fraction()+1e-9 < j.world.front.MinCoverage {
		t.Fatalf("coverage %v below the least", a.Coverage)
	}
	seen := map[cassiaid.ShardIndex]bool{}
	for _, rows := range a.Rows {
		if seen[rows.Shard] || !j.wasDelivered(a, rows) {
			t.Fatalf("rows of shard %d twice or from elsewhere: %s", rows.Shard, rows.Rows)
		}
		seen[rows.Shard] = true
	}
	for _, m := range a.Coverage.Missing {
		if seen[m.Shard] || m.Reason == "" {
			t.Fatalf("missing shard %d is answered or has no reason", m.Shard)
		}
	}
}

func (j *checker) checkRefusal(t *rapid.T, r *Refusal) {
	for _, s := range j.order {
		if r.Ran == RanNo && !s.provenNotStarted {
			t.Fatalf("refused as not run while attempt %d may have started", s.ID)
		}
	}
	if (r.Kind == RefusalNotRun) != (r.Ran == RanNo) && r.Kind == RefusalNotRun {
		t.Fatalf("notRun with ran %s", r.Ran)
	}
}

// wasDelivered tells whether rows were delivered for this shard by an attempt of the answer's snapshot and shard map.
func (j *checker) wasDelivered(a *Answer, rows ShardRows) bool {
	for _, s := range j.order {
		if s.delivered && s.Shard == rows.Shard && s.batch.Snapshot == a.Snapshot && s.batch.Epoch == a.Epoch &&
			bytes.Equal(rows.Rows, rowsOf(s.batch, s.Attempt)) {
			return true
		}
	}
	return false
}
