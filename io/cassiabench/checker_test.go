package cassiabench

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/standin/cassiashard"
)

// validObservations returns observations without violations: one complete answer from two shards, which each test case
// changes.
func validObservations(kind cassiaschema.RequestKind) observations {
	sent := time.Unix(100, 0)
	front := &cassiaschema.Front{Name: "f", Kind: kind, Shards: []*cassiaschema.Shard{{Name: "s-1"}, {Name: "s-2"}}}
	r := &request{Team: "t", Front: front, BodyHash: "own"}
	if kind == cassiaschema.RequestKind_nonIdempotent {
		r.Key = "key"
	}
	var executions []cassiashard.Execution
	var rows []cassiashard.Rows
	for _, shard := range []string{"s-1", "s-2"} {
		rows = append(rows, cassiashard.Rows{Shard: shard, Snapshot: 7, BodyHash: "own"})
		executions = append(executions, cassiashard.Execution{
			Target: "target-" + shard, Shard: shard, Snapshot: 7, BodyHash: "own",
			StartedUnixMicros: sent.Add(time.Millisecond).UnixMicro(), Outcome: cassiashard.OutcomeRan,
		})
	}
	return observations{
		Replies: []*reply{{
			Request: r, Sent: sent, Finished: sent.Add(10 * time.Millisecond),
			Answer: &answer{Snapshot: 7, Rows: rows, Coverage: coverage{Asked: 2, Answered: 2, Fraction: 1}},
		}},
		Executions: executions, LeavingSince: map[string]time.Time{},
	}
}

func TestCheckFindsEachBrokenPromise(t *testing.T) {
	refuseAsNotRun := func(e *observations) {
		e.Replies[0].Answer, e.Replies[0].Refusal = nil, &refusal{Kind: cassiaplan.RefusalOverloaded, Ran: cassiaplan.RanNo}
	}
	sendAgain := func(e *observations, after time.Duration) {
		again := *e.Replies[0]
		again.Sent = again.Sent.Add(after)
		e.Replies = append(e.Replies, &again)
	}
	tests := []struct {
		name   string
		kind   cassiaschema.RequestKind
		mutate func(*observations)
		want   Violations
	}{
		{"no violation", 0, func(*observations) {}, Violations{}},
		{"mixed snapshot", 0, func(e *observations) { e.Replies[0].Answer.Rows[1].Snapshot = 8 }, Violations{MixedSnapshot: 1}},
		{"foreign rows", 0, func(e *observations) {
			e.Replies[0].Answer.Rows[1].BodyHash = "other"
			e.Executions = append(e.Executions, cassiashard.Execution{Shard: "s-2", BodyHash: "other", Outcome: cassiashard.OutcomeRan})
		}, Violations{ForeignAnswer: 1}},
		{"foreign identifier", 0, func(e *observations) { e.Replies[0].Answer.RequestID = "other" }, Violations{ForeignAnswer: 1}},
		{"identifier of another send without a key", 0, func(e *observations) {
			sendAgain(e, time.Microsecond)
			e.Replies[1].RequestID, e.Replies[0].Answer.RequestID = "second", "second"
		}, Violations{ForeignAnswer: 1}},
		{"identifier of another send with the same key", 1, func(e *observations) {
			e.Executions = e.Executions[:1]
			e.Replies[0].Request.Front.Shards = e.Replies[0].Request.Front.Shards[:1]
			e.Replies[0].Answer.Rows = e.Replies[0].Answer.Rows[:1]
			e.Replies[0].Answer.Coverage = coverage{Asked: 1, Answered: 1, Fraction: 1}
			e.Replies[0].RequestID, e.Replies[0].Answer.RequestID = "first", "first"
			sendAgain(e, time.Millisecond)
			e.Replies[1].RequestID = "second"
		}, Violations{}},
		{"too much coverage stated", 0, func(e *observations) {
			e.Replies[0].Answer.Rows = e.Replies[0].Answer.Rows[:1]
		}, Violations{FalseCoverage: 1}},
		{"missing shard not named", 0, func(e *observations) {
			e.Replies[0].Answer.Rows = e.Replies[0].Answer.Rows[:1]
			e.Replies[0].Answer.Coverage = coverage{Asked: 2, Answered: 1, Fraction: 0.5}
		}, Violations{FalseCoverage: 1}},
		{"one shard twice", 0, func(e *observations) { e.Replies[0].Answer.Rows[1].Shard = "s-1" }, Violations{FalseCoverage: 1}},
		{"rows without a completed execution", 0, func(e *observations) {
			e.Executions[1].Outcome = cassiashard.OutcomeCancelled
		}, Violations{FalseCoverage: 1}},
		{"refused as not run", 0, refuseAsNotRun, Violations{FalseNotRun: 1}},
		{"refused as not run, next send may have run", 0, func(e *observations) {
			refuseAsNotRun(e)
			sendAgain(e, 500*time.Microsecond)
			e.Replies[1].Refusal = &refusal{Ran: cassiaplan.RanUnknown}
		}, Violations{}},
		{"refused as not run, next send came after the execution", 0, func(e *observations) {
			refuseAsNotRun(e)
			sendAgain(e, 2*time.Millisecond)
			e.Replies[1].Refusal = &refusal{Ran: cassiaplan.RanUnknown}
		}, Violations{FalseNotRun: 1}},
		{"both sends refused as not run", 0, func(e *observations) {
			refuseAsNotRun(e)
			sendAgain(e, 500*time.Microsecond)
		}, Violations{FalseNotRun: 2}},
		{"keyed request refused after its repeat ran", 1, func(e *observations) {
			refuseAsNotRun(e)
			e.Executions = e.Executions[:1]
			sendAgain(e, 500*time.Microsecond)
			e.Replies[1].Refusal = &refusal{Ran: cassiaplan.RanUnknown}
		}, Violations{FalseNotRun: 1}},
		{"keyed request refused before its repeat ran", 1, func(e *observations) {
			refuseAsNotRun(e)
			e.Executions = e.Executions[:1]
			sendAgain(e, 500*time.Microsecond)
			e.Replies[1].Refusal = &refusal{Ran: cassiaplan.RanUnknown}
			e.Replies[0].Finished = e.Replies[0].Sent.Add(100 * time.Microsecond)
		}, Violations{}},
		{"ran twice", 1, func(e *observations) { sendAgain(e, time.Millisecond) }, Violations{DoubleRun: 1}},
		{"begun after the deadline", 0, func(e *observations) {
			e.Executions[0].StartedUnixMicros = e.Replies[0].Sent.Add(time.Second).UnixMicro()
		}, Violations{LateWork: 1}},
		{"begun on a leaving target after its grace period", 0, func(e *observations) {
			e.LeavingSince["target-s-1"] = e.Replies[0].Sent.Add(-4 * time.Second)
		}, Violations{LateWork: 1}},
		{"begun on a leaving target within its grace period", 0, func(e *observations) {
			e.LeavingSince["target-s-1"] = e.Replies[0].Sent.Add(-2 * time.Second)
		}, Violations{}},
		{"unanswered", 0, func(e *observations) { e.Replies[0].Answer, e.Replies[0].Failure = nil, "EOF" }, Violations{Unanswered: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := validObservations(test.kind)
			test.mutate(&e)
			got, examples := check(e)
			qt.Assert(t, got, qt.Equals, test.want, qt.Commentf("%v", examples))
		})
	}
}

func TestMeasuresCountRefusalsAndExtraLoad(t *testing.T) {
	c := qt.New(t)
	e := validObservations(cassiaschema.RequestKind_idempotent)
	e.Replies[0].Latency = 10 * time.Millisecond
	refused := &reply{
		Request: &request{Team: "t", Front: e.Replies[0].Request.Front, BodyHash: "refused"}, Latency: time.Millisecond,
		Refusal: &refusal{Kind: cassiaplan.RefusalOverloaded, Ran: cassiaplan.RanNo},
	}
	hedge := e.Executions[0]
	got := measure([]*reply{e.Replies[0], refused}, startedByShard(append(e.Executions, hedge)))
	c.Assert(got.Queries, qt.Equals, 2)
	c.Assert(got.CoverageMean, qt.Equals, 0.5)
	c.Assert(got.FullAnswers, qt.Equals, 1)
	c.Assert(got.ExtraLoad, qt.Equals, 0.5)
	c.Assert(got.Refusals, qt.DeepEquals, map[string]int{"overloaded": 1})
	c.Assert(got.P99Ms >= 350, qt.IsTrue, qt.Commentf("the latency of a refusal must count as at least its deadline"))
	c.Assert(got.P50Ms < 11, qt.IsTrue)
	c.Assert(got.RefusalP99Ms < 2, qt.IsTrue, qt.Commentf("must be the time until the refusal, not the deadline"))
}
