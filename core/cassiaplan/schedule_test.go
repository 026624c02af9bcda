package cassiaplan

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// drawWorld draws a front and the known state of its targets.
func drawWorld(t *rapid.T) *world {
	w := newWorld(rapid.IntRange(1, 9).Draw(t, "shards"))
	w.front.Kind = cassiaschema.RequestKind(rapid.IntRange(0, 1).Draw(t, "kind"))
	w.front.Fanout = cassiaschema.Fanout(rapid.IntRange(0, 1).Draw(t, "fanout"))
	w.front.Preference = cassiaschema.Preference(rapid.IntRange(0, 1).Draw(t, "preference"))
	w.front.MinCoverage = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minCoverage")
	w.hedgeAfter = time.Duration(rapid.IntRange(0, 40).Draw(t, "hedgeAfter")) * time.Millisecond
	w.hedgeBudget = rapid.IntRange(0, 5).Draw(t, "hedges")
	w.retryBudget = rapid.IntRange(0, 5).Draw(t, "retries")
	held := [][]cassiaid.Snapshot{nil, {41}, {41, 42}, {42, 43}}
	for _, s := range w.front.Shards {
		for _, target := range s.Targets {
			w.targets[cassiaid.TargetName(target.Name)] = TargetView{
				HeldSnapshots: rapid.SampledFrom(held).Draw(t, "held"),
				Epoch:         rapid.SampledFrom([]cassiaid.Epoch{0, 6, 7, 8}).Draw(t, "epoch"),
				Usable:        rapid.IntRange(0, 4).Draw(t, "usable") > 0,
			}
		}
	}
	w.probes = rapid.IntRange(0, 1).Draw(t, "probes")
	if rapid.IntRange(0, 4).Draw(t, "cutOff") == 0 {
		w.cutZones("zone-1", "zone-2", "zone-3")
	}
	if rapid.Bool().Draw(t, "repartitioned") {
		grown := newWorld(len(w.front.Shards) + 1)
		grown.front.ShardMapEpoch = 8
		grown.front.Kind, grown.front.Fanout = w.front.Kind, w.front.Fanout
		grown.front.MinCoverage, grown.front.Preference = w.front.MinCoverage, w.front.Preference
		w.newerFront = grown.front
	}
	return w
}

// drawResult draws the result of an attempt, sometimes a wrong one, and false if it does not belong to the attempt.
func drawResult(t *rapid.T, s *sentAttempt) (*cassiaschema.ShardResult, bool) {
	r := answer(s.batch, s.Attempt)
	genuine := true
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0, 1, 2:
		r.Outcome = cassiaschema.ShardOutcome(rapid.IntRange(0, 13).Draw(t, "outcome"))
		r.Started = r.Outcome == cassiaschema.ShardOutcome_answered || rapid.Bool().Draw(t, "started")
		r.HeldSnapshots = []uint64{uint64(rapid.IntRange(41, 44).Draw(t, "holds"))}
		r.ShardMapEpoch = uint64(rapid.IntRange(6, 8).Draw(t, "replyEpoch"))
		r.TargetLost = r.Outcome == cassiaschema.ShardOutcome_failed && r.Started
		r.Rows = []byte("not rows of this epoch")
		if r.ShardMapEpoch == uint64(s.batch.Epoch) {
			r.Rows = rowsOf(s.batch, s.Attempt)
		}
	case 3:
		r.Snapshot++
		r.Rows = []byte("rows of another snapshot")
	case 4:
		r.Shard++
		r.Rows, genuine = []byte("rows of another shard"), false
	case 5:
		r.AttemptId++
		r.Rows, genuine = []byte("rows of another query"), false
	}
	return r, genuine
}

// drawMessage draws the next message, and moves the clock for a timer.
func drawMessage(t *rapid.T, w *world, chk *checker) Message {
	n := rapid.IntRange(0, 25).Draw(t, "message")
	switch {
	case n == 0:
		return Quarantined{Remaining: time.Second}
	case n == 1:
		return CallerGone{}
	case n == 25:
		w.cutZones(rapid.SliceOf(rapid.SampledFrom([]string{"zone-0", "zone-1", "zone-2", "zone-3"})).Draw(t, "cut")...)
		return TimerFired{}
	case n < 7 || len(chk.order) == 0:
		w.clock.now = w.clock.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * time.Millisecond)
		return TimerFired{}
	}
	s := rapid.SampledFrom(chk.order).Draw(t, "attempt")
	if n == 7 {
		return drawOwnerLost(t, s, chk)
	}
	if n == 8 {
		chk.recordOwnerSilent(s.owner())
		return OwnerSilent{Owner: s.owner()}
	}
	r, genuine := drawResult(t, s)
	if genuine {
		chk.recordResult(r, s)
	}
	return Results{Owner: s.owner(), Results: []*cassiaschema.ShardResult{r}}
}

func (s *sentAttempt) owner() cassiaid.VMName { return s.batch.Owner }

// drawOwnerLost returns the loss of an attempt's owner with all attempts of its batch.
func drawOwnerLost(t *rapid.T, s *sentAttempt, chk *checker) Message {
	m := OwnerLost{Owner: s.owner(), Sent: rapid.Bool().Draw(t, "sent")}
	for _, a := range s.batch.Attempts {
		m.Attempts = append(m.Attempts, a.ID)
		chk.recordOwnerLost(chk.attempts[a.ID], m.Sent)
	}
	return m
}

// checkSchedule runs a query with random messages until it finishes and checks its invariants.
func checkSchedule(t *rapid.T) {
	w := drawWorld(t)
	chk := newChecker(w)
	chk.recordEffects(t, w.begin())
	for range rapid.IntRange(0, 60).Draw(t, "messages") {
		chk.recordEffects(t, w.query.Update(drawMessage(t, w, chk)))
	}
	for range 100 {
		if chk.finish != nil {
			break
		}
		w.clock.now = maxTime(w.clock.now, chk.timer.At)
		chk.recordEffects(t, w.query.Update(TimerFired{}))
	}
	chk.checkFinish(t)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func TestAnySchedule(t *testing.T) { rapid.Check(t, checkSchedule) }

func FuzzSchedule(f *testing.F) {
	for _, seed := range []string{"", "cassiasaddle", "\x00\x01\x02\x03\x04\x05\x06\x07\xff\xfe\xfd\xfc\x80\x40\x20\x10"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(rapid.MakeFuzz(checkSchedule))
}
