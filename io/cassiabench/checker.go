package cassiabench

import (
	"fmt"
	"slices"
	"time"

	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/standin/cassiashard"
)

// Bounds of the verdicts.
const (
	// leavingGrace is how long after its first sign a leaving target may still be given work.
	leavingGrace = 3 * time.Second
	// deadlineGrace allows for the time between a caller and the system.
	deadlineGrace = 50 * time.Millisecond
	// maxExamples bounds the violations that are told in words.
	maxExamples = 10
)

// Violations counts broken promises.
type Violations struct {
	// MixedSnapshot counts answers whose rows are not all of the stated snapshot.
	MixedSnapshot int `json:"mixedSnapshot"`
	// FalseCoverage counts answers that state another coverage than their rows show.
	FalseCoverage int `json:"falseCoverage"`
	// ForeignAnswer counts answers with rows or identifiers of another request.
	ForeignAnswer int `json:"foreignAnswer"`
	// FalseNotRun counts refusals as not run of requests that a target ran.
	FalseNotRun int `json:"falseNotRun"`
	// DoubleRun counts non-idempotent requests that ran more than once.
	DoubleRun int `json:"doubleRun"`
	// LateWork counts executions begun after the deadline or on a target that had long begun to leave.
	LateWork int `json:"lateWork"`
	// Unanswered counts requests left without an answer or typed refusal.
	Unanswered int `json:"unanswered"`
}

// Any tells whether there is a violation.
func (v Violations) Any() bool { return v != Violations{} }

// evidence is what the verdicts rest on.
type evidence struct {
	Replies    []*reply
	Executions []cassiashard.Execution
	// Leaving holds the time of the first sign that a target leaves.
	Leaving map[string]time.Time
}

// checker judges the evidence.
type checker struct {
	evidence
	byBody   map[string][]cassiashard.Execution
	replies  map[string][]*reply
	found    Violations
	examples []string
}

// check returns the violations in the evidence and some of them in words.
func check(e evidence) (Violations, []string) {
	c := &checker{evidence: e, byBody: map[string][]cassiashard.Execution{}, replies: map[string][]*reply{}}
	for _, x := range e.Executions {
		c.byBody[x.BodyHash] = append(c.byBody[x.BodyHash], x)
	}
	for _, r := range e.Replies {
		c.replies[r.Request.BodyHash] = append(c.replies[r.Request.BodyHash], r)
	}
	for _, r := range e.Replies {
		c.checkReply(r)
	}
	for body, executions := range c.byBody {
		c.checkDoubleRun(body, executions)
		c.checkLateWork(body, executions)
	}
	return c.found, c.examples
}

// report counts a violation and keeps the first ones in words.
func (c *checker) report(counter *int, format string, values ...any) {
	*counter++
	if len(c.examples) < maxExamples {
		c.examples = append(c.examples, fmt.Sprintf(format, values...))
	}
}

func (c *checker) checkReply(r *reply) {
	name := r.Request.Team + "/" + r.Request.Front.GetName() + " " + r.Request.BodyHash
	if r.Failure != "" {
		c.report(&c.found.Unanswered, "%s by %s: %s", name, r.VM, r.Failure)
	}
	if r.Answer != nil {
		c.checkRows(r, name)
		c.checkCoverage(r, name)
	}
	if r.Refusal != nil && r.Refusal.Ran == cassiaplan.RanNo {
		c.checkNotRun(r, name)
	}
}

// checkRows checks that the answer and all its rows are the request's own and that the rows are of the one snapshot.
func (c *checker) checkRows(r *reply, name string) {
	mixed, foreign := false, !c.ownID(r)
	for _, rows := range r.Answer.Rows {
		mixed = mixed || rows.Snapshot != r.Answer.Snapshot
		foreign = foreign || rows.BodyHash != r.Request.BodyHash
	}
	if mixed {
		c.report(&c.found.MixedSnapshot, "%s: rows of several snapshots, stated %d", name, r.Answer.Snapshot)
	}
	if foreign {
		c.report(&c.found.ForeignAnswer, "%s: identifier or rows of another request", name)
	}
}

// ownID tells whether an answer carries the request's identifier, or that of an earlier sending of the same key whose
// answer was remembered.
func (c *checker) ownID(r *reply) bool {
	id := r.Answer.RequestID
	if id == "" || id == r.RequestID {
		return true
	}
	return slices.ContainsFunc(c.replies[r.Request.BodyHash], func(other *reply) bool {
		return r.Request.Key != "" && other.RequestID == id
	})
}

// checkCoverage checks the stated coverage against the rows and the targets' logs.
func (c *checker) checkCoverage(r *reply, name string) {
	stated := r.Answer.Coverage
	shards := map[string]bool{}
	for _, rows := range r.Answer.Rows {
		shards[rows.Shard] = true
	}
	asked := r.Request.shards()
	fraction := float64(len(shards)) / float64(asked)
	difference := stated.Fraction - fraction
	switch {
	case len(shards) != len(r.Answer.Rows):
		c.report(&c.found.FalseCoverage, "%s: a shard's rows occur twice", name)
	case stated.Asked != asked, stated.Answered != len(shards), len(stated.Missing) != asked-len(shards),
		difference > 0.001, difference < -0.001:
		c.report(&c.found.FalseCoverage, "%s: stated %d of %d with %d missing, rows of %d of %d",
			name, stated.Answered, stated.Asked, len(stated.Missing), len(shards), asked)
	case !c.allRan(r):
		c.report(&c.found.FalseCoverage, "%s: holds rows that no target's log shows", name)
	}
}

// allRan tells whether the targets' logs show an execution for all rows of an answer.
func (c *checker) allRan(r *reply) bool {
	for _, rows := range r.Answer.Rows {
		ran := slices.ContainsFunc(c.byBody[rows.BodyHash], func(x cassiashard.Execution) bool {
			return x.Shard == rows.Shard && x.Outcome == cassiashard.OutcomeRan
		})
		if !ran {
			return false
		}
	}
	return true
}

// checkNotRun checks that no target ran a request that was refused as not run. What began before the refusal of a
// request with a key makes the refusal false, whichever sending it came from. Else an execution is put down to another
// sending of the same body if there is one that may have caused it.
func (c *checker) checkNotRun(r *reply, name string) {
	for _, x := range c.byBody[r.Request.BodyHash] {
		if !x.Started() {
			continue
		}
		began := time.UnixMicro(x.StartedUnixMicros)
		keyed := r.Request.Key != "" && began.Before(r.Finished)
		if keyed || !c.explained(r, began) {
			c.report(&c.found.FalseNotRun, "%s: refused as %s by %s (%s), but %s began it %v before the refusal",
				name, r.Refusal.Kind, r.VM, r.Refusal.Message, x.Target, r.Finished.Sub(began))
			return
		}
	}
}

// explained tells whether another sending of a refused request may have caused an execution.
func (c *checker) explained(refused *reply, began time.Time) bool {
	return slices.ContainsFunc(c.replies[refused.Request.BodyHash], func(other *reply) bool {
		notRun := other.Refusal != nil && other.Refusal.Ran == cassiaplan.RanNo
		return other != refused && !notRun && !other.Sent.After(began)
	})
}

func (c *checker) checkDoubleRun(body string, executions []cassiashard.Execution) {
	replies := c.replies[body]
	if len(replies) == 0 || replies[0].Request.Front.GetKind() != cassiaschema.RequestKind_nonIdempotent {
		return
	}
	started := 0
	for _, x := range executions {
		if x.Started() {
			started++
		}
	}
	if started > 1 {
		c.report(&c.found.DoubleRun, "%s: began %d times", body, started)
	}
}

// checkLateWork checks when executions began.
func (c *checker) checkLateWork(body string, executions []cassiashard.Execution) {
	var last time.Time
	for _, r := range c.replies[body] {
		if end := r.Sent.Add(r.Request.deadline() + deadlineGrace); end.After(last) {
			last = end
		}
	}
	for _, x := range executions {
		if !x.Started() {
			continue
		}
		began := time.UnixMicro(x.StartedUnixMicros)
		if !last.IsZero() && began.After(last) {
			c.report(&c.found.LateWork, "%s: began on %s %v after the caller's deadline, %v before the one that the target was told",
				body, x.Target, began.Sub(last), time.UnixMicro(x.DeadlineUnixMicros).Sub(began))
		}
		if sign, leaves := c.Leaving[x.Target]; leaves && began.After(sign.Add(leavingGrace)) {
			c.report(&c.found.LateWork, "%s: began on %s %v after it began to leave", body, x.Target, began.Sub(sign))
		}
	}
}
