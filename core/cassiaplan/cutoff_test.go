package cassiaplan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// cutZones marks the owners in exactly these zones as unreachable.
func (w *world) cutZones(zones ...string) {
	w.unreachable = map[cassiaid.VMName]bool{}
	for _, z := range zones {
		for i := 1; i <= 2; i++ {
			w.unreachable[cassiaid.VMName(fmt.Sprint(z, "/", i))] = true
		}
	}
}

// answerIfReachable answers the attempts sent to reachable owners.
func (w *world) answerIfReachable(b SendBatch, a Attempt) *cassiaschema.ShardResult {
	if w.unreachable[b.Owner] {
		return nil
	}
	return answer(b, a)
}

// TestQueryCutOffEndsAfterTheGrace checks when a query stops waiting for shards whose owners are all unreachable. With
// zone-1, zone-2 and zone-3 cut off, these are the 6 of the 12 shards without a replica in zone-0.
func TestQueryCutOffEndsAfterTheGrace(t *testing.T) {
	const tail, coverage = cassiaschema.Preference_preferTail, cassiaschema.Preference_preferCoverage
	tests := []struct {
		name        string
		cut         []string
		preference  cassiaschema.Preference
		minCoverage float64
		at          time.Duration
		// want is the kind of the refusal, "answer", or "" if the query has not finished.
		want RefusalKind
	}{
		{"before the grace", []string{"zone-1", "zone-2", "zone-3"}, tail, 0.9, 45 * time.Millisecond, ""},
		{"after the grace", []string{"zone-1", "zone-2", "zone-3"}, tail, 0.9, 50 * time.Millisecond, RefusalInsufficientCoverage},
		{"coverage is waited for longer", []string{"zone-1", "zone-2", "zone-3"}, coverage, 0.9, 145 * time.Millisecond, ""},
		{"but not for ever", []string{"zone-1", "zone-2", "zone-3"}, coverage, 0.9, 150 * time.Millisecond, RefusalInsufficientCoverage},
		{"a part is enough", []string{"zone-1", "zone-2", "zone-3"}, tail, 0, 50 * time.Millisecond, "answer"},
		{"a part is enough, coverage is preferred", []string{"zone-1", "zone-2", "zone-3"}, coverage, 0, 250 * time.Millisecond, ""},
		{"one zone cut leaves an owner of each shard", []string{"zone-3"}, coverage, 1, 50 * time.Millisecond, "answer"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(12)
			w.cutZones(test.cut...)
			w.probes = 1
			w.front.Preference, w.front.MinCoverage = test.preference, test.minCoverage
			first := w.begin()
			all := append(first, w.reply(first, w.answerIfReachable)...)
			for at := 5 * time.Millisecond; at <= test.at; at += 5 * time.Millisecond {
				step := w.at(at)
				all = append(append(all, step...), w.reply(step, w.answerIfReachable)...)
			}
			ends := effectsOf[Finish](all)
			switch test.want {
			case "":
				c.Assert(ends, qt.HasLen, 0)
			case "answer":
				c.Assert(ends, qt.HasLen, 1)
				c.Assert(ends[0].Answer, qt.IsNotNil)
			default:
				c.Assert(ends, qt.HasLen, 1)
				c.Assert(ends[0].Refusal.Kind, qt.Equals, test.want)
				c.Assert(ends[0].Refusal.RetryAfter > 0, qt.IsTrue)
				c.Assert(ends[0].Refusal.Coverage.Answered, qt.Equals, 6)
				c.Assert(allMissingFor(*ends[0].Refusal.Coverage, MissingUnreachable), qt.IsTrue)
			}
		})
	}
}

// TestCutOffIsToldAtTheStart checks that a query without enough reachable owners is refused before anything is sent,
// unless it is an idempotent probe.
func TestCutOffIsToldAtTheStart(t *testing.T) {
	tests := []struct {
		name   string
		kind   cassiaschema.RequestKind
		probes int
		sent   bool
	}{
		{"no probe is due", cassiaschema.RequestKind_idempotent, 0, false},
		{"a probe", cassiaschema.RequestKind_idempotent, 1, true},
		{"a request that must not run twice is no probe", cassiaschema.RequestKind_nonIdempotent, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(12)
			w.cutZones("zone-1", "zone-2", "zone-3")
			w.probes = test.probes
			w.front.Kind, w.front.MinCoverage = test.kind, 0.9
			first := w.begin()
			if test.sent {
				c.Assert(len(effectsOf[SendBatch](first)) > 0, qt.IsTrue)
				return
			}
			c.Assert(effectsOf[SendBatch](first), qt.HasLen, 0)
			r := finishOf(c, first).Refusal
			c.Assert(r.Kind, qt.Equals, RefusalNotRun)
			c.Assert(r.Ran, qt.Equals, RanNo)
			c.Assert(r.RetryAfter > 0, qt.IsTrue)
		})
	}
}

// TestSentBookingIsWaitedForThoughCutOff checks that a non-idempotent request which may have run waits for its outcome
// until the deadline.
func TestSentBookingIsWaitedForThoughCutOff(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.front.Kind = cassiaschema.RequestKind_nonIdempotent
	first := w.begin()
	c.Assert(effectsOf[SendBatch](first), qt.HasLen, 1)
	w.cutZones("zone-0", "zone-1", "zone-2", "zone-3")
	c.Assert(effectsOf[Finish](w.at(250*time.Millisecond)), qt.HasLen, 0)
	r := finishOf(c, w.at(300*time.Millisecond)).Refusal
	c.Assert(r.Kind, qt.Equals, RefusalOutcomeUnknown)
	c.Assert(r.Ran, qt.Equals, RanUnknown)
}

// TestCutOffQueryIsWokenAfterTheGrace checks that the timer is set to the end of the grace once owners are known to be
// unreachable.
func TestCutOffQueryIsWokenAfterTheGrace(t *testing.T) {
	c := qt.New(t)
	w := newWorld(12)
	w.hedgeBudget, w.retryBudget = 0, 0
	w.front.MinCoverage = 0.9
	first := w.begin()
	w.cutZones("zone-1", "zone-2", "zone-3")
	w.reply(first, w.answerIfReachable)
	w.clock.now = epochStart.Add(140 * time.Millisecond)
	// A message about an unknown owner only makes Update set the timer again.
	timers := effectsOf[SetTimer](w.query.Update(OwnerSilent{Owner: "zone-9/1"}))
	c.Assert(timers, qt.HasLen, 1)
	c.Assert(timers[0].At, qt.Equals, epochStart.Add(150*time.Millisecond))
}

// TestNoHedgeGoesOutOfReach checks that no hedge goes to an unreachable owner, where it would only use up the budget.
func TestNoHedgeGoesOutOfReach(t *testing.T) {
	c := qt.New(t)
	w := newWorld(12)
	w.probes = 1
	w.front.MinCoverage = 1
	w.cutZones("zone-1", "zone-2", "zone-3")
	first := w.begin()
	w.reply(first, w.answerIfReachable)
	c.Assert(effectsOf[SendBatch](w.at(20*time.Millisecond)), qt.HasLen, 0)
	c.Assert(w.hedgesGranted, qt.Equals, 0)
}

// TestShardIsAskedWithinReach checks that a replica with unreachable owners is not asked while another replica has a
// reachable one.
func TestShardIsAskedWithinReach(t *testing.T) {
	c := qt.New(t)
	w := newWorld(12)
	w.cutZones("zone-0")
	for _, b := range effectsOf[SendBatch](w.begin()) {
		for _, a := range b.Attempts {
			c.Assert(w.unreachable[b.Owner], qt.IsFalse, qt.Commentf("shard %d at %s", a.Shard, b.Owner))
		}
	}
}
