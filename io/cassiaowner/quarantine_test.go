package cassiaowner

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaschema"
)

// TestTurn checks that a second attempt of an unproven request waits for the end of the first one, the limit of its
// wait or its cancellation.
func TestTurn(t *testing.T) {
	const forever = time.Hour
	run := func(id cassiaid.AttemptID) cassiaquarantine.Run {
		return cassiaquarantine.Run{Attempt: id, Fingerprint: 9}
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	answered := &cassiaschema.ShardResult{Outcome: cassiaschema.ShardOutcome_answered}
	lost := &cassiaschema.ShardResult{Outcome: cassiaschema.ShardOutcome_failed, TargetLost: true}
	for name, test := range map[string]struct {
		ctx         context.Context
		limit       time.Duration
		firstResult *cassiaschema.ShardResult
		want        StartDecision
	}{
		"answered":  {ctx: t.Context(), limit: forever, firstResult: answered, want: StartDecision{Verdict: cassiaquarantine.VerdictRun, Waited: true}},
		"lost":      {ctx: t.Context(), limit: forever, firstResult: lost, want: StartDecision{Verdict: cassiaquarantine.VerdictRefuseNow, Waited: true}},
		"late":      {ctx: t.Context(), limit: time.Millisecond, want: StartDecision{Verdict: cassiaquarantine.VerdictRun, Waited: true, Late: true}},
		"cancelled": {ctx: cancelled, limit: forever, want: StartDecision{Verdict: cassiaquarantine.VerdictWait, Waited: true}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := NewQuarantine(clockwork.NewRealClock(), nil)
			c.Assert(q.Begin(t.Context(), cassiaid.FrontKey{}, run(1), "t1", forever), qt.Equals, StartDecision{})
			var second StartDecision
			var group errgroup.Group
			group.Go(func() error {
				second = q.Begin(test.ctx, cassiaid.FrontKey{}, run(2), "t1", test.limit)
				return nil
			})
			if test.firstResult != nil {
				for waits := false; !waits; {
					q.mutex.Lock()
					waits = q.changed != nil
					q.mutex.Unlock()
				}
				q.End(cassiaid.FrontKey{}, 1, test.firstResult)
			}
			c.Assert(group.Wait(), qt.IsNil)
			c.Assert(second, qt.Equals, test.want)
		})
	}
}
