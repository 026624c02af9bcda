package cassiabench

import (
	"fmt"
	"slices"
	"time"

	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/standin/cassiashard"
)

// Bounds of the checks.
const (
	// leavingGracePeriod is how long after its announcement a leaving target may still be sent work.
	leavingGracePeriod = 3 * time.Second
	// deadlineTolerance allows for the network delay between a caller and the system.
	deadlineTolerance = 50 * time.Millisecond
	// maxExamples is the largest number of violations that are described in the report.
	maxExamples = 10
)

// Violations counts the violated guarantees of a run by kind.
type Violations struct {
	// MixedSnapshot counts answers whose rows are not all of the stated snapshot.
	MixedSnapshot int `json:"mixedSnapshot"`
	// FalseCoverage counts answers whose stated coverage does not match their rows or the targets' logs.
	FalseCoverage int `json:"falseCoverage"`
	// ForeignAnswer counts answers with rows or identifiers of another request.
	ForeignAnswer int `json:"foreignAnswer"`
	// FalseNotRun counts refusals that state "not run" although a target ran the request.
	FalseNotRun int `json:"falseNotRun"`
	// DoubleRun counts non-idempotent requests that ran more than once.
	DoubleRun int `json:"doubleRun"`
	// LateWork counts executions that started after the caller's deadline or after a leaving target's grace period.
	LateWork int `json:"lateWork"`
	// Unanswered counts requests that received neither an answer nor a typed refusal.
	Unanswered int `json:"unanswered"`
}

// Any reports whether any count is above 0.
func (v Violations) Any() bool { return v != Violations{} }

// observations holds everything that the checks use.
type observations struct {
	Replies    []*reply
	Executions []cassiashard.Execution
	// LeavingSince holds, by target name, when the platform announced that the target leaves.
	LeavingSince map[string]time.Time
}

// checker finds violations in the observations of a run.
type checker struct {
	observations
	executionsByBody map[string][]cassiashard.Execution
	repliesByBody    map[string][]*reply
	violations       Violations
	examples         []string
}

// check returns the number of violations in the observations and descriptions of the first of them.
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

// addViolation increments a counter of violations and describes the violation if fewer than maxExamples are described.
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

// checkRows checks that an answer and its rows belong to the request and that all rows are of the stated snapshot.
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

// hasOwnID reports whether an answer has the request's identifier, or that of another send with the same idempotency
// key, whose stored answer it repeats. An answer without an identifier, as from the baseline, passes.
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

// allRowsLogged reports whether the targets' logs have a completed execution for each shard's rows of an answer.
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

// checkNotRun checks that no target ran a request that was refused as not run. For a request with an idempotency key,
// any execution that started before the refusal makes the refusal false, whichever send caused it. Any other execution
// is a violation only if no other send of the same body can have caused it.
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

// mayBeFromOtherSend reports whether another send of a refused request may have caused an execution: one that was sent
// before the execution started and was not itself refused as not run.
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

// checkLateWork checks that no execution started after the latest deadline of the body's sends, or on a target after
// its grace period for leaving.
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
