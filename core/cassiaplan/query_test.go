package cassiaplan

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

func finishOf(c *qt.C, effects []Effect) Finish {
	c.Helper()
	f := effectsOf[Finish](effects)
	c.Assert(f, qt.HasLen, 1)
	return f[0]
}

func TestQueryOf76ShardsCostsAtMost12MessagesEachWay(t *testing.T) {
	c := qt.New(t)
	w := newWorld(76)
	first := w.begin()
	c.Assert(len(effectsOf[SendBatch](first)) <= 4, qt.IsTrue)
	asked := 0
	for _, b := range effectsOf[SendBatch](first) {
		asked += len(b.Attempts)
	}
	c.Assert(asked, qt.Equals, 76)
	slow := func(b SendBatch, a Attempt) *cassiaschema.ShardResult {
		if a.Shard%20 == 3 {
			return nil
		}
		return answer(b, a)
	}
	all := append(first, w.reply(first, slow)...)
	hedges := w.at(20 * time.Millisecond)
	all = append(all, hedges...)
	c.Assert(counted(hedges, CountHedge), qt.Equals, 4)
	last := w.reply(hedges, answer)
	all = append(all, last...)
	f := finishOf(c, last)
	c.Assert(f.Answer.Coverage, qt.DeepEquals, Coverage{Asked: 76, Answered: 76})
	c.Assert(f.Answer.Snapshot, qt.Equals, cassiaid.Snapshot(42))
	c.Assert(len(effectsOf[SendBatch](all))+len(effectsOf[Cancel](all)) <= 12, qt.IsTrue)
	cancelled := 0
	for _, x := range effectsOf[Cancel](all) {
		cancelled += len(x.Attempts)
	}
	c.Assert(cancelled, qt.Equals, 4)
}

func TestSnapshotIsTheNewestThatEveryShardHolds(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3)
	w.setHeld("t1-0", 41)
	w.setHeld("t1-1", 40, 41)
	for _, b := range effectsOf[SendBatch](w.begin()) {
		c.Assert(b.Snapshot, qt.Equals, cassiaid.Snapshot(41))
	}
}

func TestSnapshotGoneRestartsOnceOnANewerSnapshot(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3)
	for i := range w.targets {
		w.setHeld(i, 41)
	}
	gone := func(b SendBatch, a Attempt) *cassiaschema.ShardResult {
		r := refused(b, a, cassiaschema.ShardOutcome_snapshotGone)
		r.HeldSnapshots = []uint64{42}
		return r
	}
	first := w.begin()
	var again []Effect
	for effects := first; len(effectsOf[SendBatch](effects)) > 0 && counted(again, CountRestartSnapshot) == 0; {
		again = w.reply(effects, gone)
		effects = again
	}
	c.Assert(counted(again, CountRestartSnapshot), qt.Equals, 1)
	restarted := effectsOf[SendBatch](again)
	c.Assert(restarted[len(restarted)-1].Snapshot, qt.Equals, cassiaid.Snapshot(42))
}

func TestRepartitionRestartsOnTheNewerShardMap(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3)
	first := w.begin()
	grown := newWorld(4)
	grown.front.ShardMapEpoch = 8
	w.newerFront = grown.front
	for name, v := range grown.targets {
		v.Epoch = 8
		w.targets[name] = v
	}
	moved := func(b SendBatch, a Attempt) *cassiaschema.ShardResult {
		r := refused(b, a, cassiaschema.ShardOutcome_repartitioned)
		r.ShardMapEpoch = 8
		return r
	}
	one := effectsOf[SendBatch](first)[:1]
	again := w.reply([]Effect{one[0]}, moved)
	c.Assert(counted(again, CountRestartEpoch), qt.Equals, 1)
	c.Assert(counted(w.reply(first, answer), CountDroppedLate)+len(one[0].Attempts), qt.Equals, 3)
	f := finishOf(c, w.reply(again, answer))
	c.Assert(f.Answer.Epoch, qt.Equals, cassiaid.Epoch(8))
	c.Assert(f.Answer.Coverage, qt.DeepEquals, Coverage{Asked: 4, Answered: 4})
}

func TestAnswersFromElsewhereAreNeverMerged(t *testing.T) {
	wrong := map[Counter]func(*cassiaschema.ShardResult){
		CountDroppedSnapshot: func(r *cassiaschema.ShardResult) { r.Snapshot = 41 },
		CountDroppedEpoch:    func(r *cassiaschema.ShardResult) { r.ShardMapEpoch = 6 },
		CountDroppedForeign:  func(r *cassiaschema.ShardResult) { r.AttemptId++ },
	}
	for counter, change := range wrong {
		t.Run(string(counter), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(1)
			w.retryBudget = 0
			w.hedgeAfter = 0
			effects := w.reply(w.begin(), func(b SendBatch, a Attempt) *cassiaschema.ShardResult {
				r := answer(b, a)
				change(r)
				return r
			})
			c.Assert(counted(effects, counter), qt.Equals, 1)
			effects = append(effects, w.at(300*time.Millisecond)...)
			c.Assert(finishOf(c, effects).Answer, qt.IsNil)
		})
	}
}

func TestPreferTailStopsEarlyAndPreferCoverageWaits(t *testing.T) {
	for _, p := range []cassiaschema.Preference{cassiaschema.Preference_preferTail, cassiaschema.Preference_preferCoverage} {
		t.Run(p.String(), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(40)
			w.front.Preference = p
			w.hedgeBudget = 0
			w.reply(w.begin(), func(b SendBatch, a Attempt) *cassiaschema.ShardResult {
				if a.Shard == 5 {
					return nil
				}
				return answer(b, a)
			})
			c.Assert(effectsOf[Finish](w.at(59*time.Millisecond)), qt.HasLen, 0)
			effects := w.at(60 * time.Millisecond)
			if p == cassiaschema.Preference_preferCoverage {
				c.Assert(effectsOf[Finish](effects), qt.HasLen, 0)
				effects = w.at(300 * time.Millisecond)
			}
			f := finishOf(c, effects)
			c.Assert(f.Answer.Coverage, qt.DeepEquals,
				Coverage{Asked: 40, Answered: 39, Missing: []MissingShard{{Shard: 5, Reason: MissingLate}}})
		})
	}
}

func TestColdEntryAsksBeforeItPins(t *testing.T) {
	c := qt.New(t)
	w := newWorld(8)
	for name := range w.targets {
		w.targets[name] = TargetView{Usable: true}
	}
	asks := effectsOf[AskKnowledge](w.begin())
	c.Assert(asks, qt.HasLen, 4)
	var effects []Effect
	for _, ask := range asks {
		c.Assert(effectsOf[SendBatch](effects), qt.HasLen, 0)
		k := Knowledge{Owner: ask.Owner}
		for _, name := range ask.Targets {
			k.Targets = append(k.Targets, &cassiaschema.TargetKnowledge{Target: string(name), HeldSnapshots: []uint64{41},
				ShardMapEpoch: 7, Reachable: true})
		}
		effects = w.query.Update(k)
	}
	for _, b := range effectsOf[SendBatch](effects) {
		c.Assert(b.Snapshot, qt.Equals, cassiaid.Snapshot(41))
	}
	c.Assert(finishOf(c, w.reply(effects, answer)).Answer.Coverage.Answered, qt.Equals, 8)
}

func TestColdEntryWithoutRepliesIsNotReady(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.targets = map[cassiaid.TargetName]TargetView{}
	w.begin()
	r := finishOf(c, w.at(150*time.Millisecond)).Refusal
	c.Assert([]any{r.Kind, r.Ran}, qt.DeepEquals, []any{RefusalNotReady, RanNo})
}

func TestNonIdempotentRequests(t *testing.T) {
	lost := func(sent bool) func(*world, SendBatch) []Effect {
		return func(w *world, b SendBatch) []Effect {
			return w.query.Update(OwnerLost{Owner: b.Owner, Sent: sent, Attempts: []cassiaid.AttemptID{b.Attempts[0].ID}})
		}
	}
	outcome := func(o cassiaschema.ShardOutcome, started bool) func(*world, SendBatch) []Effect {
		return func(w *world, b SendBatch) []Effect {
			r := refused(b, b.Attempts[0], o)
			r.Started = started
			return w.query.Update(Results{Owner: b.Owner, Results: []*cassiaschema.ShardResult{r}})
		}
	}
	tests := map[string]struct {
		steps []func(*world, SendBatch) []Effect
		kind  RefusalKind
		ran   Ran
	}{
		"owner lost after the send": {steps: []func(*world, SendBatch) []Effect{lost(true)}, kind: RefusalOutcomeUnknown, ran: RanUnknown},
		"never sent twice":          {steps: []func(*world, SendBatch) []Effect{lost(false), lost(false)}, kind: RefusalNotRun, ran: RanNo},
		"overloaded twice": {steps: []func(*world, SendBatch) []Effect{outcome(cassiaschema.ShardOutcome_overloaded, false),
			outcome(cassiaschema.ShardOutcome_overloaded, false)}, kind: RefusalOverloaded, ran: RanNo},
		"overloaded, then failed": {steps: []func(*world, SendBatch) []Effect{outcome(cassiaschema.ShardOutcome_overloaded, false),
			outcome(cassiaschema.ShardOutcome_failed, true)}, kind: RefusalOutcomeUnknown, ran: RanUnknown},
		"timed out": {steps: []func(*world, SendBatch) []Effect{outcome(cassiaschema.ShardOutcome_timedOut, true)},
			kind: RefusalOutcomeUnknown, ran: RanUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(4)
			w.front.Kind = cassiaschema.RequestKind_nonIdempotent
			w.front.Fanout = cassiaschema.Fanout_oneShardByKey
			effects := w.begin()
			for _, step := range test.steps {
				batches := effectsOf[SendBatch](effects)
				c.Assert(batches, qt.HasLen, 1)
				c.Assert(batches[0].Attempts, qt.HasLen, 1)
				c.Assert(effectsOf[SendBatch](w.at(100*time.Millisecond)), qt.HasLen, 0)
				effects = step(w, batches[0])
			}
			r := finishOf(c, effects).Refusal
			c.Assert([]any{r.Kind, r.Ran}, qt.DeepEquals, []any{test.kind, test.ran})
		})
	}
}

func TestHopelessQueryIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(4)
	w.front.MinCoverage = 1
	w.retryBudget = 0
	first := effectsOf[SendBatch](w.begin())
	failed := answer(first[0], first[0].Attempts[0])
	failed.Outcome, failed.Rows = cassiaschema.ShardOutcome_failed, nil
	effects := w.query.Update(Results{Owner: first[0].Owner, Results: []*cassiaschema.ShardResult{failed}})
	r := finishOf(c, effects).Refusal
	c.Assert([]any{r.Kind, r.Ran, r.Coverage.Answered}, qt.DeepEquals, []any{RefusalInsufficientCoverage, RanUnknown, 0})
	c.Assert(counted(effects, CountRetryDenied), qt.Equals, 1)
	c.Assert(len(effectsOf[Cancel](effects)) > 0, qt.IsTrue)
}

func TestRetriesBringTheShardBackFromAnotherTarget(t *testing.T) {
	for _, test := range []struct {
		outcome cassiaschema.ShardOutcome
		started bool
		granted int
	}{
		{cassiaschema.ShardOutcome_failed, true, 20},
		{cassiaschema.ShardOutcome_overloaded, true, 20},
		// A retry after an attempt that no target started causes no second run, so it takes nothing from the budget.
		{cassiaschema.ShardOutcome_overloaded, false, 0},
		{cassiaschema.ShardOutcome_unreachable, false, 0},
	} {
		c := qt.New(t)
		w := newWorld(20)
		again := w.reply(w.begin(), func(b SendBatch, a Attempt) *cassiaschema.ShardResult {
			r := refused(b, a, test.outcome)
			r.Started = test.started
			return r
		})
		f := finishOf(c, w.reply(again, answer))
		c.Check(f.Answer.Coverage.Answered, qt.Equals, 20)
		c.Check(w.retriesGranted, qt.Equals, test.granted)
	}
}

func TestRequestThatBringsTargetsDownIsTriedAgainOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(6)
	crash := func(b SendBatch, a Attempt) *cassiaschema.ShardResult {
		r := answer(b, a)
		r.Outcome, r.TargetLost, r.Rows = cassiaschema.ShardOutcome_failed, true, nil
		return r
	}
	again := w.reply(w.begin(), crash)
	c.Assert(effectsOf[SendBatch](again), qt.HasLen, 1)
	c.Assert(effectsOf[SendBatch](again)[0].Attempts, qt.HasLen, 1)
	last := w.reply(again, crash)
	c.Assert(effectsOf[SendBatch](last), qt.HasLen, 0)
	c.Assert(finishOf(c, last).Refusal.Kind, qt.Equals, RefusalInsufficientCoverage)
}

func TestQuarantineEndsAtOnceAndLaterMessagesOnlyCount(t *testing.T) {
	c := qt.New(t)
	w := newWorld(5)
	first := w.begin()
	effects := w.query.Update(Quarantined{Remaining: time.Minute})
	r := finishOf(c, effects).Refusal
	c.Assert([]any{r.Kind, r.Ran, r.RetryAfter}, qt.DeepEquals, []any{RefusalQuarantined, RanUnknown, time.Minute})
	late := w.reply(first, answer)
	c.Assert(counted(late, CountDroppedLate), qt.Equals, 5)
	c.Assert(len(late), qt.Equals, 5)
}

func TestAnswerIsBounded(t *testing.T) {
	c := qt.New(t)
	w := newWorld(4)
	w.front.MaxAnswerBytes = 150
	f := finishOf(c, w.reply(w.begin(), answer))
	c.Assert(f.Answer.Coverage.Answered, qt.Equals, 2)
	c.Assert(f.Answer.Coverage.Missing[0].Reason, qt.Equals, MissingAnswerTooBig)
}

func TestLoserIsCancelledAsSoonAsItsShardIsMerged(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.hedgeBudget = 1
	primaries := effectsOf[SendBatch](w.begin())
	hedges := w.at(20 * time.Millisecond)
	c.Assert(counted(hedges, CountHedgeDenied), qt.Equals, 1)
	won := effectsOf[SendBatch](hedges)[0]
	effects := w.reply(hedges, answer)
	c.Assert(effectsOf[Finish](effects), qt.HasLen, 0)
	c.Assert(counted(effects, CountHedgeWon), qt.Equals, 1)
	c.Assert(effectsOf[Cancel](effects), qt.HasLen, 1)
	for _, b := range primaries {
		for _, a := range b.Attempts {
			if a.Shard == won.Attempts[0].Shard {
				c.Assert(effectsOf[Cancel](effects)[0], qt.DeepEquals, Cancel{Owner: b.Owner, Attempts: []cassiaid.AttemptID{a.ID}})
			}
		}
	}
}

func TestQueryPastItsDeadlineSendsNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3)
	w.clock.now = epochStart.Add(time.Second)
	effects := w.begin()
	c.Assert(effectsOf[SendBatch](effects), qt.HasLen, 0)
	r := finishOf(c, effects).Refusal
	c.Assert([]any{r.Kind, r.Ran}, qt.DeepEquals, []any{RefusalNotRun, RanNo})
}

func TestHedgeAvoidsTheOwnerThatIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	for _, target := range w.front.Shards[0].Targets {
		target.AvailabilityZone = "zone-0"
	}
	c.Assert(effectsOf[SendBatch](w.begin())[0].Owner, qt.Equals, cassiaid.VMName("zone-0/1"))
	c.Assert(effectsOf[SendBatch](w.at(20 * time.Millisecond))[0].Owner, qt.Equals, cassiaid.VMName("zone-0/2"))
}

// TestHedgeToASlowReplica ejects one of two replicas for its latency or another reason while the other one hangs: a
// hedge goes only to a replica ejected for latency, and only if it can answer before the deadline.
func TestHedgeToASlowReplica(t *testing.T) {
	tests := []struct {
		name              string
		expectedLatency   time.Duration
		ejectedForLatency bool
		hedges            map[time.Duration]int
	}{
		{"waits for as long as the slow one takes", 80 * time.Millisecond, true,
			map[time.Duration]int{20 * time.Millisecond: 0, 79 * time.Millisecond: 0, 80 * time.Millisecond: 1}},
		{"too slow for the deadline", 160 * time.Millisecond, true, map[time.Duration]int{20 * time.Millisecond: 0, 160 * time.Millisecond: 0}},
		{"not usable for another reason", 10 * time.Millisecond, false, map[time.Duration]int{20 * time.Millisecond: 0, 80 * time.Millisecond: 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(1)
			w.targets["t0-1"] = TargetView{HeldSnapshots: []cassiaid.Snapshot{41, 42}, Epoch: 7, EjectedForLatency: tt.ejectedForLatency, ExpectedLatency: tt.expectedLatency}
			c.Assert(effectsOf[SendBatch](w.begin()), qt.HasLen, 1)
			for _, after := range slices.Sorted(maps.Keys(tt.hedges)) {
				c.Check(effectsOf[SendBatch](w.at(after)), qt.HasLen, tt.hedges[after], qt.Commentf("after %v", after))
			}
		})
	}
}

// TestHedgeWaitsForAReplicaThatIsSooner guards against hedges that only add load: a hedge goes to a fast replica as
// soon as the hedge delay is over, but to an equally slow one only after the first attempt has taken as long as the
// hedge would.
func TestHedgeWaitsForAReplicaThatIsSooner(t *testing.T) {
	tests := []struct {
		name string
		// first and second are the expected latencies of the target of the first attempt and of the other target, at is
		// the time since the first attempt, all in milliseconds.
		first, second time.Duration
		at            time.Duration
		want          int
	}{
		{"a late attempt at a quick target", 8, 8, 20, 1},
		{"a slow target beside a quick one", 100, 8, 20, 1},
		{"both slow, early", 100, 100, 20, 0},
		{"both slow, late", 100, 100, 100, 1},
		{"the other one is busy", 8, 60, 20, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(1)
			first := effectsOf[SendBatch](w.begin())[0].Attempts[0].Target
			for name, v := range w.targets {
				v.ExpectedLatency = tt.second * time.Millisecond
				if name == first {
					v.ExpectedLatency, v.InFlight = tt.first*time.Millisecond, 1
				}
				w.targets[name] = v
			}
			effects := w.at(20 * time.Millisecond)
			if tt.at > 20 {
				c.Assert(counted(effects, CountHedgeNoSooner), qt.Equals, 1)
				effects = w.at(tt.at * time.Millisecond)
			}
			c.Assert(counted(effects, CountHedge), qt.Equals, tt.want)
		})
	}
}

// TestOverdueHedgeIsPaidAsARetry has a target that accepts an attempt and never answers while the hedge budget is
// empty: the overdue hedge takes one retry, and without retries it is not sent.
func TestOverdueHedgeIsPaidAsARetry(t *testing.T) {
	for _, retries := range []int{1, 0} {
		c := qt.New(t)
		w := newWorld(1)
		w.hedgeBudget, w.retryBudget = 0, retries
		w.begin()
		early := w.at(20 * time.Millisecond)
		c.Assert(counted(early, CountHedgeDenied), qt.Equals, 1)
		c.Assert(w.retriesGranted, qt.Equals, 0)
		overdue := w.at(60 * time.Millisecond)
		c.Assert(counted(overdue, CountHedge), qt.Equals, retries)
		c.Assert(counted(overdue, CountHedgeOverdue), qt.Equals, retries)
		c.Assert(effectsOf[SendBatch](overdue), qt.HasLen, retries)
		if retries > 0 {
			c.Assert(finishOf(c, w.reply(overdue, answer)).Answer.Coverage.Answered, qt.Equals, 1)
		}
	}
}
