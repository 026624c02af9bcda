package cassiaguard

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
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
	for name, test := range map[string]struct {
		ctx         context.Context
		limit       time.Duration
		firstEnding cassiaquarantine.Ending
		want        StartDecision
	}{
		"answered":  {ctx: t.Context(), limit: forever, firstEnding: cassiaquarantine.EndingAnswered, want: StartDecision{Verdict: cassiaquarantine.VerdictRun, Waited: true}},
		"lost":      {ctx: t.Context(), limit: forever, firstEnding: cassiaquarantine.EndingLost, want: StartDecision{Verdict: cassiaquarantine.VerdictRefuseNow, Waited: true}},
		"late":      {ctx: t.Context(), limit: time.Millisecond, want: StartDecision{Verdict: cassiaquarantine.VerdictRun, Waited: true, Late: true}},
		"cancelled": {ctx: cancelled, limit: forever, want: StartDecision{Verdict: cassiaquarantine.VerdictWait, Waited: true}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := NewGuard(clockwork.NewRealClock())
			c.Assert(g.Begin(t.Context(), cassiaid.FrontKey{}, run(1), "t1", forever), qt.Equals, StartDecision{})
			var second StartDecision
			var group errgroup.Group
			group.Go(func() error {
				second = g.Begin(test.ctx, cassiaid.FrontKey{}, run(2), "t1", test.limit)
				return nil
			})
			if test.firstEnding != cassiaquarantine.EndingOther {
				for waits := false; !waits; {
					g.mutex.Lock()
					waits = g.changed != nil
					g.mutex.Unlock()
				}
				g.End(cassiaid.FrontKey{}, 1, test.firstEnding)
			}
			c.Assert(group.Wait(), qt.IsNil)
			c.Assert(second, qt.Equals, test.want)
		})
	}
}
