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
	// leavingGracePeriod is how long after its first sign a leaving target may still be given work.
	leavingGracePeriod = 3 * time.Second
	// deadlineTolerance allows for the time between a caller and the system.
	deadlineTolerance = 50 * time.Millisecond
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

// observations is what the verdicts rest on.
type observations struct {
	Replies    []*reply
	Executions []cassiashard.Execution
	// LeavingSince holds the time of the first sign that a target leaves.
	LeavingSince map[string]time.Time
}

// checker judges the evidence.
type checker struct {
	observations
	executionsByBody map[string][]cassiashard.Execution
	repliesByBody    map[string][]*reply
	violations       Violations
	examples         []string
}

// check returns the violations in the evidence and some of them in words.
func check(e observations) (Violations, []string) {
	c := &checker{observations: e, executionsByBody: map[string][]cassiashard.Execution{}, repliesByBody: map[string][]*reply{}}
	for _, x := range e.Executions {
		c.executionsByBody[x.BodyHash] = append(c.executionsByBody[x.BodyHash], x)
	}
	for _, r := range e.Replies {
		c.repliesByBody[r.Request.BodyHash] = append(c.repliesByBody[r.Request.BodyHash], r)
	}
	for _, r := range e.Replies {
		c.checkReply(r)
	}
	for body, executions := range c.executionsByBody {
		c.checkDoubleRun(body, executions)
		c.checkLateWork(body, executions)
	}
	return c.violations, c.examples
}

// addViolation counts a violation and keeps the first ones in words.
func (c *checker) addViolation(counter *int, format string, values ...any) {
	*counter++
	if len(c.examples) < maxExamples {
		c.examples = append(c.examples, fmt.Sprintf(format, values...))
	}
}

func (c *checker) checkReply(r *reply) {
	name := r.Request.Team + "/" + r.Request.Front.GetName() + " " + r.Request.BodyHash
	if r.Failure != "" {
		c.addViolation(&c.violations.Unanswered, "%s by %s: %s", name, r.VM, r.Failure)
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
	mixed, foreign := false, !c.hasOwnID(r)
	for _, rows := range r.Answer.Rows {
		mixed = mixed || rows.Snapshot != r.Answer.Snapshot
		foreign = foreign || rows.BodyHash != r.Request.BodyHash
	}
	if mixed {
		c.addViolation(&c.violations.MixedSnapshot, "%s: rows of several snapshots, stated %d", name, r.Answer.Snapshot)
	}
	if foreign {
		c.addViolation(&c.violations.ForeignAnswer, "%s: identifier or rows of another request", name)
	}
}

// hasOwnID tells whether an answer carries the request's identifier, or that of an earlier sending of the same key whose
// answer was remembered.
func (c *checker) hasOwnID(r *reply) bool {
	id := r.Answer.RequestID
	if id == "" || id == r.RequestID {
		return true
	}
	return slices.ContainsFunc(c.repliesByBody[r.Request.BodyHash], func(other *reply) bool {
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
	asked := r.Request.shardCount()
	fraction := float64(len(shards)) / float64(asked)
	difference := stated.Fraction - fraction
	switch {
	case len(shards) != len(r.Answer.Rows):
		c.addViolation(&c.violations.FalseCoverage, "%s: a shard's rows occur twice", name)
	case stated.Asked != asked, stated.Answered != len(shards), len(stated.Missing) != asked-len(shards),
		difference > 0.001, difference < -0.001:
		c.addViolation(&c.violations.FalseCoverage, "%s: stated %d of %d with %d missing, rows of %d of %d",
			name, stated.Answered, stated.Asked, len(stated.Missing), len(shards), asked)
	case !c.allRowsLogged(r):
		c.addViolation(&c.violations.FalseCoverage, "%s: holds rows that no target's log shows", name)
	}
}

// allRowsLogged tells whether the targets' logs show an execution for all rows of an answer.
func (c *checker) allRowsLogged(r *reply) bool {
	for _, rows := range r.Answer.Rows {
		ran := slices.ContainsFunc(c.executionsByBody[rows.BodyHash], func(x cassiashard.Execution) bool {
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
	for _, x := range c.executionsByBody[r.Request.BodyHash] {
		if !x.Started() {
			continue
		}
		began := time.UnixMicro(x.StartedUnixMicros)
		keyed := r.Request.Key != "" && began.Before(r.Finished)
		if keyed || !c.mayBeFromOtherSend(r, began) {
			c.addViolation(&c.violations.FalseNotRun, "%s: refused as %s by %s (%s), but %s began it %v before the refusal",
				name, r.Refusal.Kind, r.VM, r.Refusal.Message, x.Target, r.Finished.Sub(began))
			return
		}
	}
}

// mayBeFromOtherSend tells whether another sending of a refused request may have caused an execution.
func (c *checker) mayBeFromOtherSend(refused *reply, began time.Time) bool {
	return slices.ContainsFunc(c.repliesByBody[refused.Request.BodyHash], func(other *reply) bool {
		notRun := other.Refusal != nil && other.Refusal.Ran == cassiaplan.RanNo
		return other != refused && !notRun && !other.Sent.After(began)
	})
}

func (c *checker) checkDoubleRun(body string, executions []cassiashard.Execution) {
	replies := c.repliesByBody[body]
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
		c.addViolation(&c.violations.DoubleRun, "%s: began %d times", body, started)
	}
}

// checkLateWork checks when executions began.
func (c *checker) checkLateWork(body string, executions []cassiashard.Execution) {
	var latestDeadline time.Time
	for _, r := range c.repliesByBody[body] {
		if end := r.Sent.Add(r.Request.deadline() + deadlineTolerance); end.After(latestDeadline) {
			latestDeadline = end
		}
	}
	for _, x := range executions {
		if !x.Started() {
			continue
		}
		began := time.UnixMicro(x.StartedUnixMicros)
		if !latestDeadline.IsZero() && began.After(latestDeadline) {
			c.addViolation(&c.violations.LateWork, "%s: began on %s %v after the caller's deadline, %v before the one that the target was told",
				body, x.Target, began.Sub(latestDeadline), time.UnixMicro(x.DeadlineUnixMicros).Sub(began))
		}
		if announced, leaves := c.LeavingSince[x.Target]; leaves && began.After(announced.Add(leavingGracePeriod)) {
			c.addViolation(&c.violations.LateWork, "%s: began on %s %v after it began to leave", body, x.Target, began.Sub(announced))
		}
	}
}
