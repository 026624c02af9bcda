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
	// over is true once the attempt was cancelled, ended or its owner was lost.
	over bool
	// proved is true once a result proved that it did not start.
	proved bool
	// free is true when it ended without reaching a target.
	free      bool
	delivered bool
	// passedOver is true once its silent owner allowed one hedge beside it.
	passedOver bool
}

// judge watches a query from outside: the messages it got and the effects it gave.
type judge struct {
	world    *world
	attempts map[cassiaid.AttemptID]*sentAttempt
	order    []*sentAttempt
	finish   *Finish
	firsts   map[[3]uint64]bool
	repeats  int
	freed    int
	// lostRuns holds the shards of each run whose owner was lost; the first loss pays for one repeat.
	lostRuns map[[3]uint64]bool
	// refusedRuns holds the shards of each run that a target refused; the first refusal pays for one repeat.
	refusedRuns map[[3]uint64]bool
	hedges      int
	passed      int
	// overdue counts the hedges that the query says it took from the retry budget.
	overdue  int
	versions map[[2]uint64]bool
	timer    SetTimer
}

func newJudge(w *world) *judge {
	return &judge{world: w, attempts: map[cassiaid.AttemptID]*sentAttempt{}, firsts: map[[3]uint64]bool{},
		versions: map[[2]uint64]bool{}, lostRuns: map[[3]uint64]bool{}, refusedRuns: map[[3]uint64]bool{}}
}

func (j *judge) see(t *rapid.T, effects []Effect) {
	for _, e := range effects {
		if _, isCount := e.(Count); j.finish != nil && !isCount {
			t.Fatalf("effect %T after the finish", e)
		}
		switch e := e.(type) {
		case SendBatch:
			for _, a := range e.Attempts {
				j.seeSend(t, e, a)
			}
		case Cancel:
			for _, id := range e.Attempts {
				j.attempts[id].over = true
			}
		case Count:
			if e.Counter == CountHedgeOverdue {
				j.overdue++
			}
		case SetTimer:
			j.timer = e
		case Finish:
			j.finish = &e
		}
	}
	if j.hedges > j.world.hedgesGranted+j.passed+j.overdue {
		t.Fatalf("%d hedges, %d granted, %d past silent owners and %d overdue", j.hedges, j.world.hedgesGranted, j.passed, j.overdue)
	}
	if j.repeats+j.overdue > j.world.retryGranted+j.freed {
		t.Fatalf("%d repeats and %d overdue hedges, %d granted and %d free", j.repeats, j.overdue, j.world.retryGranted, j.freed)
	}
}

// runOf names a shard in one run of the query.
func runOf(b SendBatch, a Attempt) [3]uint64 {
	return [3]uint64{uint64(a.Shard), uint64(b.Snapshot), uint64(b.Epoch)}
}

// ownerLost notes the loss of an attempt's owner before the query sees it.
func (j *judge) ownerLost(s *sentAttempt, sent bool) {
	if s.over {
		return
	}
	s.over = true
	s.proved, s.free = !sent, !sent
	run := runOf(s.batch, s.Attempt)
	if s.free || !j.lostRuns[run] {
		j.freed++
	}
	j.lostRuns[run] = true
}

// ownerSilent notes the silence of an owner before the query sees it.
func (j *judge) ownerSilent(owner cassiaid.VMName) {
	for _, s := range j.order {
		if s.owner() == owner && !s.over && !s.passedOver {
			s.passedOver = true
			j.passed++
		}
	}
}

func (j *judge) seeSend(t *rapid.T, b SendBatch, a Attempt) {
	if j.attempts[a.ID] != nil {
		t.Fatalf("attempt %d sent twice", a.ID)
	}
	if j.world.front.Kind == cassiaschema.RequestKind_nonIdempotent {
		for _, other := range j.order {
			if other.Shard == a.Shard && !other.proved {
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
	case j.firsts[run]:
		j.repeats++
	}
	j.firsts[run] = true
	s := &sentAttempt{Attempt: a, batch: b}
	j.attempts[a.ID] = s
	j.order = append(j.order, s)
}

// delivered notes a result before the query sees it.
func (j *judge) delivered(r *cassiaschema.ShardResult, s *sentAttempt) {
	free := r.Outcome == cassiaschema.ShardOutcome_notOwner || r.Outcome == cassiaschema.ShardOutcome_vmLeaving
	if !s.over {
		s.proved = !r.Started
		s.free = (free || j.firstRefusal(r, s) || j.waitsForEpoch(r, s)) && !r.Started
		if s.free {
			j.freed++
		}
	}
	s.over, s.delivered = true, true
}

// firstRefusal tells whether a result is the first in a run by which a target sends a shard elsewhere.
func (j *judge) firstRefusal(r *cassiaschema.ShardResult, s *sentAttempt) bool {
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
func (j *judge) waitsForEpoch(r *cassiaschema.ShardResult, s *sentAttempt) bool {
	sent := 0
	for _, other := range j.order {
		if runOf(other.batch, other.Attempt) == runOf(s.batch, s.Attempt) {
			sent++
		}
	}
	return r.Outcome == cassiaschema.ShardOutcome_repartitioned && sent < maxEpochAttempts
}

// verdict checks the final answer against what was sent and delivered.
func (j *judge) verdict(t *rapid.T) {
	if j.finish == nil {
		t.Fatalf("no finish at the deadline")
	}
	for _, s := range j.order {
		if !s.over {
			t.Fatalf("attempt %d neither ended nor cancelled", s.ID)
		}
	}
	if r := j.finish.Refusal; r != nil {
		j.judgeRefusal(t, r)
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
		if seen[rows.Shard] || !j.genuine(a, rows) {
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

func (j *judge) judgeRefusal(t *rapid.T, r *Refusal) {
	for _, s := range j.order {
		if r.Ran == RanNo && !s.proved {
			t.Fatalf("refused as not run while attempt %d may have started", s.ID)
		}
	}
	if (r.Kind == RefusalNotRun) != (r.Ran == RanNo) && r.Kind == RefusalNotRun {
		t.Fatalf("notRun with ran %s", r.Ran)
	}
}

// genuine tells whether rows were delivered for this shard by an attempt of the answer's snapshot and shard map.
func (j *judge) genuine(a *Answer, rows ShardRows) bool {
	for _, s := range j.order {
		if s.delivered && s.Shard == rows.Shard && s.batch.Snapshot == a.Snapshot && s.batch.Epoch == a.Epoch &&
			bytes.Equal(rows.Rows, rowsOf(s.batch, s.Attempt)) {
			return true
		}
	}
	return false
}
